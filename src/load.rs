//! Open-loop load generator for entry instances, with a record of each attempt.
//!
//! Requests are sent at their scheduled times whether or not earlier ones were answered. Each attempt carries a unique
//! nonce, which the backend servers return, so that an answer to a different request is detected.

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

/// Maximum number of requests of one mix entry in flight; further ones wait, so that a stalled system does not exhaust
/// the sockets.
const MAX_IN_FLIGHT: usize = 2_000;
/// Maximum retries of a request with an idempotency key that was not answered.
const KEYED_RETRIES: u32 = 2;
/// Time for which the client waits for a response after the request's deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// One kind of request in a load mix, with its rate.
#[derive(Debug, Clone)]
pub struct MixEntry {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Name of the service within the workspace.
    pub service: ServiceName,
    /// Bearer token of the calling workspace.
    pub token: Arc<str>,
    /// Path within the service, with a leading slash.
    pub path: Arc<str>,
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate_per_s: f64,
    /// Deadline in the request's header, in ms.
    pub deadline_ms: u64,
    /// Whether requests are POSTs with an idempotency key, which are retried up to twice; others are GETs.
    pub keyed: bool,
}

/// Outcome of one attempt as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The service answered, with this HTTP status.
    Answered(u16),
    /// The entry instance reported that the request did not run.
    NotRun,
    /// The entry instance reported an unknown outcome.
    Unknown,
    /// The request was not sent to any entry instance.
    NotSent,
    /// The connection to the entry instance broke after the request was sent.
    Broken,
}

/// Record of one attempt of a request.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the request's [`MixEntry`].
    pub mix: usize,
    /// Nonce of the attempt, unique among all loads with different run names.
    pub nonce: Arc<str>,
    /// Idempotency key of the request, shared by its attempts.
    pub key: Option<Arc<str>>,
    /// Caller address of the entry instance that was tried last.
    pub entry: SocketAddr,
    /// Time of the attempt since the start of the load.
    pub sent: Duration,
    /// Time from the attempt until its outcome.
    pub took: Duration,
    /// Outcome of the attempt.
    pub seen: CallOutcome,
    /// Whether the answer is complete and carries the nonce of this attempt or, as a replay, of an earlier attempt with
    /// the same key.
    ///
    /// Also true if there is no answer or the answer is a server error, because these carry no nonce to verify.
    pub is_own_answer: bool,
    /// Whether the attempt is a retry.
    pub is_repeat: bool,
}

/// Caller addresses of the entry instances, tried in random order; simulates the platform's load balancer.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Creates a balancer over the caller addresses `entries`.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    /// Replaces the addresses; later requests use only the new ones.
    pub fn set(&self, entries: Vec<SocketAddr>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Returns the addresses in random order.
    fn shuffled(&self, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
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
    mix: Vec<MixEntry>,
    balancer: Balancer,
    client: Client,
    start: Instant,
    run: Arc<str>,
    records: Mutex<Vec<CallRecord>>,
}

/// Running load generator; [`LoadGenerator::finish`] returns the records.
pub struct LoadGenerator {
    shared: Arc<Shared>,
    tasks: Vec<Task<()>>,
}

impl LoadGenerator {
    /// Starts sending requests and continues for `duration`.
    ///
    /// `seed` determines arrival times and the order of entry instances; `run` is a prefix that keeps nonces and keys
    /// unique among loads.
    #[must_use]
    pub fn start(
        mix: Vec<MixEntry>,
        balancer: Balancer,
        duration: Duration,
        seed: u64,
        run: &str,
    ) -> Self {
        let count = mix.len();
        let shared = Arc::new(Shared {
            mix,
            balancer,
            client: Client::new(ClientLimits::default()),
            start: Instant::now(),
            run: Arc::from(run),
            records: Mutex::default(),
        });
        let sender = |index: usize| {
            let rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(index as u64));
            spawn(send_entry(Arc::clone(&shared), index, duration, rng))
        };
        let tasks = (0..count).map(sender).collect();
        Self { shared, tasks }
    }

    /// Number of attempts that have ended so far.
    #[must_use]
    pub fn ended_attempts(&self) -> usize {
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

/// Sends the requests of one mix entry at random times with its mean rate.
async fn send_entry(shared: Arc<Shared>, index: usize, duration: Duration, mut rng: fastrand::Rng) {
    let rate = shared.mix[index].rate_per_s;
    let (tx, rx) = async_channel::bounded::<()>(MAX_IN_FLIGHT);
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    for number in 0_u64.. {
        // Exponentially distributed gaps result in Poisson arrivals.
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
            send_request(&shared, index, number, rng).await;
            let _ = rx.recv().await;
        }));
    }
    for task in tasks {
        task.await;
    }
}

