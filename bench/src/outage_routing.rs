//! Requests to services while the table service is down: the part of the case `outage` that runs real processes.

use {
    crate::{
        history::{mixes, plan, program},
        report::{Measure, Unit, count},
    },
    ragwortreel::load::{CallOutcome, CallRecord, LoadGenerator},
    ragwortreel_processes::ProcessCell,
    ragwortreel_runtime::sleep,
    ragwortreel_standins::Outage,
    std::time::Duration,
};

/// Load in multiples of the history's: quotes at 600 a second.
const LOAD_FACTOR: f64 = 10.0;
/// Time under load before the outage.
const BEFORE: Duration = Duration::from_secs(4);
/// Length of the outage.
const DOWN: Duration = Duration::from_secs(30);
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Share of requests answered during the outage against the share before it.
pub async fn run() -> Result<Vec<Measure>, String> {
    let cell = ProcessCell::start(plan(1)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    let platform = cell
        .standins
        .platform
        .as_ref()
        .ok_or("the cell has no platform")?;
    // Requests with a key cannot be made durable while the table service is down; they are refused as not run.
    let mut mixes: Vec<_> = mixes().into_iter().filter(|mix| !mix.keyed).collect();
    for mix in &mut mixes {
        mix.rate_per_s *= LOAD_FACTOR;
    }
    let load = LoadGenerator::start(mixes, cell.balancer(), BEFORE + DOWN, 1, "outage");
    sleep(BEFORE).await;
    platform
        .state
        .faults()
        .update(|faults| faults.outage = Some(Outage::Refuse));
    sleep(DOWN).await;
    platform
        .state
        .faults()
        .update(|faults| faults.outage = None);
    let calls = load.finish().await;
    let (before, during): (Vec<_>, Vec<_>) = calls.iter().partition(|call| call.sent < BEFORE);
    let share = answered_share(&during) / answered_share(&before);
    Ok(vec![
        Measure::at_least("answered_share", share, Unit::Share, 0.99),
        Measure::info("requests_during_outage", count(during.len()), Unit::Count),
    ])
}

fn answered_share(calls: &[&CallRecord]) -> f64 {
    let answered = calls
        .iter()
        .filter(|call| matches!(call.seen, CallOutcome::Answered(status) if status < 500));
    count(answered.count()) / count(calls.len().max(1))
}
