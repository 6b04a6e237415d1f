//! A test cell with stand-ins in this process and entry instances as child processes; allocation of their ports.

use {
    crate::child::{EntryProcess, Program},
    ragwortreel::{
        cell_plan::{CellPlan, EntryAddresses, loopback_any_port},
        load::Balancer,
        telemetry::ProcessUsage,
    },
    ragwortreel_http::{Client, ClientLimits, Method, Request},
    ragwortreel_runtime::sleep_ms,
    ragwortreel_standins::Standins,
    rustix::process::Signal,
    std::{
        env, fs, io,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Number of the next cell directory; makes the directory names of this process unique.
static NEXT_DIR_NUMBER: AtomicU32 = AtomicU32::new(0);
/// Timeout of a request to an entry instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of [`ProcessCell::start`]: an address could not be bound, or a file or process could not be created.
pub type StartError = io::Error;

/// A running cell; dropping it kills the entry instances and deletes their settings and logs.
pub struct ProcessCell {
    /// Stand-ins of the platform, the workers and the backend servers, with fault injection and recorded history.
    pub standins: Standins,
    /// Plan from which the cell was started.
    pub plan: CellPlan,
    program: Program,
    entries: Vec<EntryProcess>,
    client: Client,
    dir: PathBuf,
}

impl ProcessCell {
    /// Starts the stand-ins and all entry instances.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, or a file or process cannot be created.
    pub fn start(plan: CellPlan, program: Program) -> Result<Self, StartError> {
        let standins = Standins::start(&plan.standin_config())?;
        let number = NEXT_DIR_NUMBER.fetch_add(1, Ordering::SeqCst);
        let dir = env::temp_dir().join(format!("ragwortreel-cell-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut cell = Self {
            standins,
            plan,
            program,
            entries: Vec::new(),
            client: Client::new(ClientLimits::default()),
            dir,
        };
        let addresses = allocate_entry_addresses(cell.plan.entry_count())?;
        for (number, addresses) in addresses.into_iter().enumerate() {
            let entry = cell.write_settings(number, addresses)?;
            cell.entries.push(entry);
            cell.start_entry(number)?;
        }
        Ok(cell)
    }

    /// Writes the settings file of an entry instance, which is not started yet.
    fn write_settings(&self, number: usize, addresses: EntryAddresses) -> io::Result<EntryProcess> {
        let platform = self
            .standins
            .platform
            .as_ref()
            .map_or_else(loopback_any_port, |running| running.server.addr());
        let config = self.plan.daemon_config(number, addresses, platform);
        let config =
            config.ok_or_else(|| io::Error::other("the cell plan has no availability zone"))?;
        let settings = self.dir.join(format!("{number}.json"));
        fs::write(&settings, serde_json::to_vec(&config)?)?;
        Ok(EntryProcess::new(
            addresses,
            settings,
            self.dir.join(format!("{number}.log")),
        ))
    }

    /// Number of entry instances.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cell has no entry instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Address at which an entry instance accepts requests of callers.
    #[must_use]
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.entries[number].addresses.caller
    }

    /// Creates a load balancer over all entry instances.
    #[must_use]
    pub fn balancer(&self) -> Balancer {
        Balancer::new(
            (0..self.len())
                .map(|number| self.caller_address(number))
                .collect(),
        )
    }

    /// Starts an entry instance that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be started.
    pub fn start_entry(&mut self, number: usize) -> io::Result<()> {
        self.entries[number].start(&self.program)
    }

    /// Kills an entry instance with SIGKILL to simulate a crash; has no effect when it is not running.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be killed or waited for.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        self.entries[number].kill()
    }

    /// Pauses an entry instance with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent, or when the instance is not running.
    pub fn pause(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::STOP)
    }

    /// Resumes a paused entry instance with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent, or when the instance is not running.
    pub fn resume(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::CONT)
    }

    /// Requests the graceful shutdown of an entry instance with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal cannot be sent, or when the instance is not running.
    pub fn terminate(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::TERM)
    }

    /// Whether an entry instance's process has exited or is not started.
    ///
    /// # Errors
    ///
    /// Returns an error when the state of the process cannot be queried.
    pub fn has_ended(&mut self, number: usize) -> io::Result<bool> {
        self.entries[number].has_ended()
    }

    /// Whether an entry instance is started; a process that exits by itself counts as started until
    /// [`has_ended`](Self::has_ended) detects the exit.
    #[must_use]
    pub fn is_started(&self, number: usize) -> bool {
        self.entries[number].is_started()
    }

    /// Processor time and memory used by an entry instance; absent when it is not running.
    #[must_use]
    pub fn usage(&self, number: usize) -> Option<ProcessUsage> {
        self.entries[number].usage()
    }

    /// Log of an entry instance, from its standard error; empty when the file cannot be read.
    #[must_use]
    pub fn log(&self, number: usize) -> String {
        fs::read_to_string(self.dir.join(format!("{number}.log"))).unwrap_or_default()
    }

    /// Sends a request to an entry instance, without an `authorization` header when `token` is empty.
    ///
    /// # Errors
    ///
    /// Returns the client's error as text when no complete response arrives within 2 s.
    pub async fn send_request(
        &self,
        number: usize,
        method: Method,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<ragwortreel_http::Response, String> {
        let address = self.caller_address(number);
        let mut req = Request::new(method, path)
            .with_body(body)
            .with_header("host", address.to_string());
        if !token.is_empty() {
            req = req.with_header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in headers {
            req = req.with_header(name, *value);
        }
        self.client
            .send(address, req, Instant::now() + REQUEST_TIMEOUT)
            .await
            .map_err(|err| err.to_string())
    }

    /// Whether an entry instance reports at `/ready` that it is ready.
    pub async fn is_ready(&self, number: usize) -> bool {
        let response = self
            .send_request(number, Method::Get, "/ready", "", &[], b"")
            .await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until all started entry instances are ready.
    ///
    /// # Errors
    ///
    /// Returns the number and the log of the first instance that is not ready within the timeout.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        for number in (0..self.len()).filter(|number| self.is_started(*number)) {
            while !self.is_ready(number).await {
                if Instant::now() >= deadline {
                    return Err(format!(
                        "entry instance {number} is not ready after {timeout:?}; its log: {}",
                        self.log(number)
                    ));
                }
                sleep_ms(50).await;
            }
        }
        Ok(())
    }
}

