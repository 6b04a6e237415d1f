//! Case `history`: fault injection against nine entry instance processes in three zones, with checked histories.
//!
//! Each seed runs a cell under load and injects random faults, at most two at a time: instances are killed, paused or
//! stopped, zones are partitioned, the store fails or loses responses, and backend servers and workers fail. Afterwards
//! each guarantee is checked against the histories recorded by callers, operators, backend servers and workers.
//! `checkers_proven` is the share of the checks that detect a violation in a deliberately broken version.

mod checker_validation;
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

/// Seeds that run by default; `RAGWORTREEL_SEEDS=FIRST..END` selects others, without `END`.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..21;
/// Environment variable that replaces the default seeds.
const SEEDS_VARIABLE: &str = "RAGWORTREEL_SEEDS";
/// Cells that run concurrently, with 9 processes each.
const PARALLEL_CELLS: u64 = 7;
/// Executor threads of this process, which runs the stand-ins and callers of all parallel cells.
const THREADS: usize = 4;
/// Time after which no further seed starts, so that the case ends within 50 s.
const SEED_START_LIMIT: Duration = Duration::from_secs(36);

/// Runs the case over all selected seeds and validates the checks.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    let seeds = seeds()?;
    block_on(async {
        let requested = seeds.end - seeds.start;
        let reports = run_seeds(seeds).await?;
        let proven = checker_validation::proven_share().await?;
        Ok(measures(&reports, requested, proven))
    })
}

fn seeds() -> Result<std::ops::Range<u64>, String> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return Ok(DEFAULT_SEEDS);
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
    let started = Instant::now();
    let worker = || {
        let (next, end) = (Arc::clone(&next), seeds.end);
        spawn(async move {
            let mut reports = Vec::new();
            while started.elapsed() < SEED_START_LIMIT {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= end {
                    break;
                }
                reports.push(run::run_seed(seed).await?);
            }
            Ok::<_, String>(reports)
        })
    };
    let tasks: Vec<_> = (0..PARALLEL_CELLS).map(|_| worker()).collect();
    let mut reports = Vec::new();
    for task in tasks {
        reports.extend(task.await?);
    }
    Ok(reports)
}

/// Sums the checks per guarantee and prints an example of each violation, with the faults of its seed, to stderr.
fn measures(reports: &[SeedReport], requested: u64, proven: f64) -> Vec<Measure> {
    let mut totals: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    for check in reports.iter().flat_map(|report| &report.checks) {
        let sum = totals.entry(check.promise).or_default();
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
    let violations = totals.values().map(|(_, violations)| violations).sum();
    let mut measures = vec![
        Measure::at_most("violations", count(violations), Unit::Count, 0.0),
        Measure::at_least("checkers_proven", proven, Unit::Share, 1.0),
        Measure::at_least(
            "seeds",
            count(reports.len() as u64),
            Unit::Count,
            count(requested),
        ),
    ];
    for (promise, (checked, violations)) in totals {
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
