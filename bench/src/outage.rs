//! Case `outage`: nine instances at full load while the store is down for 30 s.
//!
//! The instances write claims with their answers and job-like rows, and read rows, at the design size's rates. Their
//! callers repeat what was refused until it is acknowledged. The baseline is a client without breaker, jitter, grouping
//! and rate limit, whose callers repeat every 10 ms. It runs beside the first part of the outage, against a store of
//! its own, with an outage of only 8 s, which is to its advantage.

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
        Counts, Limits, Listening, MemoryPlatform, Outage, platform::serve_platform,
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
/// Operations that each instance starts a second: 5 claims, 10 job-like writes and 10 reads. Nine instances make 45
/// claims/s, 90 writes/s and 90 reads/s, about the figures of section 4.6 of the design page.
const OPERATIONS_PER_S: u64 = 25;
/// Time limit of one call to the store.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time for which a claim is tried before its caller hears that it did not run.
const CLAIM_TIME: Duration = Duration::from_secs(2);
/// Part of the outage in which the store is silent; in the rest it refuses.
const SILENT: Duration = Duration::from_secs(3);
/// Time after the return in which the rate is watched.
const WATCH: Duration = Duration::from_secs(5);
const SAMPLE_MS: u64 = 20;

/// Lengths of the phases.
#[derive(Debug, Clone, Copy)]
struct Phases {
    before: Duration,
    outage: Duration,
    /// Time after the return; no operation starts in its last 2 s.
    after: Duration,
}

const FULL: Phases = Phases {
    before: Duration::from_secs(4),
    outage: Duration::from_secs(30),
    after: Duration::from_secs(10),
};
const BASELINE: Phases = Phases {
    before: Duration::from_secs(2),
    outage: Duration::from_secs(8),
    after: Duration::from_secs(10),
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Resilient,
    Naive,
}

impl Kind {
    /// Time after which a caller repeats what was refused.
    fn pause_ms(self) -> u64 {
        match self {
            Self::Resilient => fastrand::u64(500..1_500),
            Self::Naive => 10,
        }
    }
}

/// What callers were told and did.
#[derive(Debug, Default)]
struct Ledger {
    /// Answers whose storing was acknowledged.
    answers: Vec<String>,
    /// Rows whose write was acknowledged, with their values.
    rows: Vec<(Arc<str>, Arc<str>)>,
    /// Number of executions of each key.
    executions: BTreeMap<String, u32>,
    /// When the last operation that began before the return was acknowledged.
    backlog_done: Option<Instant>,
    first_after: Option<Instant>,
    returned: Option<Instant>,
}

struct Scene {
    kind: Kind,
    ledger: Mutex<Ledger>,
    started: AtomicU64,
    finished: AtomicU64,
    end: Instant,
}

impl Scene {
    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn acknowledge(&self, began: Instant, note: impl FnOnce(&mut Ledger)) {
        let now = Instant::now();
        let mut ledger = self.lock();
        note(&mut ledger);
        if let Some(returned) = ledger.returned {
            ledger.first_after.get_or_insert(now);
            if began < returned {
                ledger.backlog_done = Some(now);
            }
        }
        self.finished.fetch_add(1, Ordering::Relaxed);
    }

    // Waits before a repeat; `false` at the end of the run.
    async fn may_repeat(&self) -> bool {
        sleep_ms(self.kind.pause_ms()).await;
        Instant::now() < self.end
    }
}

/// Store clients of one instance.
#[derive(Clone)]
struct Instance {
    scene: Arc<Scene>,
    number: u64,
    table: Arc<dyn TableService>,
    claims: IdempotencyClaims,
}

