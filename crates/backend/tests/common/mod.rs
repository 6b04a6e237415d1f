//! A backend server on threads that fails on demand.

#![allow(dead_code, reason = "the test files use different subsets")]

use {
    ragwortreel_backend::{BackendPool, PoolLimits, SendOptions},
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::discard_logger,
    std::{
        collections::BTreeMap,
        io::{BufRead, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Seen by all connections of a server.
#[derive(Default)]
pub struct Seen {
    /// Requests by target, counted when the request line has arrived.
    pub runs: Mutex<BTreeMap<String, usize>>,
    /// Connections accepted so far.
    pub accepted: AtomicUsize,
    /// Connections open now, and the most at any time.
    pub open: AtomicUsize,
    pub most_open: AtomicUsize,
    /// Connections with a lower number never answer any more.
    pub silent_below: AtomicUsize,
}

/// A backend server. The target says how it behaves: `/KIND/NUMBER/...`.
///
/// `ok` answers with the target as body, `delay` after NUMBER ms, `late` 60 ms later still, `close` closes without an answer, `cut` closes
/// within the answer, `silent` never answers, `last` closes after the answer without saying so.
pub struct Backend {
    pub addr: SocketAddr,
    pub seen: Arc<Seen>,
}

impl Backend {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let addr = listener.local_addr().expect("address");
        let seen = Arc::new(Seen::default());
        let shared = Arc::clone(&seen);
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let seen = Arc::clone(&shared);
                let number = seen.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let open = seen.open.fetch_add(1, Ordering::SeqCst) + 1;
                    seen.most_open.fetch_max(open, Ordering::SeqCst);
                    serve(&socket, &seen, number);
                    drop(socket);
                    seen.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { addr, seen }
    }

    pub fn pool(&self, limits: PoolLimits) -> BackendPool {
        BackendPool::new(self.addr, limits, discard_logger())
    }

    pub fn accepted(&self) -> usize {
        self.seen.accepted.load(Ordering::SeqCst)
    }

    pub fn runs(&self, target: &str) -> usize {
        let runs = self.seen.runs.lock().expect("lock");
        runs.get(target).copied().unwrap_or(0)
    }

    /// All connections accepted so far never answer any more.
    pub fn silence(&self) {
        let accepted = self.accepted();
        self.seen.silent_below.store(accepted, Ordering::SeqCst);
    }
}

fn serve(socket: &TcpStream, seen: &Seen, number: usize) {
    let mut reader = BufReader::new(socket);
    let mut writer = socket;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut runs = seen.runs.lock().expect("lock");
        *runs.entry(target.clone()).or_default() += 1;
        drop(runs);
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
        }
        let mut parts = target.split('/').skip(1);
        let kind = parts.next().unwrap_or_default();
        let value = parts.next().and_then(|text| text.parse().ok());
        let delay_ms = match kind {
            "delay" => value.unwrap_or(0),
            "late" => 60 + value.unwrap_or(0),
            _ => 0,
        };
        thread::sleep(Duration::from_millis(delay_ms));
        if kind == "silent" || number < seen.silent_below.load(Ordering::SeqCst) {
            continue;
        }
        let length = target.len();
        let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{target}");
        let sent = match kind {
            "close" => return,
            "cut" => &whole[..whole.len() - 2],
            _ => &whole,
        };
        if writer.write_all(sent.as_bytes()).is_err() || kind == "cut" || kind == "last" {
            return;
        }
    }
}

/// SendOptions of a request that must not be sent again.
pub fn terms(class: WorkClass, limit_ms: u64) -> SendOptions {
    SendOptions {
        class,
        deadline: Instant::now() + Duration::from_millis(limit_ms),
        retryable: false,
    }
}
