//! Case `churn`: 10,000 jobs are cancelled and 100 workers are lost at the same time.
//!
//! Measures the time until the scheduler has processed the cancellations and the losses and placed the lost tasks
//! again. The baseline is the naive scheduler in the same state.

use {
    crate::{
        report::{Measure, Unit},
        simulated_pool::{SimulatedPool, WORKERS, copy_to_naive, valid_name},
    },
    ragwortreel_model::{JobId, JobKind, Pool, Resources, TaskResult, WorkerId},
    ragwortreel_placement::{Config, Decision, PoolScheduler, Scheduler},
    std::time::Instant,
};

/// Jobs cancelled in one burst.
const CANCELLATIONS: usize = 10_000;
/// Workers lost in the same burst.
const LOST_WORKERS: usize = 100;
/// Decisions requested in one call of the scheduler.
const DECISIONS_PER_CALL: usize = 1_000;

/// Duration of each part of the recovery, and what was decided.
struct Recovery {
    cancel_ms: f64,
    lose_ms: f64,
    place_ms: f64,
    lost_tasks: u32,
    replaced: u32,
    checkpoints: u32,
}

impl Recovery {
    fn total_ms(&self) -> f64 {
        self.cancel_ms + self.lose_ms + self.place_ms
    }
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}

/// Queues the jobs to cancel: every hundredth has 100 tasks, the others have one.
fn queue_jobs<S: PoolScheduler>(pool: &mut SimulatedPool<S>) -> Vec<JobId> {
    let queue = |number: usize| {
        let tasks = if number.is_multiple_of(100) { 100 } else { 1 };
        // Larger than the free room of any worker, so that all jobs are still to_cancel when they are cancelled.
        let need = Resources::new(31_000, 120 * 1_024, 0);
        pool.submit_sized(number, JobKind::Batch, tasks, need).id
    };
    (0..CANCELLATIONS).map(queue).collect()
}

/// Cancels the jobs, removes the workers and places tasks until the scheduler has no further decision.
fn burst<S: PoolScheduler>(pool: &mut SimulatedPool<S>, cancelled: &[JobId]) -> Recovery {
    let now_ms = pool.now_ms;
    let begin = Instant::now();
    for id in cancelled {
        pool.sched.cancel(id, now_ms);
        pool.sched.remove_job(id);
    }
    let cancel_ms = millis(begin);
    let begin = Instant::now();
    let mut lost_tasks = 0;
    for number in 0..LOST_WORKERS {
        let id = valid_name(WorkerId::new, &format!("w{number}"));
        lost_tasks += pool.sched.remove_worker(&id, now_ms).len();
    }
    let lose_ms = millis(begin);
    let begin = Instant::now();
    let (mut replaced, mut checkpoints) = (0, 0);
    loop {
        let decisions = pool.sched.decide(now_ms, DECISIONS_PER_CALL);
        if decisions.is_empty() {
            break;
        }
        for decision in decisions {
            match decision {
                Decision::Start(_) => replaced += 1,
                Decision::StartGang(runs) => replaced += runs.len(),
                Decision::Checkpoint(run) => {
                    checkpoints += 1;
                    let result = TaskResult::Checkpointed;
                    pool.sched
                        .record_end(&run.task, run.attempt, result, now_ms);
                }
            }
        }
    }
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    Recovery {
        cancel_ms,
        lose_ms,
        place_ms: millis(begin),
        lost_tasks: count(lost_tasks),
        replaced: count(replaced),
        checkpoints: count(checkpoints),
    }
}

/// Runs the case with the indexed and the naive scheduler.
pub fn run() -> Vec<Measure> {
    let sched = Scheduler::new(valid_name(Pool::new, "p"), Config::default());
    let mut pool = SimulatedPool::new(sched, WORKERS);
    let to_cancel = queue_jobs(&mut pool);
    let mut naive = copy_to_naive(&pool, WORKERS);
    let indexed = burst(&mut pool, &to_cancel);
    let scan = burst(&mut naive, &to_cancel);
    let ms = Unit::Milliseconds;
    let recovery = Measure::at_most("recovery", indexed.total_ms(), ms, 1_000.0);
    vec![
        recovery.with_baseline(scan.total_ms()),
        Measure::info("cancel", indexed.cancel_ms, ms).with_baseline(scan.cancel_ms),
        Measure::info("lose_workers", indexed.lose_ms, ms).with_baseline(scan.lose_ms),
        Measure::info("place_again", indexed.place_ms, ms).with_baseline(scan.place_ms),
        Measure::info("lost_tasks", indexed.lost_tasks.into(), Unit::Count)
            .with_baseline(scan.lost_tasks.into()),
        Measure::info("started_tasks", indexed.replaced.into(), Unit::Count)
            .with_baseline(scan.replaced.into()),
        Measure::info("checkpoints", indexed.checkpoints.into(), Unit::Count),
    ]
}
