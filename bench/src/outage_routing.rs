//! Part of the case `outage`: requests to services of a cell of real processes while the table service is down.

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

/// Load as a multiple of the load of the case `history`: 600 quotes per second.
const LOAD_FACTOR: f64 = 10.0;
/// Length of the load before the outage.
const BEFORE_OUTAGE: Duration = Duration::from_secs(4);
const OUTAGE: Duration = Duration::from_secs(30);
/// Time limit until the cell is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Measures the share of requests answered during the outage, relative to the share before it.
pub async fn run() -> Result<Vec<Measure>, String> {
    let cell = ProcessCell::start(plan(1)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    let platform = cell
        .standins
        .platform
        .as_ref()
        .ok_or("the cell has no platform")?;
    // Requests with an idempotency key are left out: they need the table service and are refused as not run.
    let mut mixes: Vec<_> = mixes().into_iter().filter(|mix| !mix.keyed).collect();
    for mix in &mut mixes {
        mix.rate_per_s *= LOAD_FACTOR;
    }
    let load = LoadGenerator::start(mixes, cell.balancer(), BEFORE_OUTAGE + OUTAGE, 1, "outage");
    sleep(BEFORE_OUTAGE).await;
    platform
        .state
        .faults()
        .update(|faults| faults.outage = Some(Outage::Refuse));
    sleep(OUTAGE).await;
    platform
        .state
        .faults()
        .update(|faults| faults.outage = None);
    let calls = load.finish().await;
    let (before, during): (Vec<_>, Vec<_>) =
        calls.iter().partition(|call| call.sent < BEFORE_OUTAGE);
    let share = answered_share(&during) / answered_share(&before);
    Ok(vec![
        Measure::at_least("answered_share", share, Unit::Share, 0.99),
        Measure::info("requests_during_outage", count(during.len()), Unit::Count),
    ])
}

/// Share of the calls with a response whose status is below 500, from 0 to 1.
fn answered_share(calls: &[&CallRecord]) -> f64 {
    let answered = calls
        .iter()
        .filter(|call| matches!(call.seen, CallOutcome::Answered(status) if status < 500));
    count(answered.count()) / count(calls.len().max(1))
}