impl Instance {
    fn new(scene: &Arc<Scene>, number: u64, addr: SocketAddr, zone: &Zone) -> Self {
        let client = Arc::new(HttpPlatform::new(addr, zone.clone(), CALL_TIME));
        let table: Arc<dyn TableService> = match scene.kind {
            Kind::Naive => client,
            Kind::Resilient => {
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
            scene: Arc::clone(scene),
            number,
            table,
            claims,
        }
    }

    // Starts operations at the rate of one instance until an instant.
    async fn generate(self, workspace: Workspace, until: Instant) {
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

    async fn claim(self, workspace: Workspace, name: String) {
        let began = Instant::now();
        self.scene.started.fetch_add(1, Ordering::Relaxed);
        loop {
            let deadline = Instant::now() + CLAIM_TIME;
            let is_stored = match self
                .claims
                .claim(&workspace, &name, "digest", deadline)
                .await
            {
                ClaimOutcome::Run(claim) => {
                    *(self.scene.lock().executions)
                        .entry(name.clone())
                        .or_default() += 1;
                    let answer = StoredResponse {
                        status: 200,
                        headers: vec![],
                        body: name.clone().into_bytes(),
                    };
                    claim.complete(answer).await == FinalizeOutcome::Stored
                }
                ClaimOutcome::Replay(_) => true,
                ClaimOutcome::Unknown
                | ClaimOutcome::Mismatch
                | ClaimOutcome::Unavailable { .. } => false,
            };
            if is_stored {
                return self
                    .scene
                    .acknowledge(began, |ledger| ledger.answers.push(name));
            }
            if !self.scene.may_repeat().await {
                return;
            }
        }
    }

    async fn write(self, name: String) {
        let began = Instant::now();
        self.scene.started.fetch_add(1, Ordering::Relaxed);
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
                // The row exists when an earlier write with a lost answer took effect.
                Ok(TxnOutcome::Conflict { current }) => {
                    current.iter().any(|row| row.value == value)
                }
                Err(_) => false,
            };
            if is_written {
                return self
                    .scene
                    .acknowledge(began, |ledger| ledger.rows.push((key, value)));
            }
            if !self.scene.may_repeat().await {
                return;
            }
        }
    }

    async fn read(self) {
        while self.table.get("settings/head").await.is_err() {
            if !self.scene.may_repeat().await {
                return;
            }
        }
    }
}

/// Figures of one run.
#[derive(Debug)]
struct Result {
    acknowledged: u64,
    lost: u64,
    executed_twice: u64,
    unfinished: u64,
    over_limit: u64,
    peak_calls: u64,
    calls_in_outage: u64,
    first_after_s: f64,
    backlog_s: f64,
}

