//! Checked histories of nine entry instances in three zones, as processes, under seeded faults.
//!
//! Each seed runs a cell under load while instances are killed, paused and stopped, zones are cut off, the store fails
//! or loses answers, and backend servers and workers fail, two faults at a time. Afterwards each promise is checked
//! over what callers, operators, backend servers and workers have seen. `checkers_proven` is the share of the checks
//! that find the breach in a version that is broken on purpose.

mod broken;
mod faults;
mod operators;
mod run;

pub use run::{INSTANCE_ARGUMENT, mixes, plan, program};

use {
    crate::report::{Measure, Unit},
    ragwortreel_runtime::{block_on, spawn, start_threads},
    run::SeedReport,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Seeds of the case; more can be run with `RAGWORTREEL_SEEDS=FIRST..END`.
const SEEDS: std::ops::Range<u64> = 1..21;
/// Variable that selects other seeds.
const SEEDS_VARIABLE: &str = "RAGWORTREEL_SEEDS";
/// Cells that run at once; each has 9 processes.
const PARALLEL: u64 = 7;
/// Executor threads of this process, which carries stand-ins and callers of all parallel cells.
const THREADS: usize = 4;
/// Time after which no further seed is begun, so that the case ends within 50 s.
const BEGIN_LIMIT: Duration = Duration::from_secs(36);

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    let seeds = seeds()?;
    block_on(async {
        let wanted = seeds.end - seeds.start;
        let reports = run_seeds(seeds).await?;
        let proven = broken::proven_share().await?;
        Ok(measures(&reports, wanted, proven))
    })
}

fn seeds() -> Result<std::ops::Range<u64>, String> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return Ok(SEEDS);
    };
    let parse = |part: &str| {
        part.parse::<u64>()
            .map_err(|err| format!("{SEEDS_VARIABLE}: {err}"))
    };
    let (first, end) = text
        .split_once("..")
        .ok_or_else(|| format!("{SEEDS_VARIABLE}: expected FIRST..END"))?;
    Ok(parse(first)?..parse(end)?)
}

async fn run_seeds(seeds: std::ops::Range<u64>) -> Result<Vec<SeedReport>, String> {
    let next = Arc::new(AtomicU64::new(seeds.start));
    let begun = Instant::now();
    let worker = || {
        let (next, end) = (Arc::clone(&next), seeds.end);
        spawn(async move {
            let mut reports = Vec::new();
            while begun.elapsed() < BEGIN_LIMIT {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= end {
                    break;
                }
                reports.push(run::run_seed(seed).await?);
            }
            Ok::<_, String>(reports)
        })
    };
    let tasks: Vec<_> = (0..PARALLEL).map(|_| worker()).collect();
    let mut reports = Vec::new();
    for task in tasks {
        reports.extend(task.await?);
    }
    Ok(reports)
}

fn measures(reports: &[SeedReport], wanted: u64, proven: f64) -> Vec<Measure> {
    let mut by_promise: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for check in reports.iter().flat_map(|report| &report.checks) {
        let sum = by_promise.entry(check.promise).or_default();
        *sum = (sum.0 + check.checked, sum.1 + check.violations);
    }
    for report in reports {
        for check in report.checks.iter().filter(|check| check.violations > 0) {
            let example = check.example.as_deref().unwrap_or("-");
            eprintln!(
                "seed {}: {}: {} violations, {example}",
                report.seed, check.promise, check.violations
            );
            eprintln!("seed {}: faults: {}", report.seed, report.faults.join(", "));
        }
    }
    let count = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
    let violations = by_promise.values().map(|(_, violations)| violations).sum();
    let mut measures = vec![
        Measure::at_most("violations", count(violations), Unit::Count, 0.0),
        Measure::at_least("checkers_proven", proven, Unit::Share, 1.0),
        Measure::at_least(
            "seeds",
            count(reports.len() as u64),
            Unit::Count,
            count(wanted),
        ),
    ];
    for (promise, (checked, violations)) in by_promise {
        measures.push(Measure::info(
            &format!("checked: {promise}"),
            count(checked),
            Unit::Count,
        ));
        measures.push(Measure::info(
            &format!("violations: {promise}"),
            count(violations),
            Unit::Count,
        ));
    }
    measures
}