async fn send_request(shared: &Shared, index: usize, number: u64, mut rng: fastrand::Rng) {
    let keyed = shared.mix[index].keyed;
    let key: Option<Arc<str>> =
        keyed.then(|| Arc::from(format!("{}-{index}-{number}", shared.run)));
    for attempt in 0..=KEYED_RETRIES {
        let nonce: Arc<str> = Arc::from(format!("{}-{index}-{number}-{attempt}", shared.run));
        let record = send_attempt(shared, index, &nonce, key.clone(), attempt, &mut rng).await;
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
    index: usize,
    nonce: &Arc<str>,
    key: Option<Arc<str>>,
    attempt: u32,
    rng: &mut fastrand::Rng,
) -> CallRecord {
    let begun = Instant::now();
    let (entry, result) = send_to_any(shared, &shared.mix[index], nonce, key.as_deref(), rng).await;
    let (seen, is_own_answer) = match result {
        Ok(response) => classify_response(&response, nonce, key.is_some()),
        Err(Sent::Nothing) => (CallOutcome::NotSent, true),
        Err(Sent::Maybe) => (CallOutcome::Broken, true),
    };
    CallRecord {
        mix: index,
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

/// Tries the entry instances in random order until the request is sent to one.
async fn send_to_any(
    shared: &Shared,
    kind: &MixEntry,
    nonce: &str,
    key: Option<&str>,
    rng: &mut fastrand::Rng,
) -> (SocketAddr, Result<Response, Sent>) {
    let deadline = Instant::now() + Duration::from_millis(kind.deadline_ms) + RESPONSE_GRACE;
    let mut last = crate::cell_plan::loopback_any_port();
    for entry in shared.balancer.shuffled(rng) {
        last = entry;
        let req = build_request(kind, entry, nonce, key);
        match shared.client.send(entry, req, deadline).await {
            Ok(response) => return (entry, Ok(response)),
            Err(err) if err.sent == Sent::Nothing => {}
            Err(_) => return (entry, Err(Sent::Maybe)),
        }
    }
    (last, Err(Sent::Nothing))
}

fn build_request(kind: &MixEntry, entry: SocketAddr, nonce: &str, key: Option<&str>) -> Request {
    let path = format!(
        "/v1/services/{}/{}{}",
        kind.workspace, kind.service, kind.path
    );
    let req = match key {
        // Retries must be identical requests, so the nonce is in a header, not in the path or body.
        Some(key) => Request::post(path, b"{}".to_vec()).with_header(IDEMPOTENCY_HEADER, key),
        None => Request::new(Method::Get, path),
    };
    req.with_header("host", entry.to_string())
        .with_header("authorization", format!("Bearer {}", kind.token))
        .with_header(DEADLINE_HEADER, kind.deadline_ms.to_string())
        .with_header("x-nonce", nonce)
}

/// Returns the outcome of a response and whether it belongs to the attempt, as in [`CallRecord::is_own_answer`].
fn classify_response(response: &Response, nonce: &str, keyed: bool) -> (CallOutcome, bool) {
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
    // A replayed answer carries the nonce of an earlier attempt, which differs only in the attempt number at its end.
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