async fn run_scene(kind: Kind, phases: Phases) -> std::result::Result<Result, String> {
    let workspace = Workspace::new("workspace").map_err(|err| err.to_string())?;
    let zone = Zone::new("zone").map_err(|err| err.to_string())?;
    let platform = MemoryPlatform::with_limits(Limits::default(), 1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listening: Listening =
        serve_platform(any, Arc::clone(&platform)).map_err(|err| err.to_string())?;
    let end = Instant::now() + phases.before + phases.outage + phases.after;
    let scene = Arc::new(Scene {
        kind,
        ledger: Mutex::default(),
        started: AtomicU64::new(0),
        finished: AtomicU64::new(0),
        end,
    });
    for number in 0..INSTANCES {
        let instance = Instance::new(&scene, number, listening.addr(), &zone);
        let until = end.checked_sub(Duration::from_secs(2)).unwrap_or(end);
        spawn(instance.generate(workspace.clone(), until)).detach();
    }
    sleep(phases.before).await;
    let before = platform.counts();
    platform
        .faults()
        .update(|f| f.outage = Some(Outage::Silent));
    sleep(SILENT).await;
    platform
        .faults()
        .update(|f| f.outage = Some(Outage::Refuse));
    sleep(phases.outage.saturating_sub(SILENT)).await;
    let calls_in_outage = platform.counts().refused - before.refused;
    let returned = Instant::now();
    scene.lock().returned = Some(returned);
    platform.faults().clear();
    let samples = sample(&platform).await;
    sleep(end.saturating_duration_since(Instant::now())).await;
    // Calls that were under way at the end may still be acknowledged.
    sleep(CLAIM_TIME / 2).await;
    Ok(evaluate(
        &scene,
        &platform,
        &samples,
        returned,
        calls_in_outage,
    ))
}

/// Calls that had arrived at an instant.
type Sample = (Instant, u64, u64);

async fn sample(platform: &MemoryPlatform) -> Vec<Sample> {
    let start = Instant::now();
    let mut samples = Vec::new();
    while start.elapsed() <= WATCH {
        let Counts {
            writes,
            reads,
            writes_over_limit,
            reads_over_limit,
            ..
        } = platform.counts();
        let now = Instant::now();
        samples.push((now, writes + writes_over_limit, reads + reads_over_limit));
        sleep_ms(SAMPLE_MS).await;
    }
    samples
}

/// Most calls within any second, for writes and reads.
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
    scene: &Scene,
    platform: &MemoryPlatform,
    samples: &[Sample],
    returned: Instant,
    calls_in_outage: u64,
) -> Result {
    let ledger = scene.lock();
    let stored: BTreeSet<String> = (platform.peek_all("once/").iter())
        .filter_map(|row| stored_answer(&row.value))
        .collect();
    let is_kept = |(key, value): &&(Arc<str>, Arc<str>)| {
        platform.peek(key).is_some_and(|row| row.value == *value)
    };
    let lost_answers = ledger
        .answers
        .iter()
        .filter(|answer| !stored.contains(*answer));
    let lost_rows = ledger.rows.iter().filter(|row| !is_kept(row));
    let limits = Limits::default();
    let (writes, reads) = peaks(samples);
    let over = |calls: u64, limit: u32| calls.saturating_sub(limit.into());
    let since = |at: Option<Instant>| {
        at.map_or(f64::INFINITY, |at| {
            at.duration_since(returned).as_secs_f64()
        })
    };
    let started = scene.started.load(Ordering::Relaxed);
    Result {
        acknowledged: (ledger.answers.len() + ledger.rows.len()) as u64,
        lost: (lost_answers.count() + lost_rows.count()) as u64,
        executed_twice: ledger
            .executions
            .values()
            .filter(|count| **count > 1)
            .count() as u64,
        unfinished: started - scene.finished.load(Ordering::Relaxed),
        over_limit: over(writes, limits.writes_per_s) + over(reads, limits.reads_per_s),
        peak_calls: writes,
        calls_in_outage,
        first_after_s: since(ledger.first_after),
        backlog_s: since(ledger.backlog_done),
    }
}

fn stored_answer(value: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(value).ok()?;
    let body = value.get("answer")?.get("body")?.get("text")?;
    body.as_str().map(str::to_owned)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "the counts are far below the precision of a float"
)]
fn to_measures(full: &Result, naive: &Result) -> Vec<Measure> {
    let count = |name, pick: fn(&Result) -> u64| {
        Measure::info(name, pick(full) as f64, Unit::Count).with_baseline(pick(naive) as f64)
    };
    let at_most = |name, pick: fn(&Result) -> u64| {
        let value = pick(full) as f64;
        Measure::at_most(name, value, Unit::Count, 0.0).with_baseline(pick(naive) as f64)
    };
    let seconds = |name, pick: fn(&Result) -> f64| {
        Measure::info(name, pick(full), Unit::Seconds).with_baseline(pick(naive))
    };
    vec![
        at_most("lost_acknowledged", |result| result.lost),
        at_most("store_rate_after_over_limit", |result| result.over_limit),
        at_most("executed_twice", |result| result.executed_twice),
        count("acknowledged", |result| result.acknowledged),
        count("unfinished", |result| result.unfinished),
        count("peak_writes_after", |result| result.peak_calls),
        count("calls_in_outage", |result| result.calls_in_outage),
        seconds("first_acknowledged_after", |result| result.first_after_s),
        seconds("backlog_acknowledged_after", |result| result.backlog_s),
    ]
}

/// Runs the case.
///
/// # Errors
///
/// Returns an error when the stand-in cannot be started.
pub fn run() -> std::result::Result<Vec<Measure>, String> {
    start_threads(4).map_err(|err| err.to_string())?;
    block_on(async {
        let naive = spawn(run_scene(Kind::Naive, BASELINE));
        let routing = spawn(outage_routing::run());
        let full = run_scene(Kind::Resilient, FULL).await?;
        let mut measures = to_measures(&full, &naive.await?);
        measures.extend(routing.await?);
        Ok(measures)
    })
}
