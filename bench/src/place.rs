//! Cost and quality of single placements.

use {
    crate::{
        cell::{Cell, WORKERS, copy_to_naive, name},
        report::{Measure, Unit},
    },
    hdrhistogram::Histogram,
    ragwortreel_model::{JobKind, Pool, Resources},
    ragwortreel_placement::{Config, PoolScheduler, Scheduler, naive::NaiveScheduler},
    std::time::Instant,
};

/// Placements that are timed in each pool.
const CYCLES: usize = 30_000;
/// Placements of the naive version that are timed; each takes a thousand times as long.
const NAIVE_CYCLES: usize = 60;
/// Tasks beyond the design size that fill the pool and leave some thousand waiting.
const SATURATING_TASKS: usize = 8_000;
/// Placements of the naive version that are timed in a full pool.
const NAIVE_SATURATED_CYCLES: usize = 10;
/// Workers of the packing comparison; the naive version fills them in seconds.
const PACKED_WORKERS: usize = 300;

/// Longest duration that is told apart, in ns.
const MAX_NS: u64 = 60_000_000_000;

/// What a series of placements costs.
struct Cost {
    /// Time to decide after each change, until nothing more can start, in ns.
    calls: Histogram<u64>,
    /// Started tasks a second of the whole cycle: end, submission and decision.
    starts_per_s: f64,
}

impl Cost {
    fn call_us(&self, quantile: f64) -> f64 {
        micros(self.calls.value_at_quantile(quantile))
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "durations are far below 2^52 ns"
)]
fn micros(ns: u64) -> f64 {
    ns as f64 / 1_000.0
}

fn nanos(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Replaces running tasks one by one and times the decisions after each change.
fn measure<S: PoolScheduler>(cell: &mut Cell<S>, cycles: usize) -> Cost {
    let bounds = Histogram::new_with_bounds(1, MAX_NS, 3);
    let mut calls = bounds.expect("the bounds are valid");
    let mut starts = 0_u32;
    let begin = Instant::now();
    for _ in 0..cycles {
        cell.replace_one();
        let mut total_ns = 0;
        loop {
            let asked = Instant::now();
            let decisions = cell.decide(1);
            total_ns += nanos(asked);
            if decisions.is_empty() {
                break;
            }
            starts += 1;
        }
        calls.saturating_record(total_ns);
    }
    let starts_per_s = f64::from(starts) / begin.elapsed().as_secs_f64();
    Cost {
        calls,
        starts_per_s,
    }
}

fn scheduler() -> Scheduler {
    Scheduler::new(name(Pool::new, "p"), Config::default())
}

/// Mean share of processors and memory that is in use after more work was submitted than fits.
#[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn packed<S: PoolScheduler>(sched: S) -> f64 {
    let mut cell = Cell::empty(sched, PACKED_WORKERS, 1);
    for number in 0..PACKED_WORKERS * 12 {
        cell.now_ms += 1;
        let cores = *cell.rng.choice(&[1, 2, 3, 4, 6, 8, 12]).unwrap_or(&1);
        let memory = cores * cell.rng.u64(1..8);
        let need = Resources::new(cores * 1_000, memory * 1_024, 0);
        cell.submit_sized(number, JobKind::Batch, 1, need);
        // Work is placed in the order of its arrival, as in a pool that is not overloaded yet.
        cell.decide(10);
    }
    let stats = cell.sched.stats();
    let (used, all) = (stats.reserved, stats.capacity);
    let cpu = used.milli_cores as f64 / all.milli_cores as f64;
    let memory = used.memory_mib as f64 / all.memory_mib as f64;
    f64::midpoint(cpu, memory)
}

/// Figures of a pool of another size than the design size.
fn other_size(count: usize, cost: &Cost) -> [Measure; 3] {
    let info = |what: &str, value, unit| Measure::info(&format!("{what}_{count}"), value, unit);
    [
        info("decision_p99", cost.call_us(0.99), Unit::Microseconds),
        info("decision_p50", cost.call_us(0.5), Unit::Microseconds),
        info("decisions_per_s", cost.starts_per_s, Unit::PerSecond),
    ]
}

/// Figures of a pool of the design size beside those of the naive version in the same state.
fn design_size(cost: &Cost, scan: &Cost) -> [Measure; 5] {
    let unit = Unit::Microseconds;
    let speedup = scan.calls.mean() / cost.calls.mean();
    let starts = Measure::at_least(
        "decisions_per_s",
        cost.starts_per_s,
        Unit::PerSecond,
        10_000.0,
    );
    [
        Measure::at_most("decision_p99", cost.call_us(0.99), unit, 1_000.0)
            .with_baseline(scan.call_us(0.99)),
        Measure::info("decision_p50", cost.call_us(0.5), unit).with_baseline(scan.call_us(0.5)),
        Measure::info("decision_max", cost.call_us(1.0), unit).with_baseline(scan.call_us(1.0)),
        starts.with_baseline(scan.starts_per_s),
        Measure::at_least("speedup_over_scan", speedup, Unit::Ratio, 20.0),
    ]
}

/// Figures of a full pool of the design size with a deep queue, beside those of the naive version.
fn saturated() -> [Measure; 2] {
    let mut cell = Cell::new(scheduler(), WORKERS);
    for _ in 0..SATURATING_TASKS {
        cell.submit();
    }
    while !cell.decide(1_000).is_empty() {}
    let cost = measure(&mut cell, CYCLES / 3);
    let mut naive = copy_to_naive(&cell, WORKERS);
    let scan = measure(&mut naive, NAIVE_SATURATED_CYCLES);
    let p99 = Measure::info("saturated_p99", cost.call_us(0.99), Unit::Microseconds);
    let starts = Measure::info(
        "saturated_decisions_per_s",
        cost.starts_per_s,
        Unit::PerSecond,
    );
    [
        p99.with_baseline(scan.call_us(0.99)),
        starts.with_baseline(scan.starts_per_s),
    ]
}

/// Runs the case.
pub fn run() -> Vec<Measure> {
    let mut measures = Vec::new();
    let mut medians = Vec::new();
    for count in [48, WORKERS, WORKERS * 10] {
        let mut cell = Cell::new(scheduler(), count);
        let tasks = u32::try_from(cell.running.len()).unwrap_or(u32::MAX);
        let waiting = u32::try_from(cell.sched.stats().queued).unwrap_or(u32::MAX);
        let cost = measure(&mut cell, CYCLES);
        medians.push(cost.call_us(0.5));
        if count == WORKERS {
            let mut naive = copy_to_naive(&cell, count);
            let scan = measure(&mut naive, NAIVE_CYCLES);
            measures.extend(design_size(&cost, &scan));
            measures.push(Measure::info("running_tasks", tasks.into(), Unit::Count));
            measures.push(Measure::info("waiting_tasks", waiting.into(), Unit::Count));
        } else {
            measures.extend(other_size(count, &cost));
        }
    }
    measures.extend(saturated());
    let growth = medians[2] / medians[1];
    let growth = Measure::at_most("growth_1200_to_12000", growth, Unit::Ratio, 2.0);
    measures.push(growth);
    let naive = NaiveScheduler::new(name(Pool::new, "p"), Config::default());
    let (best_fit, indexed) = (packed(naive), packed(scheduler()));
    let packing = indexed / best_fit;
    let packing = Measure::at_least("packing_vs_best_fit", packing, Unit::Ratio, 0.99);
    measures.push(packing);
    measures.push(Measure::info("packed_share", indexed, Unit::Share).with_baseline(best_fit));
    measures
}
