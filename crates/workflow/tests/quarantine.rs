//! What failed runs say about their worker and about their step, and what other jobs get meanwhile.

mod support;

use {
    ragwortreel_model::JobState,
    ragwortreel_workflow::{EndCause, StartOrder, Step, WorkerSpec},
    support::{Cell, cases, gang, job, job_id, queue, step, worker},
};

/// Duration of a quarantine, in ms.
const QUARANTINE_MS: u64 = 5_000;
const WORKERS: u64 = 8;
/// Interval between two decisions, in ms.
const DECISION_INTERVAL_MS: u64 = 50;

/// Workers `w1` to `w8` of 16 cores.
fn cell() -> Cell {
    let mut cell = Cell::new(1);
    let workers: Vec<WorkerSpec> = (1..=WORKERS)
        .map(|number| worker(&format!("w{number}"), 16_000))
        .collect();
    cell.list_reachable_workers(&workers);
    cell
}

/// Starts the tasks that have room, and has all of them fail.
fn fail_next(cell: &mut Cell) -> Vec<StartOrder> {
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.end_runs(&starts, EndCause::Failed);
    starts
}

/// Has each worker fail a run of three jobs.
fn quarantine_all(cell: &mut Cell) {
    for number in 0..3 {
        let name = format!("fails-{number}");
        let one_each = Step {
            max_per_worker: Some(1),
            ..step(8, 1_000)
        };
        cell.accept(job(&name, queue(0), vec![one_each]));
        assert_eq!(fail_next(cell).len(), 8);
        cell.scheduler.cancel(&job_id(&name), cell.now_ms);
    }
    cell.accept(job("probe", queue(0), vec![step(1, 1_000)]));
    assert!(cell.starts().is_empty(), "all workers are quarantined");
    cell.scheduler.cancel(&job_id("probe"), cell.now_ms);
}

cases! {
    /// Guards against a gang that is never started after failed runs: a limit of one run on each worker lasts until a run
    /// completes, and the gang is wider than the number of workers (review/11).
    gang_starts_after_the_quarantine_of_its_workers: || {
        let mut cell = cell();
        quarantine_all(&mut cell);
        cell.accept(job("gang", queue(1), vec![gang(12, 4_500)]));
        cell.now_ms += QUARANTINE_MS;
        assert_eq!(cell.starts().len(), 12);
    };

    /// Guards against the same for a gang that fails by its own fault, and is then never shown as failed.
    failing_gang_is_shown_as_failed: || {
        let mut cell = cell();
        cell.accept(job("gang", queue(1), vec![gang(24, 5_000)]));
        assert_eq!(fail_next(&mut cell).len(), 24);
        cell.now_ms += QUARANTINE_MS;
        assert_eq!(fail_next(&mut cell).len(), 24);
        assert_eq!(cell.state("gang"), Some(JobState::Failed));
    };

    /// Guards against a gang that restarts on a worker whose run after the quarantine has not ended: that run is to show first
    /// whether the worker is sound.
    gang_waits_for_a_run_on_probation: || {
        let mut cell = cell();
        quarantine_all(&mut cell);
        cell.now_ms += QUARANTINE_MS;
        let one_each = Step { max_per_worker: Some(1), ..step(8, 1_000) };
        cell.accept(job("first", queue(0), vec![one_each]));
        let first = cell.starts();
        assert_eq!(first.len(), 8);
        cell.confirm_starts(&first);
        cell.accept(job("gang", queue(1), vec![gang(12, 4_500)]));
        assert!(cell.starts().is_empty());
        cell.end_runs(&first[..4], EndCause::Done);
        cell.now_ms += DECISION_INTERVAL_MS;
        assert_eq!(cell.starts().len(), 12);
    };
}
