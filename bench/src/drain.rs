//! Case `drain`: graceful stops of entry instances and backend servers under load.
//!
//! Nine entry instances run as processes. Three of them, one per zone, are stopped by SIGTERM one after another and
//! started again while two backend servers drain. There are no other faults, so every request without a response counts
//! as cut off. The baseline is the kill of one instance later in the same run.

use {
    crate::{
        history::{mixes, plan, program},
        report::{Measure, Unit, count},
    },
    ragwortreel::load::{CallOutcome, CallRecord, LoadGenerator},
    ragwortreel_model::InstanceId,
    ragwortreel_platform::InstanceState,
    ragwortreel_processes::ProcessCell,
    ragwortreel_runtime::{block_on, sleep, sleep_ms, start_threads},
    std::time::{Duration, Instant},
};

/// Executor threads of this process.
const THREADS: usize = 4;
/// Indexes of the entry instances that are stopped; consecutive indexes are in different zones.
const STOPPED_ENTRIES: [usize; 3] = [0, 1, 2];
/// Index of the entry instance that is killed for the baseline.
const KILLED_ENTRY: usize = 5;
/// Indexes of the backend servers that drain: one of the quotes service and one of the batches service.
const DRAINED_BACKENDS: [usize; 2] = [0, 2];
/// Load as a multiple of the load of the case `history`.
const LOAD_FACTOR: f64 = 4.0;
/// Length of the load during the graceful stops.
const DRAIN_LOAD_TIME: Duration = Duration::from_secs(22);
/// Length of the load around the kill.
const KILL_LOAD_TIME: Duration = Duration::from_secs(3);
/// Time limit until the cell is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time limit of one graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    block_on(measure())
}

async fn measure() -> Result<Vec<Measure>, String> {
    let mut cell = ProcessCell::start(plan(1)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    let started = Instant::now();
    let load = start_load(&cell, DRAIN_LOAD_TIME, "drain");
    sleep_ms(1_000).await;
    drain_backends(&cell)?;
    let mut longest_stop = Duration::ZERO;
    for number in STOPPED_ENTRIES {
        longest_stop = longest_stop.max(stop_entry(&mut cell, number).await?);
        cell.start_entry(number).map_err(|err| err.to_string())?;
        sleep_ms(500).await;
    }
    sleep((started + DRAIN_LOAD_TIME).saturating_duration_since(Instant::now())).await;
    let calls = load.finish().await;
    let last_request_ms = DRAINED_BACKENDS
        .iter()
        .filter_map(|number| last_request_after_drain_ms(&cell, *number))
        .max()
        .unwrap_or(0);
    cell.wait_ready(READY_LIMIT).await?;
    let load = start_load(&cell, KILL_LOAD_TIME, "kill");
    sleep_ms(1_000).await;
    cell.kill(KILLED_ENTRY).map_err(|err| err.to_string())?;
    let calls_around_kill = load.finish().await;
    let seconds = |ms: u64| f64::from(u32::try_from(ms).unwrap_or(u32::MAX)) / 1e3;
    Ok(vec![
        Measure::at_most("requests_cut", count_cut_off(&calls), Unit::Count, 0.0)
            .with_baseline(count_cut_off(&calls_around_kill)),
        Measure::at_most(
            "last_new_request",
            seconds(last_request_ms),
            Unit::Seconds,
            3.0,
        ),
        Measure::info("requests", count(calls.len()), Unit::Count),
        Measure::info("longest_stop", longest_stop.as_secs_f64(), Unit::Seconds),
    ])
}

fn start_load(cell: &ProcessCell, duration: Duration, run: &str) -> LoadGenerator {
    let mut mixes = mixes();
    for mix in &mut mixes {
        mix.rate_per_s *= LOAD_FACTOR;
    }
    LoadGenerator::start(mixes, cell.balancer(), duration, 1, run)
}

/// Drains two backend servers and marks them as leaving on the platform.
fn drain_backends(cell: &ProcessCell) -> Result<(), String> {
    let platform = cell
        .standins
        .platform
        .as_ref()
        .ok_or("the cell has no platform")?;
    for number in DRAINED_BACKENDS {
        let backend = &cell.standins.backends[number].state;
        let id = InstanceId::new(backend.spec().id.as_str()).map_err(|err| err.to_string())?;
        backend.drain();
        platform
            .state
            .set_instance_state(&id, InstanceState::Leaving);
    }
    Ok(())
}

/// Stops an entry instance by SIGTERM and returns the time until its process has exited.
async fn stop_entry(cell: &mut ProcessCell, number: usize) -> Result<Duration, String> {
    let started = Instant::now();
    cell.terminate(number).map_err(|err| err.to_string())?;
    while !cell.has_ended(number).map_err(|err| err.to_string())? {
        if started.elapsed() > STOP_LIMIT {
            return Err(format!(
                "entry instance {number} does not stop: {}",
                cell.log(number)
            ));
        }
        sleep_ms(20).await;
    }
    Ok(started.elapsed())
}

/// Time from the start of a backend server's drain to its last new request, in ms.
fn last_request_after_drain_ms(cell: &ProcessCell, number: usize) -> Option<u64> {
    cell.standins.backends[number]
        .state
        .counts()
        .last_request_after_drain_ms
}

/// Number of requests whose connection broke or whose outcome is unknown; prints the first three to stderr.
fn count_cut_off(calls: &[CallRecord]) -> f64 {
    let is_cut =
        |call: &&CallRecord| matches!(call.seen, CallOutcome::Broken | CallOutcome::Unknown);
    for call in calls.iter().filter(is_cut).take(3) {
        eprintln!("cut: {call:?}");
    }
    count(calls.iter().filter(is_cut).count())
}
