//! Limits on extreme input, and detection of stalled tasks on paused or unreachable workers.

mod support;

use {
    ragwortreel_model::JobId,
    ragwortreel_workflow::{
        HeartbeatReport, JobOrigin, Progress, RunningTask, Schedule, StepProgress, TaskKey,
    },
    std::sync::Arc,
    support::{Cell, LEASE_BOUND_MS, job, queue, step, worker, worker_id},
};

/// Job with a billion occurrences that are all due at once.
fn request_with_huge_schedule() -> ragwortreel_workflow::JobRequest {
    let mut request = job("j", queue(0), vec![step(3, 1_000)]);
    request.schedule = Some(Schedule {
        first_ms: 0,
        period_ms: 0,
        times: 1_000_000_000,
    });
    request
}

/// Guards against a request whose due occurrences exhaust the memory of the leader.
#[test]
fn due_occurrences_open_within_the_task_limit() {
    let mut cell = Cell::new(1);
    cell.list_reachable_workers(&[worker("w", 8_000)]);
    cell.accept(request_with_huge_schedule());
    assert_eq!(cell.starts().len(), 8);
    let (running, waiting) = cell.scheduler.task_counts();
    assert!(running + waiting <= 10_000, "{waiting} tasks wait");
}

/// Guards against a heartbeat report or a stored row with an occurrence number beyond the job's last one, which would
/// open all occurrences up to that number.
#[test]
fn out_of_range_occurrences_are_ignored() {
    let mut request = request_with_huge_schedule();
    if let Some(schedule) = &mut request.schedule {
        (schedule.times, schedule.first_ms) = (4, u64::MAX / 2);
    }
    let mut cell = Cell::new(2);
    cell.list_reachable_workers(&[worker("w", 8_000)]);
    let progress = Progress {
        steps: vec![StepProgress {
            occurrence: u32::MAX,
            done: vec![0],
            ..StepProgress::default()
        }],
        ..Progress::default()
    };
    cell.recover(request, &progress);
    let task = format!("j.{}.0.0", u32::MAX - 1);
    cell.heartbeat_with_runs("w", &[&task]);
    let (running, waiting) = cell.scheduler.task_counts();
    assert_eq!(running, 0);
    assert!(waiting <= 12, "{waiting} tasks wait");
}

/// Reports the first run of a task with its progress in a heartbeat of worker `w`.
fn report_progress(cell: &mut Cell, task: &TaskKey, percent: u32) {
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
        has_more_ends: false,
        incarnation: None,
    };
    let now_ms = cell.now_ms;
    cell.scheduler.heartbeat(&worker_id("w"), report, now_ms);
}

fn start_single_task(cell: &mut Cell) -> TaskKey {
    cell.list_reachable_workers(&[worker("w", 1_000)]);
    let request = job("j", queue(0), vec![step(1, 1_000)]);
    assert_eq!(request.id, JobId::new("j").expect("a valid name"));
    let now_ms = cell.now_ms;
    (cell.scheduler).accept(
        request,
        JobOrigin::Accepted,
        &Progress::default(),
        0,
        now_ms,
    );
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    starts[0].task.clone()
}

/// Guards against a run that counts as stalled because its worker was paused or unreachable for some seconds: the first
/// report after the pause shows the progress from before it.
#[test]
fn paused_worker_keeps_its_task() {
    let mut cell = Cell::new(1);
    let task = start_single_task(&mut cell);
    report_progress(&mut cell, &task, 40);
    // The worker is paused and does not answer.
    cell.now_ms += 3_200;
    cell.scheduler.mark_unreachable(&worker_id("w"));
    cell.now_ms += 800;
    report_progress(&mut cell, &task, 40);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
    cell.now_ms += 300;
    report_progress(&mut cell, &task, 60);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
}

/// Guards against a run that counts as stalled after a pause too short to miss a heartbeat.
#[test]
fn briefly_paused_worker_keeps_its_task() {
    let mut cell = Cell::new(1);
    let task = start_single_task(&mut cell);
    report_progress(&mut cell, &task, 40);
    cell.now_ms += 1_900;
    report_progress(&mut cell, &task, 40);
    assert!(cell.decide().1.is_empty(), "the run was stopped");
}

/// Guards against a stalled task of one second that is restarted only after several seconds, when its objective is
/// missed.
#[test]
fn stalled_short_task_is_stopped() {
    let mut cell = Cell::new(1);
    let task = start_single_task(&mut cell);
    for _ in 0..3 {
        cell.now_ms += 500;
        report_progress(&mut cell, &task, 10);
    }
    assert_eq!(cell.decide().1.len(), 1);
}
