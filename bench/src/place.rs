//! Case `place`: latency and throughput of single placements, and how tightly they pack the workers.
//!
//! The baseline is the naive scheduler, which scans all workers and uses best fit.

use {
    crate::{
        report::{Measure, Unit},
        simulated_pool::{SimulatedPool, WORKERS, copy_to_naive, valid_name},
    },
    hdrhistogram::Histogram,
    ragwortreel_model::{JobKind, Pool, Resources},
    ragwortreel_placement::{Config, PoolScheduler, Scheduler, naive::NaiveScheduler},
    std::time::Instant,
};

/// Timed cycles per pool; each ends a task, submits a job and places tasks.
const CYCLES: usize = 30_000;
/// Timed cycles of the naive scheduler, which takes a thousand times as long for each.
const NAIVE_CYCLES: usize = 60;
/// Tasks beyond the design size; they fill the pool and leave some thousand tasks queued.
const SATURATING_TASKS: usize = 8_000;
/// Timed cycles of the naive scheduler in a full pool.
const NAIVE_SATURATED_CYCLES: usize = 10;
/// Workers of the packing comparison; the naive scheduler fills them within seconds.
const PACKED_WORKERS: usize = 300;

/// Upper bound of the latency histogram, in ns.
const MAX_NS: u64 = 60_000_000_000;

/// Cost of a series of placements.
struct PlacementCost {
    /// Time to take all decisions after each change, in ns.
    decision_ns: Histogram<u64>,
    /// Started tasks per second of the whole cycle: end, submission and decisions.
    starts_per_s: f64,
}

impl PlacementCost {
    fn decision_us(&self, quantile: f64) -> f64 {
        micros(self.decision_ns.value_at_quantile(quantile))
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

/// Replaces random running tasks one by one and times the decisions after each change.
fn measure<S: PoolScheduler>(pool: &mut SimulatedPool<S>, cycles: usize) -> PlacementCost {
    let bounds = Histogram::new_with_bounds(1, MAX_NS, 3);
    let mut decision_ns = bounds.expect("the bounds are valid");
    let mut starts = 0_u32;
    let begin = Instant::now();
    for _ in 0..cycles {
        pool.replace_one();
        let mut total_ns = 0;
        loop {
            let asked = Instant::now();
            let decisions = pool.decide(1);
            total_ns += nanos(asked);
            if decisions.is_empty() {
                break;
            }
            starts += 1;
        }
        decision_ns.saturating_record(total_ns);
    }
    let starts_per_s = f64::from(starts) / begin.elapsed().as_secs_f64();
    PlacementCost {
        decision_ns,
        starts_per_s,
    }
}

fn scheduler() -> Scheduler {
    Scheduler::new(valid_name(Pool::new, "p"), Config::default())
}

/// Mean of the shares of processors and of memory in use after more tasks were submitted than fit.
#[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn packed_share<S: PoolScheduler>(sched: S) -> f64 {
    let mut pool = SimulatedPool::empty(sched, PACKED_WORKERS, 1);
    for number in 0..PACKED_WORKERS * 12 {
        pool.now_ms += 1;
        let cores = *pool.rng.choice(&[1, 2, 3, 4, 6, 8, 12]).unwrap_or(&1);
        let memory = cores * pool.rng.u64(1..8);
        let need = Resources::new(cores * 1_000, memory * 1_024, 0);
        pool.submit_sized(number, JobKind::Batch, 1, need);
        // Places each task on arrival, as in a pool that is not overloaded yet.
        pool.decide(10);
    }
    let stats = pool.sched.stats();
    let (used, all) = (stats.reserved, stats.capacity);
    let cpu = used.milli_cores as f64 / all.milli_cores as f64;
    let memory = used.memory_mib as f64 / all.memory_mib as f64;
    f64::midpoint(cpu, memory)
}

/// Measures of a pool of another size than the design size.
fn other_size(count: usize, cost: &PlacementCost) -> [Measure; 3] {
    let info = |what: &str, value, unit| Measure::info(&format!("{what}_{count}"), value, unit);
    [
        info("decision_p99", cost.decision_us(0.99), Unit::Microseconds),
        info("decision_p50", cost.decision_us(0.5), Unit::Microseconds),
        info("decisions_per_s", cost.starts_per_s, Unit::PerSecond),
    ]
}

/// Measures of a pool of the design size, with the naive scheduler in the same state as the baseline.
fn design_size(cost: &PlacementCost, scan: &PlacementCost) -> [Measure; 5] {
    let unit = Unit::Microseconds;
    let speedup = scan.decision_ns.mean() / cost.decision_ns.mean();
    let starts = Measure::at_least(
        "decisions_per_s",
        cost.starts_per_s,
        Unit::PerSecond,
        10_000.0,
    );
    [
        Measure::at_most("decision_p99", cost.decision_us(0.99), unit, 1_000.0)
            .with_baseline(scan.decision_us(0.99)),
        Measure::info("decision_p50", cost.decision_us(0.5), unit)
            .with_baseline(scan.decision_us(0.5)),
        Measure::info("decision_max", cost.decision_us(1.0), unit)
            .with_baseline(scan.decision_us(1.0)),
        starts.with_baseline(scan.starts_per_s),
        Measure::at_least("speedup_over_scan", speedup, Unit::Ratio, 20.0),
    ]
}

/// Measures of a full pool of the design size with a long queue; the baseline is the naive scheduler.
fn saturated() -> [Measure; 2] {
    let mut pool = SimulatedPool::new(scheduler(), WORKERS);
    for _ in 0..SATURATING_TASKS {
        pool.submit();
    }
    while !pool.decide(1_000).is_empty() {}
    let cost = measure(&mut pool, CYCLES / 3);
    let mut naive = copy_to_naive(&pool, WORKERS);
    let scan = measure(&mut naive, NAIVE_SATURATED_CYCLES);
    let p99 = Measure::info("saturated_p99", cost.decision_us(0.99), Unit::Microseconds);
    let starts = Measure::info(
        "saturated_decisions_per_s",
        cost.starts_per_s,
        Unit::PerSecond,
    );
    [
        p99.with_baseline(scan.decision_us(0.99)),
        starts.with_baseline(scan.starts_per_s),
    ]
}

/// Runs the case with pools of 48, 1,200 and 12,000 workers.
pub fn run() -> Vec<Measure> {
    let mut measures = Vec::new();
    let mut medians = Vec::new();
    for count in [48, WORKERS, WORKERS * 10] {
        let mut pool = SimulatedPool::new(scheduler(), count);
        let tasks = u32::try_from(pool.running.len()).unwrap_or(u32::MAX);
        let waiting = u32::try_from(pool.sched.stats().queued).unwrap_or(u32::MAX);
        let cost = measure(&mut pool, CYCLES);
        medians.push(cost.decision_us(0.5));
        if count == WORKERS {
            let mut naive = copy_to_naive(&pool, count);
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
    let naive = NaiveScheduler::new(valid_name(Pool::new, "p"), Config::default());
    let (best_fit, indexed) = (packed_share(naive), packed_share(scheduler()));
    let packing = indexed / best_fit;
    let packing = Measure::at_least("packing_vs_best_fit", packing, Unit::Ratio, 0.99);
    measures.push(packing);
    measures.push(Measure::info("packed_share", indexed, Unit::Share).with_baseline(best_fit));
    measures
}
