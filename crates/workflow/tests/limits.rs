//! What malformed or extreme input must not do to a leader, and what a silent worker must not be taken for.

mod support;

use {
    ragwortreel_model::JobId,
    ragwortreel_workflow::{
        HeartbeatReport, JobOrigin, Progress, RunningTask, Schedule, StepProgress, TaskKey,
    },
    std::sync::Arc,
    support::{Cell, LEASE_BOUND_MS, job, queue, step, worker, worker_id},
};

/// A job that runs a thousand million times, all of them due at once.
fn endless_schedule() -> ragwortreel_workflow::JobRequest {
    let mut request = job("j", queue(0), vec![step(3, 1_000)]);
    request.schedule = Some(Schedule {
        first_ms: 0,
        period_ms: 0,
        times: 1_000_000_000,
    });
    request
}

/// Guards against one request whose occurrences take all memory of the leader.
#[test]
fn occurrences_that_are_due_at_once_open_little_by_little() {
    let mut cell = Cell::new(1);
    cell.list(&[worker("w", 8_000)]);
    cell.accept(endless_schedule());
    assert_eq!(cell.starts().len(), 8);
    let (running, waiting) = cell.scheduler.task_counts();
    assert!(running + waiting <= 10_000, "{waiting} tasks wait");
}

/// Guards against a worker's list, or a stored row, that names an occurrence far beyond the last one.
#[test]
fn impossible_occurrences_open_nothing() {
    let mut request = endless_schedule();
    if let Some(schedule) = &mut request.schedule {
        (schedule.times, schedule.first_ms) = (4, u64::MAX / 2);
    }
    let mut cell = Cell::new(2);
    cell.list(&[worker("w", 8_000)]);
    let progress = Progress {
        steps: vec![StepProgress {
            occurrence: u32::MAX,
            done: vec![0],
            ..StepProgress::default()
        }],
    };
    cell.recover(request, &progress);
    let task = format!("j.{}.0.0", u32::MAX - 1);
    cell.heartbeat_with("w", &[&task]);
    let (running, waiting) = cell.scheduler.task_counts();
    assert_eq!(running, 0);
    assert!(waiting <= 12, "{waiting} tasks wait");
}

/// One run of a task of a second that a worker lists at a time, with its progress.
fn look(cell: &mut Cell, task: &TaskKey, percent: u32) {
    let running = RunningTask {
        task: task.clone(),
        run: 1,
        checkpoint: Arc::from(""),
        percent,
    };
    let report = HeartbeatReport {
        sent_ms: cell.now_ms,
        lease_until_ms: cell.now_ms + LEASE_BOUND_MS,
        running: vec![running],
        ended: Vec::new(),
    };
    let now_ms = cell.now_ms;
    cell.scheduler.heartbeat(&worker_id("w"), report, now_ms);
}

fn start_one(cell: &mut Cell) -> TaskKey {
    cell.list(&[worker("w", 1_000)]);
    let request = job("j", queue(0), vec![step(1, 1_000)]);
    assert_eq!(request.id, JobId::new("j").expect("a name"));
    let now_ms = cell.now_ms;
    (cell.scheduler).accept(
        request,
        JobOrigin::Accepted,
        &Progress::default(),
        0,
        now_ms,
    );
    let starts = cell.starts();
    cell.confirm(&starts);
    starts[0].task.clone()
}

/// Guards against running work that is given up because its worker was paused or could not be reached for some seconds:
/// its list shows the progress of before, and that is no sign of a task that stands still.
#[test]
fn paused_worker_keeps_its_task() {
    let mut cell = Cell::new(1);
    let task = start_one(&mut cell);
    look(&mut cell, &task, 40);
    // The pause, during which the worker does not answer.
    cell.now_ms += 3_200;
    cell.scheduler.mark_unreachable(&worker_id("w"));
    cell.now_ms += 800;
    look(&mut cell, &task, 40);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
    cell.now_ms += 300;
    look(&mut cell, &task, 60);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
}

/// The same for a pause that is too short for a missing answer.
#[test]
fn briefly_paused_worker_keeps_its_task() {
    let mut cell = Cell::new(1);
    let task = start_one(&mut cell);
    look(&mut cell, &task, 40);
    cell.now_ms += 1_900;
    look(&mut cell, &task, 40);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
}

/// Guards against a short task that stands still for seconds before it is started elsewhere: its caller waits for about one
/// second in all.
#[test]
fn task_that_stands_still_is_stopped_by_its_estimate() {
    let mut cell = Cell::new(1);
    let task = start_one(&mut cell);
    for _ in 0..3 {
        cell.now_ms += 500;
        look(&mut cell, &task, 10);
    }
    assert_eq!(cell.decide().1.len(), 1);
}
