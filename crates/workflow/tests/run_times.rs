//! Placement by the learned speeds of the workers, and its recovery by a new leader.

mod support;

use {
    ragwortreel_model::WorkerId,
    ragwortreel_workflow::{
        EndCause, JobRequest, QueuePolicy, RunTimesRow, RunningTask, StartOrder, Step,
    },
    std::{ops::Range, sync::Arc},
    support::{Cell, gang, job, queue, step, worker},
};

/// Number of steps from which the speed of a worker is learned: some ten seconds of a busy worker.
const STEPS: u32 = 16;
/// Duration of the tasks of the taught steps on a worker of nominal speed, in ms.
const TASK_MS: u64 = 1_000;

/// Cell with three workers, of which one has been half as fast as the others in several steps.
fn cell_with_slow_worker(name: &str) -> Cell {
    let mut cell = Cell::new(1);
    let workers = [worker("a", 8_000), worker("b", 8_000), worker("c", 8_000)];
    cell.list_reachable_workers(&workers);
    run_steps(&mut cell, name, TASK_MS, STEPS);
    cell
}

/// Runs steps with one task on each worker, which takes longer by the given time on one of them.
fn run_steps(cell: &mut Cell, slow: &str, longer_ms: u64, steps: u32) {
    for _ in 0..steps {
        let name = format!("taught-{}", cell.now_ms);
        let spread = Step {
            max_per_worker: Some(1),
            ..step(3, 1_000)
        };
        cell.accept(job(&name, queue(0), vec![spread]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let (slow, fast): (Vec<_>, Vec<_>) =
            (starts.into_iter()).partition(|start| start.worker.as_str() == slow);
        cell.now_ms += TASK_MS;
        cell.end_runs(&fast, EndCause::Done);
        cell.now_ms += longer_ms;
        cell.end_runs(&slow, EndCause::Done);
    }
}

fn job_with_slack(name: &str, slack_ms: u64, step: Step) -> JobRequest {
    let policy = QueuePolicy {
        chain_factor: 1.0,
        slack_ms,
        ..queue(0)
    };
    job(name, policy, vec![step])
}

/// Names of the workers that get the tasks of a job.
fn workers_of(cell: &mut Cell, job: JobRequest) -> Vec<String> {
    cell.accept(job);
    let mut names: Vec<String> = (cell.starts().iter())
        .map(|start| start.worker.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against an urgent task that misses its objective on a slow worker while a fast one is free.
#[test]
fn urgent_task_avoids_a_worker_that_is_too_slow() {
    let mut cell = cell_with_slow_worker("a");
    let names = workers_of(&mut cell, job_with_slack("j", 700, step(4, 1_000)));
    assert!(!names.contains(&"a".to_owned()), "{names:?}");
}

/// Guards against an urgent task that waits for a fast worker.
#[test]
fn urgent_task_does_not_wait_for_a_fast_worker() {
    let mut cell = cell_with_slow_worker("a");
    let names = workers_of(&mut cell, job_with_slack("j", 700, step(24, 1_000)));
    assert_eq!(names, ["a", "b", "c"]);
}

/// Guards against work that is not urgent and takes the fast workers.
#[test]
fn work_that_is_not_urgent_takes_the_slow_worker() {
    let mut cell = cell_with_slow_worker("c");
    let names = workers_of(&mut cell, job_with_slack("j", 60_000, step(8, 1_000)));
    assert_eq!(names, ["c"]);
}

/// Guards against a gang that is slowed by one member on a slow worker.
#[test]
fn gang_avoids_the_slow_worker() {
    let mut cell = cell_with_slow_worker("a");
    let names = workers_of(&mut cell, job_with_slack("j", 60_000, gang(16, 1_000)));
    assert_eq!(names, ["b", "c"]);
}

/// Guards against a speed that stays wrong after a worker was five times slower for some seconds.
#[test]
fn slowed_worker_regains_its_speed() {
    let mut cell = Cell::new(1);
    cell.list_reachable_workers(&[worker("a", 8_000), worker("b", 8_000), worker("c", 8_000)]);
    run_steps(&mut cell, "a", 0, STEPS);
    run_steps(&mut cell, "a", 4 * TASK_MS, 4);
    assert!(!cell.scheduler.run_times_row().workers.is_empty());
    run_steps(&mut cell, "a", 0, STEPS);
    assert_eq!(cell.scheduler.run_times_row().workers, [].into());
}

/// Guards against a leader that starts without the speeds that the former one has learned.
#[test]
fn new_leader_continues_with_stored_speeds() {
    let row = cell_with_slow_worker("a").scheduler.run_times_row();
    let text = serde_json::to_string(&row).expect("a serializable row");
    let row: RunTimesRow = serde_json::from_str(&text).expect("a readable row");
    let mut cell = Cell::new(2);
    cell.list_reachable_workers(&[worker("a", 8_000), worker("b", 8_000), worker("c", 8_000)]);
    let now_ms = cell.now_ms;
    cell.scheduler.restore_run_times(row, now_ms);
    let names = workers_of(&mut cell, job_with_slack("j", 60_000, gang(16, 1_000)));
    assert_eq!(names, ["b", "c"]);
}

/// Guards against a worker that fails all its runs and gets many tasks again right after its quarantine.
#[test]
fn worker_is_tried_again_with_one_task() {
    let mut cell = Cell::new(1);
    cell.list_reachable_workers(&[worker("a", 8_000)]);
    cell.accept(job("first", queue(0), vec![step(3, 1_000)]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.end_runs(&starts, EndCause::Failed);
    assert!(cell.starts().is_empty(), "the worker is quarantined");
    cell.now_ms += 6_000;
    let probe = cell.starts();
    assert_eq!(probe.len(), 1);
    cell.confirm_starts(&probe);
    assert!(cell.starts().is_empty());
    cell.end_runs(&probe, EndCause::Done);
    assert_eq!(cell.starts().len(), 2);
}

/// Starts three endless tasks on one worker, and confirms them.
fn start_endless_tasks(cell: &mut Cell) -> Vec<StartOrder> {
    cell.list_reachable_workers(&[worker("a", 8_000)]);
    let endless = Step {
        endless: true,
        ..step(3, 1_000)
    };
    cell.accept(job("endless", queue(0), vec![endless]));
    let starts = cell.starts();
    assert_eq!(starts.len(), 3);
    cell.confirm_starts(&starts);
    starts
}

/// Guards against a worker that stays on probation because an endless task is its first run after the quarantine.
#[test]
fn endless_task_does_not_keep_a_worker_on_probation() {
    let mut cell = Cell::new(1);
    let starts = start_endless_tasks(&mut cell);
    cell.end_runs(&starts, EndCause::Failed);
    for _ in 0..3 {
        cell.now_ms += 6_000;
        let next = cell.starts();
        assert_eq!(next.len(), 1);
        cell.confirm_starts(&next);
    }
}

/// Guards against endless tasks that fail together, after they were at work, and are started again one at a time (review/5).
#[test]
fn endless_tasks_that_fail_together_start_again_at_once() {
    let mut cell = Cell::new(1);
    let starts = start_endless_tasks(&mut cell);
    cell.now_ms += 10_000;
    cell.end_runs(&starts, EndCause::Failed);
    assert_eq!(cell.starts().len(), 3);
}

/// Guards against the same for tasks that fail before they are at work: the first one that is at work afterwards shows that
/// the worker is sound.
#[test]
fn endless_task_at_work_ends_the_probation_of_its_worker() {
    let mut cell = Cell::new(1);
    let starts = start_endless_tasks(&mut cell);
    cell.end_runs(&starts, EndCause::Failed);
    assert!(cell.starts().is_empty(), "the worker is quarantined");
    cell.now_ms += 6_000;
    let probe = cell.starts();
    assert_eq!(probe.len(), 1);
    cell.confirm_starts(&probe);
    let running = |percent| RunningTask {
        task: probe[0].task.clone(),
        run: probe[0].run,
        checkpoint: Arc::from(""),
        percent,
    };
    cell.report(&probe[0].worker, vec![running(50)], Vec::new());
    assert!(cell.starts().is_empty(), "the task is not at work yet");
    cell.now_ms += 100;
    cell.report(&probe[0].worker, vec![running(100)], Vec::new());
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against a row that is stored again and again although little has changed.
#[test]
fn row_is_stored_only_after_a_noticeable_change() {
    let id = |number: u32| WorkerId::new(&format!("w{number}")).expect("a valid name");
    let row = |numbers: Range<u32>, class: i8| RunTimesRow {
        workers: [(class, numbers.map(id).collect())].into(),
        ..RunTimesRow::default()
    };
    assert!(row(0..1, 2).differs_noticeably(&RunTimesRow::default()));
    assert!(!row(0..98, 1).differs_noticeably(&row(0..100, 1)));
    assert!(row(0..90, 1).differs_noticeably(&row(0..100, 1)));
}

/// Guards against a row that is too large for the store, which would stop the leader's journal.
#[test]
fn row_of_all_workers_fits_into_the_store() {
    let mut cell = Cell::new(1);
    let names: Vec<String> = (0..4_000).map(|it| format!("worker-{it:020}")).collect();
    let workers: Vec<_> = names.iter().map(|name| worker(name, 1_000)).collect();
    cell.list_reachable_workers(&workers);
    let row = RunTimesRow {
        workers: [(2, workers.into_iter().map(|it| it.id).collect())].into(),
        ..RunTimesRow::default()
    };
    cell.scheduler.restore_run_times(row, cell.now_ms);
    let row = cell.scheduler.run_times_row();
    let bytes = serde_json::to_string(&row)
        .expect("a serializable row")
        .len();
    assert!((30_000..48_000).contains(&bytes), "{bytes} bytes");
}
