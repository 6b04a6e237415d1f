//! Runs one cell under load and faults for a seed, and checks the recorded histories.

use {
    super::{
        faults::{self, FaultRecord},
        operators::{self, check},
    },
    ragwortreel::{
        cell_plan::CellPlan,
        checks::{self, CheckResult},
        load::{CallOutcome, CallRecord, LoadGenerator, MixEntry},
    },
    ragwortreel_model::{ServiceName, Workspace},
    ragwortreel_processes::{ProcessCell, Program},
    ragwortreel_runtime::{Stop, sleep_ms, spawn},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Undocumented first argument with which this program runs an entry instance.
pub const INSTANCE_ARGUMENT: &str = "instance";
/// Length of the load and of the fault injection.
const FAULT_TIME: Duration = Duration::from_millis(5_600);
/// Time limit until a cell is ready, at the start and again after the faults.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time limit until all instances have the newest settings, and until all jobs are found.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
/// Time after which a leaving backend server must not receive new requests, in ms.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Result of one seed.
pub struct SeedReport {
    pub seed: u64,
    /// Start time and description of each fault.
    pub faults: Vec<String>,
    pub checks: Vec<CheckResult>,
}

/// Returns the command that runs an entry instance: this program with [`INSTANCE_ARGUMENT`].
pub fn program() -> Result<Program, String> {
    let path = std::env::current_exe().map_err(|err| err.to_string())?;
    Ok(Program {
        path,
        args: vec![INSTANCE_ARGUMENT.to_owned()],
    })
}

/// Returns a plan of nine entry instances in three zones.
pub fn plan(seed: u64) -> Result<CellPlan, String> {
    let mut plan = CellPlan::pattern_service().map_err(|err| err.to_string())?;
    plan.entries_per_zone = 3;
    plan.seed = seed;
    Ok(plan)
}

/// Returns the load: price quotes, batches with idempotency keys, and dye matching.
pub fn mixes() -> Vec<MixEntry> {
    let mix = |workspace: &str, service: &str, path: &str, rate_per_s, deadline_ms, keyed| {
        Some(MixEntry {
            workspace: Workspace::new(workspace).ok()?,
            service: ServiceName::new(service).ok()?,
            token: Arc::from(format!("change-me-{workspace}")),
            path: Arc::from(path),
            rate_per_s,
            deadline_ms,
            keyed,
        })
    };
    let mixes = [
        mix("counter", "quotes", "/quotes/price", 60.0, 800, false),
        mix("patterns", "batches", "/batches/season", 25.0, 3_000, true),
        mix("dyes", "matching", "/matching/shade", 8.0, 3_000, false),
    ];
    mixes.into_iter().flatten().collect()
}

/// Runs one seed and its checks.
///
/// # Errors
///
/// Returns an error when the cell does not start, or does not become ready again after the faults.
pub async fn run_seed(seed: u64) -> Result<SeedReport, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cell = ProcessCell::start(plan(seed)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    let entries: Vec<SocketAddr> = (0..cell.len())
        .map(|number| cell.caller_address(number))
        .collect();
    let stop = Stop::new();
    let started = Instant::now();
    let load = LoadGenerator::start(
        mixes(),
        cell.balancer(),
        FAULT_TIME,
        seed,
        &format!("s{seed}"),
    );
    let races: Vec<_> = (0..2)
        .map(|_| spawn(operators::race(entries.clone(), rng.fork(), stop.clone())))
        .collect();
    let observers: Vec<_> = entries
        .iter()
        .map(|entry| spawn(operators::observe(*entry, stop.clone())))
        .collect();
    let submitter = spawn(operators::submit(entries.clone(), rng.fork(), stop.clone()));
    let record = faults::run(&mut cell, &mut rng, FAULT_TIME).await;
    let calls = load.finish().await;
    restart_stopped(&mut cell).await?;
    // Observers keep reading after the restarts, because a version could revert during recovery.
    sleep_ms(500).await;
    stop.request();
    let (mut accepted, mut observed) = (Vec::new(), Vec::new());
    for race in races {
        accepted.extend(race.await);
    }
    for observer in observers {
        observed.extend(observer.await);
    }
    let jobs = submitter.await;
    let mut checks = checks::check_all(&calls, &cell.standins);
    let restarts: Vec<(SocketAddr, Instant)> = record
        .restarts
        .iter()
        .map(|(number, at)| (entries[*number], *at))
        .collect();
    checks.push(operators::single_winners(&accepted));
    checks.push(operators::no_reversal(&observed));
    checks.push(operators::fresh_after_restart(
        &accepted, &observed, &restarts,
    ));
    checks.push(operators::all_agree(&entries, &accepted, SETTLE_LIMIT).await);
    checks.push(operators::jobs_kept(&entries, &jobs, SETTLE_LIMIT).await);
    checks.push(check_planned_stops(&calls, &record, started));
    checks.push(check_leaving_backends(&cell, &record));
    Ok(SeedReport {
        seed,
        faults: record.descriptions,
        checks,
    })
}

/// Restarts instances that have exited and waits until all are ready, because the last checks query every instance.
async fn restart_stopped(cell: &mut ProcessCell) -> Result<(), String> {
    let limit = Instant::now() + READY_LIMIT;
    for number in 0..cell.len() {
        while !cell.is_ready(number).await {
            if cell.has_ended(number).map_err(|err| err.to_string())? {
                cell.start_entry(number).map_err(|err| err.to_string())?;
            }
            if Instant::now() >= limit {
                return Err(format!(
                    "entry instance {number} does not become ready: {}",
                    cell.log(number)
                ));
            }
            sleep_ms(100).await;
        }
    }
    Ok(())
}

/// Checks that no caller's connection broke at an instance during its graceful stop.
fn check_planned_stops(
    calls: &[CallRecord],
    record: &FaultRecord,
    started: Instant,
) -> CheckResult {
    let is_cut = |call: &&CallRecord| {
        let (from, until) = (started + call.sent, started + call.sent + call.took);
        let overlaps = |stop: &&faults::PlannedStop| {
            stop.entry == call.entry && from <= stop.until && until >= stop.from
        };
        call.seen == CallOutcome::Broken && record.stops.iter().any(|stop| overlaps(&stop))
    };
    let violations = calls
        .iter()
        .filter(is_cut)
        .map(|call| format!("{} broke at a stopping instance", call.nonce));
    check(
        "a planned stop cuts off no request",
        record.stops.len(),
        violations.collect(),
    )
}

/// Checks that leaving backend servers received no new request after [`LEAVE_LIMIT_MS`].
fn check_leaving_backends(cell: &ProcessCell, record: &FaultRecord) -> CheckResult {
    let late = record.leaving_backends.iter().filter_map(|number| {
        let backend = &cell.standins.backends[*number].state;
        let last_ms = backend.counts().last_request_after_drain_ms?;
        (last_ms > LEAVE_LIMIT_MS)
            .then(|| format!("{} got a request after {last_ms} ms", backend.spec().id))
    });
    check(
        "leaving backend servers get nothing new",
        record.leaving_backends.len(),
        late.collect(),
    )
}