impl Drop for ProcessCell {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Ports of entry instances, below the operating system's ephemeral port range: otherwise an outgoing connection could
/// take a port as its source port after it was found free and before the instance binds it.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Number of ports in a range, including the first port, which serves as the lock of the range.
const PORTS_PER_RANGE: u16 = 500;

/// Ports reserved for this process. An instance that is being restarted leaves its port unbound; without the
/// reservation, an instance of a cell in another process could bind it, and callers would reach the wrong cell.
struct PortRange {
    /// Listener on the first port of the range; bound until this process exits.
    _lock: TcpListener,
    unallocated: std::ops::Range<u16>,
}

/// Port ranges reserved by this process; only the last one has unallocated ports.
static RESERVED_RANGES: Mutex<Vec<PortRange>> = Mutex::new(Vec::new());

impl PortRange {
    /// Reserves the first range that no other process has locked.
    fn reserve() -> io::Result<Self> {
        let starts = PORTS.step_by(usize::from(PORTS_PER_RANGE));
        for first in starts.take_while(|first| PORTS.end - first >= PORTS_PER_RANGE) {
            if let Ok(lock) = TcpListener::bind(loopback_address(first)) {
                return Ok(Self {
                    _lock: lock,
                    unallocated: first + 1..first + PORTS_PER_RANGE,
                });
            }
        }
        Err(io::Error::other(format!(
            "no unused range of {PORTS_PER_RANGE} ports within {PORTS:?}"
        )))
    }
}

fn loopback_address(port: u16) -> SocketAddr {
    let mut address = loopback_any_port();
    address.set_port(port);
    address
}

/// Allocates an address whose port is free at present.
fn allocate_address() -> io::Result<SocketAddr> {
    let mut ranges = RESERVED_RANGES
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(port) = ranges.last_mut().and_then(|range| range.unallocated.next()) {
            let address = loopback_address(port);
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        } else {
            // An exhausted range stays locked because its instances may be restarted on its ports.
            ranges.push(PortRange::reserve()?);
        }
    }
}

fn allocate_entry_addresses(count: usize) -> io::Result<Vec<EntryAddresses>> {
    let addresses = (0..count).map(|_| {
        Ok(EntryAddresses {
            caller: allocate_address()?,
            entry: allocate_address()?,
        })
    });
    addresses.collect()
}
