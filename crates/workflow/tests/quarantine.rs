//! What failed runs say about their worker and about their step, and what other jobs get meanwhile.

mod support;

use {
    ragwortreel_model::JobState,
    ragwortreel_workflow::{EndCause, QuarantineNotice, StartOrder, Step, WorkerSpec},
    std::collections::{BTreeMap, BTreeSet},
    support::{Cell, cases, gang, job, job_id, queue, step, worker, worker_id},
};

/// Duration of a quarantine, in ms.
const QUARANTINE_MS: u64 = 5_000;
const WORKERS: u64 = 8;
/// Duration of a task that completes, in ms.
const TASK_MS: u64 = 1_000;
/// Duration of a task that fails, in ms.
const FAILURE_MS: u64 = 100;
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

fn names(starts: &[StartOrder]) -> BTreeSet<&str> {
    let jobs = starts.iter().map(|start| start.task.step.job.as_str());
    jobs.collect()
}

/// Outcome of a time in which all runs on some workers fail.
#[derive(Default)]
struct Played {
    /// Failed runs by worker.
    failed_runs: BTreeMap<String, u64>,
    states: BTreeMap<String, JobState>,
}

/// Plays a time in which the runs on some workers fail and all others complete.
fn play(
    cell: &mut Cell,
    failing: &[&str],
    for_ms: u64,
    mut submit: impl FnMut(&mut Cell, u64),
) -> Played {
    let (begin_ms, mut played) = (cell.now_ms, Played::default());
    let mut running: Vec<(u64, StartOrder)> = Vec::new();
    while cell.now_ms < begin_ms + for_ms {
        submit(cell, cell.now_ms - begin_ms);
        let now_ms = cell.now_ms;
        let due = running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms);
        for (_, start) in due.collect::<Vec<_>>() {
            let fails = failing.contains(&start.worker.as_str());
            if fails {
                *played
                    .failed_runs
                    .entry(start.worker.to_string())
                    .or_default() += 1;
            }
            let cause = if fails {
                EndCause::Failed
            } else {
                EndCause::Done
            };
            cell.end_runs(&[start], cause);
        }
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        running.extend(starts.into_iter().map(|start| {
            let fails = failing.contains(&start.worker.as_str());
            (now_ms + if fails { FAILURE_MS } else { TASK_MS }, start)
        }));
        let changes = cell.changes().into_iter();
        played
            .states
            .extend(changes.map(|change| (change.job.to_string(), change.state)));
        cell.now_ms = now_ms + DECISION_INTERVAL_MS;
    }
    played
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

    /// Guards against a job whose tasks fail on all workers, which has these quarantined for all other jobs (review/11).
    job_at_fault_takes_no_worker_from_others: || {
        let mut cell = cell();
        cell.accept(job("faulty", queue(0), vec![step(60, 2_000)]));
        assert_eq!(fail_next(&mut cell).len(), 60);
        cell.accept(job("gang", queue(1), vec![gang(12, 4_500)]));
        cell.accept(job("wide", queue(2), vec![Step { estimate_ms: 60_000, ..step(24, 1_000) }]));
        let starts = cell.starts();
        assert_eq!(names(&starts), BTreeSet::from(["gang", "wide"]));
        assert_eq!(starts.len(), 36);
        let notices = cell.scheduler.take_quarantine_notices();
        let found = |notice: &&QuarantineNotice| matches!(notice, QuarantineNotice::Step { .. });
        assert_eq!(notices.iter().filter(found).count(), 1, "{notices:?}");
    };

    /// Guards against a job at fault that uses up runs without end, or is never shown as failed: each worker that it failed on
    /// repeatedly runs one task of it after a quarantine.
    job_at_fault_fails_after_few_runs: || {
        let mut cell = cell();
        cell.accept(job("faulty", queue(0), vec![step(60, 2_000)]));
        assert_eq!(fail_next(&mut cell).len(), 60);
        cell.now_ms += QUARANTINE_MS - 100;
        assert!(cell.starts().is_empty());
        cell.now_ms += 100;
        assert_eq!(fail_next(&mut cell).len(), 8);
        assert_eq!(cell.state("faulty"), Some(JobState::Failed));
    };

    /// Guards against the same for two such jobs at a time, each of which is retried on the workers of the other one.
    two_jobs_at_fault_take_no_worker_from_others: || {
        let mut cell = cell();
        cell.accept(job("faulty", queue(0), vec![step(30, 2_000)]));
        cell.accept(job("broken", queue(1), vec![step(34, 2_000)]));
        assert_eq!(fail_next(&mut cell).len(), 64);
        assert_eq!(names(&fail_next(&mut cell)), BTreeSet::from(["broken", "faulty"]));
        cell.accept(job("gang", queue(2), vec![gang(12, 4_500)]));
        assert_eq!(names(&cell.starts()), BTreeSet::from(["gang"]));
    };

    /// Guards against limits that last as long as a job at fault does: what failed for a while may start again on all workers.
    failures_of_a_step_are_forgotten: || {
        let mut cell = cell();
        let endless = Step { endless: true, ..step(60, 2_000) };
        cell.accept(job("endless", queue(0), vec![endless]));
        assert_eq!(fail_next(&mut cell).len(), 60);
        cell.now_ms += QUARANTINE_MS;
        assert_eq!(cell.starts().len(), 8);
        assert!(cell.starts().is_empty());
        cell.now_ms += QUARANTINE_MS;
        assert_eq!(cell.starts().len(), 52);
    };

    /// Guards against failing workers that are not quarantined because a job fails on several of them: most of its workers
    /// are sound.
    failing_workers_are_quarantined_beside_sound_ones: || {
        let mut cell = cell();
        cell.accept(job("wide", queue(0), vec![step(64, 2_000)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let fails = |it: &&StartOrder| ["w1", "w2", "w3"].contains(&it.worker.as_str());
        let failed: Vec<StartOrder> = starts.iter().filter(fails).cloned().collect();
        cell.end_runs(&failed, EndCause::Failed);
        cell.accept(job("other", queue(1), vec![step(8, 1_000)]));
        assert!(cell.starts().is_empty(), "five workers are full, three are quarantined");
    };

    /// Guards against failing workers that use up the attempts of wide jobs: each costs at most what it holds at once, and one
    /// run after each quarantine.
    failing_workers_fail_no_job: || {
        const PLAYED_MS: u64 = 60_000;
        const SLOTS: u64 = 16;
        let mut cell = cell();
        let played = play(&mut cell, &["w1", "w2"], PLAYED_MS, |cell, at_ms| {
            if at_ms.is_multiple_of(500) {
                let wide = step(if at_ms.is_multiple_of(1_000) { 40 } else { 6 }, 1_000);
                cell.accept(job(&format!("job-{at_ms}"), queue(0), vec![wide]));
            }
        });
        let failed = played.states.iter().filter(|(_, state)| **state == JobState::Failed);
        assert_eq!(failed.count(), 0, "{:?}", played.states);
        assert!(played.states.len() >= 110);
        for (worker, runs) in &played.failed_runs {
            assert!(*runs <= SLOTS + PLAYED_MS / QUARANTINE_MS, "{worker}: {runs}");
        }
    };

    /// Guards against two failing workers that excuse each other, as each job that runs on both of them seems to be at fault,
    /// while the sound ones are full.
    jobs_on_failing_workers_only_excuse_them_not: || {
        const PLAYED_MS: u64 = 20_000;
        let mut cell = cell();
        let long = Step { max_per_worker: Some(1), ..step(8, 16_000) };
        cell.accept(job("long", queue(0), vec![long]));
        let starts = cell.starts();
        assert_eq!(starts.len(), 8);
        cell.confirm_starts(&starts);
        for number in 1..=3 {
            cell.list_reachable_workers(&[worker(&format!("bad-{number}"), 16_000)]);
        }
        let all: Vec<WorkerSpec> = (1..=WORKERS).map(|number| worker(&format!("w{number}"), 16_000))
            .chain((1..=3).map(|number| worker(&format!("bad-{number}"), 16_000)))
            .collect();
        cell.list_workers(&all);
        let failing = ["bad-1", "bad-2", "bad-3"];
        let played = play(&mut cell, &failing, PLAYED_MS, |cell, at_ms| {
            if at_ms.is_multiple_of(200) {
                cell.accept(job(&format!("job-{at_ms}"), queue(0), vec![step(1, 1_000)]));
            }
        });
        for name in failing {
            let runs = played.failed_runs.get(&worker_id(name).to_string()).copied();
            // Three failures, further runs that started before the third one ended, and one after each quarantine.
            assert!(runs.unwrap_or(0) <= 6 + PLAYED_MS / QUARANTINE_MS, "{name}: {runs:?}");
        }
    };
}
