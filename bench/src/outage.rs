//! Case `outage`: nine instances at full load while the store is down for 30 s.
//!
//! The instances write idempotency claims with their stored responses and rows like those of jobs, and read rows, at
//! the rates of the design size. Callers retry refused operations until they are acknowledged. The baseline is a store
//! client without circuit breaker, jitter, batching and rate limit, whose callers retry every 10 ms. It runs
//! concurrently with the first part of the outage, against its own store and with an outage of only 8 s, which favours
//! the baseline.

use {
    crate::outage_routing,
    crate::report::{Measure, Unit},
    ragwortreel_model::{Workspace, Zone},
    ragwortreel_platform::{
        Check, HttpPlatform, ResilientConfig, ResilientTable, TableService, Txn, TxnOutcome, Write,
        idempotency::{ClaimOutcome, FinalizeOutcome, IdempotencyClaims, StoredResponse},
    },
    ragwortreel_runtime::{block_on, discard_logger, sleep, sleep_ms, spawn, start_threads},
    ragwortreel_standins::{
        MemoryPlatform, Outage, PlatformCounts, RateLimits, ServerHandle, platform::serve_platform,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

const INSTANCES: u64 = 9;
/// Operations per second and instance: 5 claims, 10 row writes and 10 reads. Nine instances reach 45 claims/s,
/// 90 writes/s and 90 reads/s, about the rates of section 4.6 of the design page.
const OPERATIONS_PER_S: u64 = 25;
/// Time limit of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of one attempt to claim, after which the caller is told that the request did not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// First part of the outage, in which the store does not respond; in the rest it refuses calls.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Time after the outage in which the call rate is sampled.
const SAMPLING_TIME: Duration = Duration::from_secs(5);
/// Time between two samples of the call counts, in ms.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// Lengths of the phases of a run.
#[derive(Debug, Clone, Copy)]
struct Phases {
    before: Duration,
    outage: Duration,
    /// Time after the outage; no operation starts in its last 2 s.
    after: Duration,
}

const RESILIENT_PHASES: Phases = Phases {
    before: Duration::from_secs(4),
    outage: Duration::from_secs(30),
    after: Duration::from_secs(10),
};
const NAIVE_PHASES: Phases = Phases {
    before: Duration::from_secs(2),
    outage: Duration::from_secs(8),
    after: Duration::from_secs(10),
};

/// Store client under measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientKind {
    Resilient,
    Naive,
}

impl ClientKind {
    /// Delay before a caller retries a refused operation, in ms.
    fn retry_delay_ms(self) -> u64 {
        match self {
            Self::Resilient => fastrand::u64(500..1_500),
            Self::Naive => 10,
        }
    }
}

/// Operations that were acknowledged to callers, and executions.
#[derive(Debug, Default)]
struct History {
    /// Claim names whose stored response was acknowledged.
    responses: Vec<String>,
    /// Keys and values of rows whose write was acknowledged.
    rows: Vec<(Arc<str>, Arc<str>)>,
    /// Number of executions per idempotency key.
    executions: BTreeMap<String, u32>,
    /// When the last operation that started before the end of the outage was acknowledged.
    backlog_done: Option<Instant>,
    /// When an operation was first acknowledged after the outage.
    first_after: Option<Instant>,
    /// When the outage ended.
    outage_end: Option<Instant>,
}

/// State that all instances of a run share.
struct LoadRun {
    kind: ClientKind,
    history: Mutex<History>,
    /// Writes and claims that were started.
    started: AtomicU64,
    /// Writes and claims that were acknowledged.
    acknowledged: AtomicU64,
    end: Instant,
}

impl LoadRun {
    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an acknowledged operation that started at `began`; `record` adds it to the history.
    fn acknowledge(&self, began: Instant, record: impl FnOnce(&mut History)) {
        let now = Instant::now();
        let mut history = self.lock();
        record(&mut history);
        if let Some(outage_end) = history.outage_end {
            history.first_after.get_or_insert(now);
            if began < outage_end {
                history.backlog_done = Some(now);
            }
        }
        self.acknowledged.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits for the retry delay; returns `false` once the run is over.
    async fn wait_before_retry(&self) -> bool {
        sleep_ms(self.kind.retry_delay_ms()).await;
        Instant::now() < self.end
    }
}

/// One instance with its store clients.
#[derive(Clone)]
struct Instance {
    run: Arc<LoadRun>,
    number: u64,
    table: Arc<dyn TableService>,
    claims: IdempotencyClaims,
}

impl Instance {
    fn new(run: &Arc<LoadRun>, number: u64, addr: SocketAddr, zone: &Zone) -> Self {
        let client = Arc::new(HttpPlatform::new(addr, zone.clone(), CALL_TIMEOUT));
        let table: Arc<dyn TableService> = match run.kind {
            ClientKind::Naive => client,
            ClientKind::Resilient => {
                let cfg = ResilientConfig {
                    instances: 9,
                    seed: number,
                    ..ResilientConfig::default()
                };
                Arc::new(ResilientTable::new(client, cfg, discard_logger()))
            }
        };
        let holder = format!("i{number}");
        let claims = IdempotencyClaims::new(Arc::clone(&table), &holder, discard_logger());
        Self {
            run: Arc::clone(run),
            number,
            table,
            claims,
        }
    }

    /// Starts operations at the rate of one instance until `until`.
    async fn generate_load(self, workspace: Workspace, until: Instant) {
        let pause = Duration::from_secs(1) / u32::try_from(OPERATIONS_PER_S).unwrap_or(1);
        let mut next = Instant::now();
        let mut number = 0;
        while next < until {
            let instance = self.clone();
            let name = format!("{}-{number}", self.number);
            match number % 5 {
                0 => spawn(instance.claim(workspace.clone(), name)).detach(),
                1 | 2 => spawn(instance.write(name)).detach(),
                _ => spawn(instance.read()).detach(),
            }
            number += 1;
            next += pause;
            sleep(next.saturating_duration_since(Instant::now())).await;
        }
    }

    /// Claims an idempotency key and stores a response, with retries.
    async fn claim(self, workspace: Workspace, name: String) {
        let began = Instant::now();
        self.run.started.fetch_add(1, Ordering::Relaxed);
        loop {
            let deadline = Instant::now() + CLAIM_TIMEOUT;
            let is_stored = match self
                .claims
                .claim(&workspace, &name, "digest", deadline)
                .await
            {
                ClaimOutcome::Run(claim) => {
                    *(self.run.lock().executions)
                        .entry(name.clone())
                        .or_default() += 1;
                    let response = StoredResponse {
                        status: 200,
                        headers: vec![],
                        body: name.clone().into_bytes(),
                    };
                    claim.complete(response).await == FinalizeOutcome::Stored
                }
                ClaimOutcome::Replay(_) => true,
                ClaimOutcome::Unknown
                | ClaimOutcome::Mismatch
                | ClaimOutcome::Unavailable { .. } => false,
            };
            if is_stored {
                return self
                    .run
                    .acknowledge(began, |history| history.responses.push(name));
            }
            if !self.run.wait_before_retry().await {
                return;
            }
        }
    }

    /// Inserts a row, with retries.
    async fn write(self, name: String) {
        let began = Instant::now();
        self.run.started.fetch_add(1, Ordering::Relaxed);
        let (key, value): (Arc<str>, Arc<str>) =
            (Arc::from(format!("job/{name}")), Arc::from(name));
        let txn = Txn {
            checks: vec![Check {
                key: Arc::clone(&key),
                version: 0,
            }],
            writes: vec![Write {
                key: Arc::clone(&key),
                value: Some(Arc::clone(&value)),
            }],
        };
        loop {
            let is_written = match self.table.commit(txn.clone()).await {
                Ok(TxnOutcome::Committed { .. }) => true,
                // The row already exists when an earlier attempt took effect but its response was lost.
                Ok(TxnOutcome::Conflict { current }) => {
                    current.iter().any(|row| row.value == value)
                }
                Err(_) => false,
            };
            if is_written {
                return self
                    .run
                    .acknowledge(began, |history| history.rows.push((key, value)));
            }
            if !self.run.wait_before_retry().await {
                return;
            }
        }
    }

    /// Reads a row, with retries.
    async fn read(self) {
        while self.table.get("settings/head").await.is_err() {
            if !self.run.wait_before_retry().await {
                return;
            }
        }
    }
}

/// Result of one run.
#[derive(Debug)]
struct RunResult {
    acknowledged: u64,
    /// Acknowledged operations that are not in the store at the end.
    lost: u64,
    /// Idempotency keys that were executed more than once.
    executed_twice: u64,
    /// Operations that were started but not acknowledged.
    unfinished: u64,
    /// Calls above the store's rate limits in the busiest second after the outage.
    over_limit: u64,
    /// Write calls in the busiest second after the outage.
    peak_writes: u64,
    calls_in_outage: u64,
    /// Time from the end of the outage to the first acknowledgement, in s.
    first_after_s: f64,
    /// Time from the end of the outage until its backlog was acknowledged, in s.
    backlog_s: f64,
}

/// Runs the load through the phases against a store of its own.
async fn run_load(kind: ClientKind, phases: Phases) -> Result<RunResult, String> {
    let workspace = Workspace::new("workspace").map_err(|err| err.to_string())?;
    let zone = Zone::new("zone").map_err(|err| err.to_string())?;
    let platform = MemoryPlatform::with_limits(RateLimits::default(), 1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server: ServerHandle =
        serve_platform(any, Arc::clone(&platform)).map_err(|err| err.to_string())?;
    let end = Instant::now() + phases.before + phases.outage + phases.after;
    let run = Arc::new(LoadRun {
        kind,
        history: Mutex::default(),
        started: AtomicU64::new(0),
        acknowledged: AtomicU64::new(0),
        end,
    });
    for number in 0..INSTANCES {
        let instance = Instance::new(&run, number, server.addr(), &zone);
        let until = end.checked_sub(Duration::from_secs(2)).unwrap_or(end);
        spawn(instance.generate_load(workspace.clone(), until)).detach();
    }
    sleep(phases.before).await;
    let before = platform.counts();
    platform
        .faults()
        .update(|f| f.outage = Some(Outage::Silent));
    sleep(SILENT_TIME).await;
    platform
        .faults()
        .update(|f| f.outage = Some(Outage::Refuse));
    sleep(phases.outage.saturating_sub(SILENT_TIME)).await;
    let calls_in_outage = platform.counts().refused - before.refused;
    let outage_end = Instant::now();
    run.lock().outage_end = Some(outage_end);
    platform.faults().clear();
    let samples = sample_calls(&platform).await;
    sleep(end.saturating_duration_since(Instant::now())).await;
    // Calls in flight at the end may still be acknowledged.
    sleep(CLAIM_TIMEOUT / 2).await;
    Ok(evaluate(
        &run,
        &platform,
        &samples,
        outage_end,
        calls_in_outage,
    ))
}

/// Time, and the total numbers of write and read calls that had arrived by then.
type Sample = (Instant, u64, u64);

/// Samples the store's call counts for [`SAMPLING_TIME`].
async fn sample_calls(platform: &MemoryPlatform) -> Vec<Sample> {
    let start = Instant::now();
    let mut samples = Vec::new();
    while start.elapsed() <= SAMPLING_TIME {
        let PlatformCounts {
            writes,
            reads,
            writes_over_limit,
            reads_over_limit,
            ..
        } = platform.counts();
        let now = Instant::now();
        samples.push((now, writes + writes_over_limit, reads + reads_over_limit));
        sleep_ms(SAMPLE_INTERVAL_MS).await;
    }
    samples
}

/// Largest numbers of write calls and of read calls within any second.
fn peaks(samples: &[Sample]) -> (u64, u64) {
    let (mut writes, mut reads, mut first) = (0, 0, 0);
    for sample in samples {
        while sample.0.duration_since(samples[first].0) > Duration::from_secs(1) {
            first += 1;
        }
        writes = writes.max(sample.1 - samples[first].1);
        reads = reads.max(sample.2 - samples[first].2);
    }
    (writes, reads)
}

fn evaluate(
    run: &LoadRun,
    platform: &MemoryPlatform,
    samples: &[Sample],
    outage_end: Instant,
    calls_in_outage: u64,
) -> RunResult {
    let history = run.lock();
    let stored: BTreeSet<String> = (platform.peek_all("once/").iter())
        .filter_map(|row| stored_response(&row.value))
        .collect();
    let is_kept = |(key, value): &&(Arc<str>, Arc<str>)| {
        platform.peek(key).is_some_and(|row| row.value == *value)
    };
    let lost_responses = history
        .responses
        .iter()
        .filter(|response| !stored.contains(*response));
    let lost_rows = history.rows.iter().filter(|row| !is_kept(row));
    let limits = RateLimits::default();
    let (writes, reads) = peaks(samples);
    let over = |calls: u64, limit: u32| calls.saturating_sub(limit.into());
    let since = |at: Option<Instant>| {
        at.map_or(f64::INFINITY, |at| {
            at.duration_since(outage_end).as_secs_f64()
        })
    };
    let started = run.started.load(Ordering::Relaxed);
    RunResult {
        acknowledged: (history.responses.len() + history.rows.len()) as u64,
        lost: (lost_responses.count() + lost_rows.count()) as u64,
        executed_twice: history
            .executions
            .values()
            .filter(|count| **count > 1)
            .count() as u64,
        unfinished: started - run.acknowledged.load(Ordering::Relaxed),
        over_limit: over(writes, limits.writes_per_s) + over(reads, limits.reads_per_s),
        peak_writes: writes,
        calls_in_outage,
        first_after_s: since(history.first_after),
        backlog_s: since(history.backlog_done),
    }
}

/// Body of the response in a claim's row, if one is stored.
fn stored_response(value: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(value).ok()?;
    let body = value.get("answer")?.get("body")?.get("text")?;
    body.as_str().map(str::to_owned)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "the counts are far below the precision of a float"
)]
fn to_measures(resilient: &RunResult, naive: &RunResult) -> Vec<Measure> {
    let count = |name, pick: fn(&RunResult) -> u64| {
        Measure::info(name, pick(resilient) as f64, Unit::Count).with_baseline(pick(naive) as f64)
    };
    let at_most = |name, pick: fn(&RunResult) -> u64| {
        let value = pick(resilient) as f64;
        Measure::at_most(name, value, Unit::Count, 0.0).with_baseline(pick(naive) as f64)
    };
    let seconds = |name, pick: fn(&RunResult) -> f64| {
        Measure::info(name, pick(resilient), Unit::Seconds).with_baseline(pick(naive))
    };
    vec![
        at_most("lost_acknowledged", |result| result.lost),
        at_most("store_rate_after_over_limit", |result| result.over_limit),
        at_most("executed_twice", |result| result.executed_twice),
        count("acknowledged", |result| result.acknowledged),
        count("unfinished", |result| result.unfinished),
        count("peak_writes_after", |result| result.peak_writes),
        count("calls_in_outage", |result| result.calls_in_outage),
        seconds("first_acknowledged_after", |result| result.first_after_s),
        seconds("backlog_acknowledged_after", |result| result.backlog_s),
    ]
}

/// Runs the case.
///
/// # Errors
///
/// Returns an error when the store's stand-in or a process of the cell cannot be started.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(4).map_err(|err| err.to_string())?;
    block_on(async {
        let naive = spawn(run_load(ClientKind::Naive, NAIVE_PHASES));
        let routing = spawn(outage_routing::run());
        let resilient = run_load(ClientKind::Resilient, RESILIENT_PHASES).await?;
        let mut measures = to_measures(&resilient, &naive.await?);
        measures.extend(routing.await?);
        Ok(measures)
    })
}
