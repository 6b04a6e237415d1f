//! A burst of cancellations together with the loss of many workers.

use {
    crate::{
        cell::{Cell, WORKERS, copy_to_naive, name},
        report::{Measure, Unit},
    },
    ragwortreel_model::{JobId, JobKind, Pool, Resources, TaskResult, WorkerId},
    ragwortreel_placement::{Config, Decision, PoolScheduler, Scheduler},
    std::time::Instant,
};

/// Jobs that are cancelled at once.
const CANCELLATIONS: usize = 10_000;
/// Workers that are lost at once.
const LOST: usize = 100;
/// Decisions that are asked for in one call.
const LIMIT: usize = 1_000;

/// What the burst cost.
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

/// Queues the jobs that will be cancelled; a part of them has many tasks.
fn queue_jobs<S: PoolScheduler>(cell: &mut Cell<S>) -> Vec<JobId> {
    let queue = |number: usize| {
        let tasks = if number.is_multiple_of(100) { 100 } else { 1 };
        // Larger than any room that is left, so that all of them still wait when they are cancelled.
        let need = Resources::new(31_000, 120 * 1_024, 0);
        cell.submit_sized(number, JobKind::Batch, tasks, need).id
    };
    (0..CANCELLATIONS).map(queue).collect()
}

fn burst<S: PoolScheduler>(cell: &mut Cell<S>, cancelled: &[JobId]) -> Recovery {
    let now_ms = cell.now_ms;
    let begin = Instant::now();
    for id in cancelled {
        cell.sched.cancel(id, now_ms);
        cell.sched.remove_job(id);
    }
    let cancel_ms = millis(begin);
    let begin = Instant::now();
    let mut lost_tasks = 0;
    for number in 0..LOST {
        let id = name(WorkerId::new, &format!("w{number}"));
        lost_tasks += cell.sched.remove_worker(&id, now_ms).len();
    }
    let lose_ms = millis(begin);
    let begin = Instant::now();
    let (mut replaced, mut checkpoints) = (0, 0);
    loop {
        let decisions = cell.sched.decide(now_ms, LIMIT);
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
                    cell.sched
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

/// Runs the case.
pub fn run() -> Vec<Measure> {
    let sched = Scheduler::new(name(Pool::new, "p"), Config::default());
    let mut cell = Cell::new(sched, WORKERS);
    let queued = queue_jobs(&mut cell);
    let mut naive = copy_to_naive(&cell, WORKERS);
    let indexed = burst(&mut cell, &queued);
    let scan = burst(&mut naive, &queued);
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
