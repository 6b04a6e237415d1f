//! Open connections go permanently silent while new ones work.
//!
//! Callers send short and long requests through one pool. At fixed times all connections that are open go silent. A
//! caller whose request ends as silent sends it again within its deadline. The baseline is the same load with the
//! detection off.

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

const THREADS: usize = 4;
const MAX_CONNECTIONS: usize = 64;
const SHORT_CALLERS: usize = 24;
const LONG_CALLERS: usize = 4;
const SHORT_MS: u64 = 5;
const LONG_MS: u64 = 500;
/// The default deadline of a service.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);
const LONG_DEADLINE: Duration = Duration::from_secs(20);
const RUN: Duration = Duration::from_secs(15);
/// Times at which all open connections go silent.
const EVENTS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(4),
    Duration::from_secs(7),
];
const MAX_DETECTION_S: f64 = 3.0;

/// A backend server whose known connections can go silent.
#[derive(Default)]
struct Backend {
    peers: Mutex<BTreeSet<SocketAddr>>,
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
        // Work in progress goes silent as well.
        if lock(&self.silent).contains(&peer) {
            return future::pending().await;
        }
        Response::new(200)
    }
}

/// What one caller saw.
#[derive(Default)]
struct Seen {
    requests: usize,
    missed: usize,
    attempts: usize,
    /// Longest time that a request waited on a silent connection, by class.
    short_wait: Duration,
    long_wait: Duration,
}

impl Seen {
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

/// Sends requests one after the other until the end.
async fn call(pool: Arc<BackendPool>, class: WorkClass, end: Instant) -> Seen {
    let mut seen = Seen::default();
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
        seen.requests += 1;
        loop {
            seen.attempts += 1;
            let started = Instant::now();
            let result = pool.send(Request::get(path), options).await;
            let waited = started.elapsed();
            let longest = match class {
                WorkClass::Long => &mut seen.long_wait,
                _ => &mut seen.short_wait,
            };
            match result {
                SendResult::Answered(_) => break,
                SendResult::Unknown(UnknownReason::Silent { .. }) => {
                    *longest = waited.max(*longest)
                }
                _ => {
                    *longest = waited.max(*longest);
                    seen.missed += 1;
                    break;
                }
            }
        }
    }
    seen
}

async fn measure(silence_timeout: Option<Duration>) -> Result<Seen, String> {
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
    // The handlers of silent connections never end, so the server is not drained.
    spawn(server.run(Stop::new())).detach();
    let start = Instant::now();
    let end = start + RUN;
    let callers: Vec<_> = [
        (WorkClass::Short, SHORT_CALLERS),
        (WorkClass::Long, LONG_CALLERS),
    ]
    .into_iter()
    .flat_map(|(class, count)| std::iter::repeat_n(class, count))
    .map(|class| spawn(call(Arc::clone(&pool), class, end)))
    .collect();
    for at in EVENTS {
        sleep((start + at).saturating_duration_since(Instant::now())).await;
        let open = lock(&backend.peers).clone();
        lock(&backend.silent).extend(open);
    }
    let mut seen = Seen::default();
    for caller in callers {
        seen.add(&caller.await);
    }
    Ok(seen)
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    let detected = measure(PoolLimits::default().silence_timeout);
    // Both runs go at the same time, each with its own backend server and pool.
    let (detected, baseline) = ragwortreel_runtime::block_on(future::zip(detected, measure(None)));
    let (detected, baseline) = (detected?, baseline?);
    Ok(measures(&detected, &baseline))
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn measures(detected: &Seen, baseline: &Seen) -> Vec<Measure> {
    let attempts = |seen: &Seen| seen.attempts as f64 / seen.requests as f64;
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
