//! Planned stops of entry instances and backend servers under load.
//!
//! Nine entry instances as processes. Three of them, one in each zone, are stopped by SIGTERM one after another and
//! started again, while two backend servers leave. No other fault happens, so every request without an answer counts
//! as cut. The baseline is one instance that is killed in the same run.

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
/// Entry instances that are stopped; neighbours in number stand in different zones.
const STOPPED: [usize; 3] = [0, 1, 2];
/// Entry instance that is killed for the baseline.
const KILLED: usize = 5;
/// Backend servers that leave: one for quotes and one for batches.
const LEAVING: [usize; 2] = [0, 2];
/// Load in multiples of the history's.
const LOAD_FACTOR: f64 = 4.0;
/// Time under load before the baseline's kill.
const LOAD_TIME: Duration = Duration::from_secs(22);
/// Time under load for the baseline.
const KILL_TIME: Duration = Duration::from_secs(3);
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Longest time for one stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    block_on(measure())
}

async fn measure() -> Result<Vec<Measure>, String> {
    let mut cell = ProcessCell::start(plan(1)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    let begun = Instant::now();
    let load = start_load(&cell, LOAD_TIME, "drain");
    sleep_ms(1_000).await;
    leave(&cell)?;
    let mut longest_stop = Duration::ZERO;
    for number in STOPPED {
        longest_stop = longest_stop.max(stop(&mut cell, number).await?);
        cell.start_entry(number).map_err(|err| err.to_string())?;
        sleep_ms(500).await;
    }
    sleep((begun + LOAD_TIME).saturating_duration_since(Instant::now())).await;
    let calls = load.finish().await;
    let last_ms = LEAVING
        .iter()
        .filter_map(|number| last_request_ms(&cell, *number))
        .max()
        .unwrap_or(0);
    cell.wait_ready(READY_LIMIT).await?;
    let load = start_load(&cell, KILL_TIME, "kill");
    sleep_ms(1_000).await;
    cell.kill(KILLED).map_err(|err| err.to_string())?;
    let killed = load.finish().await;
    let seconds = |ms: u64| f64::from(u32::try_from(ms).unwrap_or(u32::MAX)) / 1e3;
    Ok(vec![
        Measure::at_most("requests_cut", cut(&calls), Unit::Count, 0.0).with_baseline(cut(&killed)),
        Measure::at_most("last_new_request", seconds(last_ms), Unit::Seconds, 3.0),
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

fn leave(cell: &ProcessCell) -> Result<(), String> {
    let platform = cell
        .standins
        .platform
        .as_ref()
        .ok_or("the cell has no platform")?;
    for number in LEAVING {
        let backend = &cell.standins.backends[number].state;
        let id = InstanceId::new(backend.spec().id.as_str()).map_err(|err| err.to_string())?;
        backend.drain();
        platform
            .state
            .set_instance_state(&id, InstanceState::Leaving);
    }
    Ok(())
}

/// Stops an instance gracefully and returns how long it took.
async fn stop(cell: &mut ProcessCell, number: usize) -> Result<Duration, String> {
    let begun = Instant::now();
    cell.terminate(number).map_err(|err| err.to_string())?;
    while !cell.has_ended(number).map_err(|err| err.to_string())? {
        if begun.elapsed() > STOP_LIMIT {
            return Err(format!(
                "entry instance {number} does not stop: {}",
                cell.log(number)
            ));
        }
        sleep_ms(20).await;
    }
    Ok(begun.elapsed())
}

fn last_request_ms(cell: &ProcessCell, number: usize) -> Option<u64> {
    cell.standins.backends[number]
        .state
        .counts()
        .last_request_after_drain_ms
}

/// Requests whose connection broke or whose outcome is unknown.
fn cut(calls: &[CallRecord]) -> f64 {
    let is_cut =
        |call: &&CallRecord| matches!(call.seen, CallOutcome::Broken | CallOutcome::Unknown);
    for call in calls.iter().filter(is_cut).take(3) {
        eprintln!("cut: {call:?}");
    }
    count(calls.iter().filter(is_cut).count())
}
