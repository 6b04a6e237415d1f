//! A multi-threaded backend server that simulates failures, and options of requests.

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

/// State that all connections of a server share.
#[derive(Default)]
pub struct ServerState {
    /// Number of requests for each target, counted when the request line has been received.
    pub request_counts: Mutex<BTreeMap<String, usize>>,
    /// Connections accepted since the server started.
    pub accepted: AtomicUsize,
    /// Connections that are open now.
    pub open: AtomicUsize,
    /// Most connections that were open at the same time.
    pub most_open: AtomicUsize,
    /// Connections accepted before the one with this number send no more responses.
    pub silent_below: AtomicUsize,
}

/// A backend server whose behaviour is selected by the request target, `/KIND/NUMBER/...`.
///
/// - `ok` responds with the target as body.
/// - `delay` responds after NUMBER ms, `late` after NUMBER + 60 ms.
/// - `close` closes the connection without a response, `cut` within the response.
/// - `silent` sends no response and keeps the connection open.
/// - `last` closes the connection after a response without `connection: close`.
pub struct Backend {
    pub addr: SocketAddr,
    pub state: Arc<ServerState>,
}

impl Backend {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let addr = listener.local_addr().expect("address");
        let state = Arc::new(ServerState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&shared);
                let number = state.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let open = state.open.fetch_add(1, Ordering::SeqCst) + 1;
                    state.most_open.fetch_max(open, Ordering::SeqCst);
                    serve(&socket, &state, number);
                    drop(socket);
                    state.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { addr, state }
    }

    pub fn pool(&self, limits: PoolLimits) -> BackendPool {
        BackendPool::new(self.addr, limits, discard_logger())
    }

    pub fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    pub fn request_count(&self, target: &str) -> usize {
        let counts = self.state.request_counts.lock().expect("lock");
        counts.get(target).copied().unwrap_or(0)
    }

    /// Stops all responses on the connections accepted so far.
    pub fn silence_connections(&self) {
        let accepted = self.accepted();
        self.state.silent_below.store(accepted, Ordering::SeqCst);
    }
}

fn serve(socket: &TcpStream, state: &ServerState, number: usize) {
    let mut reader = BufReader::new(socket);
    let mut writer = socket;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut counts = state.request_counts.lock().expect("lock");
        *counts.entry(target.clone()).or_default() += 1;
        drop(counts);
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
        if kind == "silent" || number < state.silent_below.load(Ordering::SeqCst) {
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

/// Options of a request that must not be sent again, with a deadline in `timeout_ms` milliseconds.
pub fn send_options(class: WorkClass, timeout_ms: u64) -> SendOptions {
    SendOptions {
        class,
        deadline: Instant::now() + Duration::from_millis(timeout_ms),
        retryable: false,
    }
}
