//! Case `silent`: all open connections to a backend server stop responding for good, while new connections work.
//!
//! Callers send short and long requests through one connection pool. At fixed times every open connection becomes
//! silent. A caller whose attempt fails because of a silent connection retries it within the same deadline. The
//! baseline is the same load without the detection of silent connections.

use {
    crate::report::{Measure, Unit},
    async_trait::async_trait,
    ragwortreel_backend::{BackendPool, PoolLimits, SendOptions, SendResult, UnknownReason},
    ragwortreel_http::{Handler, Request, Response, Server, ServerLimits},
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{Stop, discard_logger, future, sleep, sleep_ms, spawn, start_threads},
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Executor threads.
const THREADS: usize = 4;
const MAX_CONNECTIONS: usize = 64;
const SHORT_CALLERS: usize = 24;
const LONG_CALLERS: usize = 4;
/// Service time of a short request, in ms.
const SHORT_MS: u64 = 5;
/// Service time of a long request, in ms.
const LONG_MS: u64 = 500;
/// The default deadline of a service.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);
const LONG_DEADLINE: Duration = Duration::from_secs(20);
/// Length of the load.
const LOAD_TIME: Duration = Duration::from_secs(15);
/// Times after the start at which all open connections become silent.
const SILENCE_TIMES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(4),
    Duration::from_secs(7),
];
/// Target of the longest wait of a short request on a silent connection, in s.
const MAX_DETECTION_S: f64 = 3.0;

/// Backend server whose open connections can be made silent.
#[derive(Default)]
struct Backend {
    /// Peer addresses of all connections that sent a request.
    peers: Mutex<BTreeSet<SocketAddr>>,
    /// Peer addresses of the connections that get no more responses.
    silent: Mutex<BTreeSet<SocketAddr>>,
}

#[async_trait]
impl Handler for Backend {
    async fn handle(&self, req: Request, peer: SocketAddr) -> Response {
        lock(&self.peers).insert(peer);
        let work_ms = if req.path == "/long" {
            LONG_MS
        } else {
            SHORT_MS
        };
        sleep_ms(work_ms).await;
        // Checked after the work, so that requests in flight get no response either.
        if lock(&self.silent).contains(&peer) {
            return future::pending().await;
        }
        Response::new(200)
    }
}

/// Counts and longest waits of one or more callers.
#[derive(Default)]
struct CallerStats {
    requests: usize,
    /// Requests that ended without a response.
    missed: usize,
    attempts: usize,
    /// Longest time that an attempt of a short request took to fail.
    short_wait: Duration,
    /// Longest time that an attempt of a long request took to fail.
    long_wait: Duration,
}

impl CallerStats {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.missed += other.missed;
        self.attempts += other.attempts;
        self.short_wait = self.short_wait.max(other.short_wait);
        self.long_wait = self.long_wait.max(other.long_wait);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests of a class one after the other until `end`.
async fn run_caller(pool: Arc<BackendPool>, class: WorkClass, end: Instant) -> CallerStats {
    let mut stats = CallerStats::default();
    let (path, limit) = match class {
        WorkClass::Long => ("/long", LONG_DEADLINE),
        _ => ("/short", SHORT_DEADLINE),
    };
    while Instant::now() < end {
        let options = SendOptions {
            class,
            deadline: Instant::now() + limit,
            retryable: true,
        };
        stats.requests += 1;
        loop {
            stats.attempts += 1;
            let started = Instant::now();
            let result = pool.send(Request::get(path), options).await;
            let waited = started.elapsed();
            let longest = match class {
                WorkClass::Long => &mut stats.long_wait,
                _ => &mut stats.short_wait,
            };
            match result {
                SendResult::Answered(_) => break,
                SendResult::Unknown(UnknownReason::Silent { .. }) => {
                    *longest = waited.max(*longest);
                }
                _ => {
                    *longest = waited.max(*longest);
                    stats.missed += 1;
                    break;
                }
            }
        }
    }
    stats
}

/// Runs the load against a backend server and pool of its own; `None` turns the detection off.
async fn measure(silence_timeout: Option<Duration>) -> Result<CallerStats, String> {
    let backend = Arc::new(Backend::default());
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handler = Arc::clone(&backend) as Arc<dyn Handler>;
    let server = Server::bind(addr, handler, ServerLimits::default(), discard_logger());
    let server = server.map_err(|err| err.to_string())?;
    let limits = PoolLimits {
        max_connections: MAX_CONNECTIONS,
        silence_timeout,
        ..PoolLimits::default()
    };
    let pool = Arc::new(BackendPool::new(
        server.local_addr(),
        limits,
        discard_logger(),
    ));
    // The handlers of silent connections never return, so the server could not be drained.
    spawn(server.run(Stop::new())).detach();
    let start = Instant::now();
    let end = start + LOAD_TIME;
    let callers: Vec<_> = [
        (WorkClass::Short, SHORT_CALLERS),
        (WorkClass::Long, LONG_CALLERS),
    ]
    .into_iter()
    .flat_map(|(class, count)| std::iter::repeat_n(class, count))
    .map(|class| spawn(run_caller(Arc::clone(&pool), class, end)))
    .collect();
    for at in SILENCE_TIMES {
        sleep((start + at).saturating_duration_since(Instant::now())).await;
        let open = lock(&backend.peers).clone();
        lock(&backend.silent).extend(open);
    }
    let mut stats = CallerStats::default();
    for caller in callers {
        stats.add(&caller.await);
    }
    Ok(stats)
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    let detected = measure(PoolLimits::default().silence_timeout);
    // Both runs are concurrent, each with its own backend server and pool.
    let (detected, baseline) = ragwortreel_runtime::block_on(future::zip(detected, measure(None)));
    let (detected, baseline) = (detected?, baseline?);
    Ok(measures(&detected, &baseline))
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn measures(detected: &CallerStats, baseline: &CallerStats) -> Vec<Measure> {
    let attempts = |stats: &CallerStats| stats.attempts as f64 / stats.requests as f64;
    vec![
        Measure::at_most(
            "detection",
            detected.short_wait.as_secs_f64(),
            Unit::Seconds,
            MAX_DETECTION_S,
        )
        .with_baseline(baseline.short_wait.as_secs_f64()),
        Measure::at_most("deadline_missed", detected.missed as f64, Unit::Count, 0.0)
            .with_baseline(baseline.missed as f64),
        Measure::info(
            "long_detection",
            detected.long_wait.as_secs_f64(),
            Unit::Seconds,
        )
        .with_baseline(baseline.long_wait.as_secs_f64()),
        Measure::info("requests", detected.requests as f64, Unit::Count)
            .with_baseline(baseline.requests as f64),
        Measure::info("attempts_per_request", attempts(detected), Unit::Ratio)
            .with_baseline(attempts(baseline)),
    ]
}
