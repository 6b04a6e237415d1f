//! Callers' load on entry instances, with a record of what each caller saw.
//!
//! The load is open: requests are sent at their times whether or not earlier ones were answered. Every attempt carries
//! its own nonce, which backend servers repeat, so that an answer to another request is noticed.

use {
    ragwortreel_caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER},
    ragwortreel_http::{Client, ClientLimits, Method, Request, Response, Sent},
    ragwortreel_model::{Outcome, ServiceName, Workspace},
    ragwortreel_runtime::{Task, sleep, spawn},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Most requests of one load in flight; further ones wait, so that a stalled system does not exhaust sockets.
const MAX_IN_FLIGHT: usize = 2_000;
/// Further attempts of a request with a key whose outcome was not an answer.
const KEYED_REPEATS: u32 = 2;
/// Time that a client waits beyond the deadline that it named.
const GRACE: Duration = Duration::from_secs(2);

/// One kind of request.
#[derive(Debug, Clone)]
pub struct MixEntry {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Bearer token of the calling workspace.
    pub token: Arc<str>,
    /// Path within the service.
    pub path: Arc<str>,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Deadline that the caller names, in ms.
    pub deadline_ms: u64,
    /// Whether requests are POSTs with an idempotency key, repeated after an outcome other than an answer.
    pub keyed: bool,
}

/// What a caller saw of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer of the service with this status.
    Answered(u16),
    /// Told that it did not run.
    NotRun,
    /// Told that the outcome is unknown.
    Unknown,
    /// No entry instance took the request.
    NotSent,
    /// The connection to the entry instance broke after the request was sent.
    Broken,
}

/// One attempt of one request.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the kind of request.
    pub mix: usize,
    /// Nonce of this attempt.
    pub nonce: Arc<str>,
    /// Key under which the request runs at most once.
    pub key: Option<Arc<str>>,
    /// Entry instance that was asked last.
    pub entry: SocketAddr,
    /// When it was sent, since the start of the load.
    pub sent: Duration,
    /// Time until the caller had its outcome.
    pub took: Duration,
    /// What the caller saw.
    pub seen: CallOutcome,
    /// Whether the answer carried the nonce of this attempt, or is a replay of an earlier attempt of the same key.
    pub is_own_answer: bool,
    /// Whether this is a further attempt.
    pub is_repeat: bool,
}

/// Entry instances, as the platform's balancer would offer them.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Makes a balancer over addresses.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    /// Replaces the addresses.
    pub fn set(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    fn order(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
        let mut entries = self
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        rng.shuffle(&mut entries);
        entries
    }
}

struct Shared {
    mixes: Vec<MixEntry>,
    balancer: Balancer,
    client: Client,
    start: Instant,
    run: Arc<str>,
    records: Mutex<Vec<CallRecord>>,
}

/// A running load.
pub struct LoadGenerator {
    shared: Arc<Shared>,
    tasks: Vec<Task<()>>,
}

