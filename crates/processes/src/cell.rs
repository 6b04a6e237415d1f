//! A whole cell: stand-ins in this process, entry instances as child processes.

use {
    crate::child::{Entry, Program},
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

static NEXT_DIR: AtomicU32 = AtomicU32::new(0);
/// Longest wait for one answer of an entry instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a cell does not start.
pub type StartError = io::Error;

/// Stand-ins and child processes; dropping it ends the processes.
pub struct ProcessCell {
    /// The stand-ins, with their fault switches and records.
    pub standins: Standins,
    /// The plan.
    pub plan: CellPlan,
    program: Program,
    entries: Vec<Entry>,
    client: Client,
    dir: PathBuf,
}

impl ProcessCell {
    /// Starts the stand-ins and all entry instances.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or a process cannot be started.
    pub fn start(plan: CellPlan, program: Program) -> Result<Self, StartError> {
        let standins = Standins::start(&plan.standin_config())?;
        let number = NEXT_DIR.fetch_add(1, Ordering::SeqCst);
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
        let addresses = free_addresses(cell.plan.entry_count())?;
        for (number, addresses) in addresses.into_iter().enumerate() {
            let entry = cell.write_settings(number, addresses)?;
            cell.entries.push(entry);
            cell.start_entry(number)?;
        }
        Ok(cell)
    }

    fn write_settings(&self, number: usize, addresses: EntryAddresses) -> io::Result<Entry> {
        let platform = self
            .standins
            .platform
            .as_ref()
            .map_or_else(loopback_any_port, |running| running.listening.addr());
        let config = self.plan.daemon_config(number, addresses, platform);
        let config = config.ok_or_else(|| io::Error::other("the plan has no zone"))?;
        let settings = self.dir.join(format!("{number}.json"));
        fs::write(&settings, serde_json::to_vec(&config)?)?;
        Ok(Entry::new(
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

    /// Address for callers of an entry instance.
    #[must_use]
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.entries[number].addresses.caller
    }

    /// A balancer over all entry instances.
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

    /// Ends an entry instance at once, as by a crash.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        self.entries[number].kill()
    }

    /// Pauses an entry instance.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn pause(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::STOP)
    }

    /// Lets a paused entry instance go on.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn resume(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::CONT)
    }

    /// Asks an entry instance to stop gracefully.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn terminate(&self, number: usize) -> io::Result<()> {
        self.entries[number].signal(Signal::TERM)
    }

    /// Whether an entry instance's process has ended.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn has_ended(&mut self, number: usize) -> io::Result<bool> {
        self.entries[number].has_ended()
    }

    /// Whether an entry instance's process was started and not killed.
    #[must_use]
    pub fn is_started(&self, number: usize) -> bool {
        self.entries[number].is_started()
    }

    /// What an entry instance's process has used.
    #[must_use]
    pub fn usage(&self, number: usize) -> Option<ProcessUsage> {
        self.entries[number].usage()
    }

    /// The log of an entry instance.
    #[must_use]
    pub fn log(&self, number: usize) -> String {
        fs::read_to_string(self.dir.join(format!("{number}.log"))).unwrap_or_default()
    }

    /// Sends a request to an entry instance.
    ///
    /// # Errors
    ///
    /// Returns the problem as text.
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

    /// Whether an entry instance is ready.
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
    /// Returns the number of the first instance that is not ready in time.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let limit = Instant::now() + limit;
        for number in (0..self.len()).filter(|number| self.is_started(*number)) {
            while !self.is_ready(number).await {
                if Instant::now() >= limit {
                    return Err(format!(
                        "entry instance {number} is not ready: {}",
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

/// Ports for entry instances, below those that the operating system gives to outgoing connections: a port that was
/// free a moment ago could otherwise be the source port of a connection when the instance binds it.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Ports of one range; the first one is the range's lock.
const PORTS_PER_RANGE: u16 = 500;

/// Ports that no other process uses. An instance that is down for a moment leaves its port unbound, and an instance of
/// another process's cell could take it; callers would then reach the wrong cell.
struct PortRange {
    /// Bound for as long as this process lives.
    _lock: TcpListener,
    free: std::ops::Range<u16>,
}

static RANGES: Mutex<Vec<PortRange>> = Mutex::new(Vec::new());

impl PortRange {
    fn claim() -> io::Result<Self> {
        let starts = PORTS.step_by(usize::from(PORTS_PER_RANGE));
        for first in starts.take_while(|first| PORTS.end - first >= PORTS_PER_RANGE) {
            if let Ok(lock) = TcpListener::bind(with_port(first)) {
                return Ok(Self {
                    _lock: lock,
                    free: first + 1..first + PORTS_PER_RANGE,
                });
            }
        }
        Err(io::Error::other("all port ranges are in use"))
    }
}

fn with_port(port: u16) -> SocketAddr {
    let mut address = loopback_any_port();
    address.set_port(port);
    address
}

fn free_address() -> io::Result<SocketAddr> {
    let mut ranges = RANGES.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if let Some(port) = ranges.last_mut().and_then(|range| range.free.next()) {
            let address = with_port(port);
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        } else {
            // A range that is used up stays locked, because its instances may be restarted.
            ranges.push(PortRange::claim()?);
        }
    }
}

fn free_addresses(count: usize) -> io::Result<Vec<EntryAddresses>> {
    let addresses = (0..count).map(|_| {
        Ok(EntryAddresses {
            caller: free_address()?,
            entry: free_address()?,
        })
    });
    addresses.collect()
}