impl LoadGenerator {
    /// Starts sending; `run` makes nonces and keys unique among loads.
    #[must_use]
    pub fn start(
        mixes: Vec<MixEntry>,
        balancer: Balancer,
        duration: Duration,
        seed: u64,
        run: &str,
    ) -> Self {
        let count = mixes.len();
        let shared = Arc::new(Shared {
            mixes,
            balancer,
            client: Client::new(ClientLimits::default()),
            start: Instant::now(),
            run: Arc::from(run),
            records: Mutex::default(),
        });
        let sender = |mix: usize| {
            let rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(mix as u64));
            spawn(send_mix(Arc::clone(&shared), mix, duration, rng))
        };
        let tasks = (0..count).map(sender).collect();
        Self { shared, tasks }
    }

    /// Number of attempts that have ended.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Waits until all requests have ended and returns their records.
    pub async fn finish(self) -> Vec<CallRecord> {
        for task in self.tasks {
            task.await;
        }
        std::mem::take(
            &mut *self
                .shared
                .records
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

/// Sends the requests of one kind at random times with the mean rate.
async fn send_mix(shared: Arc<Shared>, mix: usize, duration: Duration, mut rng: fastrand::Rng) {
    let rate = shared.mixes[mix].rate_per_s;
    let (tx, rx) = async_channel::bounded::<()>(MAX_IN_FLIGHT);
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    for number in 0_u64.. {
        // Exponential gaps make the arrivals a Poisson process.
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        if at >= duration {
            break;
        }
        sleep((shared.start + at).saturating_duration_since(Instant::now())).await;
        if tx.send(()).await.is_err() {
            break;
        }
        let (shared, rx, rng) = (Arc::clone(&shared), rx.clone(), rng.fork());
        tasks.push(spawn(async move {
            send_request(&shared, mix, number, rng).await;
            let _ = rx.recv().await;
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn send_request(shared: &Shared, mix: usize, number: u64, mut rng: fastrand::Rng) {
    let keyed = shared.mixes[mix].keyed;
    let key: Option<Arc<str>> = keyed.then(|| Arc::from(format!("{}-{mix}-{number}", shared.run)));
    for attempt in 0..=KEYED_REPEATS {
        let nonce: Arc<str> = Arc::from(format!("{}-{mix}-{number}-{attempt}", shared.run));
        let record = send_attempt(shared, mix, &nonce, key.clone(), attempt, &mut rng).await;
        let seen = record.seen;
        shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
        if key.is_none() || matches!(seen, CallOutcome::Answered(_)) {
            return;
        }
    }
}

async fn send_attempt(
    shared: &Shared,
    mix: usize,
    nonce: &Arc<str>,
    key: Option<Arc<str>>,
    attempt: u32,
    rng: &mut fastrand::Rng,
) -> CallRecord {
    let begun = Instant::now();
    let (entry, result) = send_to_any(shared, &shared.mixes[mix], nonce, key.as_deref(), rng).await;
    let (seen, is_own_answer) = match result {
        Ok(response) => read_outcome(&response, nonce, key.is_some()),
        Err(Sent::Nothing) => (CallOutcome::NotSent, true),
        Err(Sent::Maybe) => (CallOutcome::Broken, true),
    };
    CallRecord {
        mix,
        nonce: Arc::clone(nonce),
        key,
        entry,
        sent: begun.duration_since(shared.start),
        took: begun.elapsed(),
        seen,
        is_own_answer,
        is_repeat: attempt > 0,
    }
}

/// Asks one entry instance after another until one takes the request.
async fn send_to_any(
    shared: &Shared,
    mix: &MixEntry,
    nonce: &str,
    key: Option<&str>,
    rng: &mut fastrand::Rng,
) -> (SocketAddr, Result<Response, Sent>) {
    let deadline = Instant::now() + Duration::from_millis(mix.deadline_ms) + GRACE;
    let mut last = crate::cell_plan::loopback_any_port();
    for entry in shared.balancer.order(rng) {
        last = entry;
        let req = request(mix, entry, nonce, key);
        match shared.client.send(entry, req, deadline).await {
            Ok(response) => return (entry, Ok(response)),
            Err(err) if err.sent == Sent::Nothing => {}
            Err(_) => return (entry, Err(Sent::Maybe)),
        }
    }
    (last, Err(Sent::Nothing))
}

fn request(mix: &MixEntry, entry: SocketAddr, nonce: &str, key: Option<&str>) -> Request {
    let path = format!("/v1/services/{}/{}{}", mix.workspace, mix.service, mix.path);
    let req = match key {
        // Repeats must be the same request, so the nonce is a header and no part of path or body.
        Some(key) => Request::post(path, b"{}".to_vec()).with_header(IDEMPOTENCY_HEADER, key),
        None => Request::new(Method::Get, path),
    };
    req.with_header("host", entry.to_string())
        .with_header("authorization", format!("Bearer {}", mix.token))
        .with_header(DEADLINE_HEADER, mix.deadline_ms.to_string())
        .with_header("x-nonce", nonce)
}

fn read_outcome(response: &Response, nonce: &str, keyed: bool) -> (CallOutcome, bool) {
    let outcome = response.headers.get(OUTCOME_HEADER);
    if outcome == Some(Outcome::NotRun.to_string().as_str()) {
        return (CallOutcome::NotRun, true);
    }
    if outcome != Some(Outcome::Answered.to_string().as_str()) {
        return (CallOutcome::Unknown, true);
    }
    if response.status >= 500 {
        return (CallOutcome::Answered(response.status), true);
    }
    let found = response.headers.get("x-nonce").unwrap_or_default();
    // A replayed answer carries the nonce of an earlier attempt, which differs in its last part only.
    let without_attempt = |nonce: &str| {
        nonce
            .rsplit_once('-')
            .map(|(request, _)| request.to_owned())
    };
    let is_own = found == nonce || (keyed && without_attempt(found) == without_attempt(nonce));
    let body = String::from_utf8_lossy(&response.body);
    (
        CallOutcome::Answered(response.status),
        is_own && body.contains(found) && body.ends_with('}'),
    )
}
