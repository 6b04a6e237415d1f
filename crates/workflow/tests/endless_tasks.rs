//! Endless tasks beside waiting work: their order, their restart after a failure, and their move off leaving workers.

mod support;

use {
    ragwortreel_workflow::{EndCause, QueuePolicy, RunningTask, StartOrder, Step, WorkerSpec},
    std::sync::Arc,
    support::{Cell, cases, ended, gang, job, leaving, queue, step, worker},
};

/// Interval between two decisions, in ms.
const DECISION_INTERVAL_MS: u64 = 50;
/// Time for which the endless tasks have run before others come, in ms: far more than the objective of their job.
const WORKED_MS: u64 = 25_000;

/// Workers `w1` to `wN` of 16 cores.
fn workers(number: u32) -> Vec<WorkerSpec> {
    (1..=number)
        .map(|number| worker(&format!("w{number}"), 16_000))
        .collect()
}

fn endless(tasks: u32) -> Step {
    Step {
        endless: true,
        max_per_worker: Some(1),
        ..step(tasks, 1_000)
    }
}

fn lasting_18_s(step: Step) -> Step {
    Step {
        estimate_ms: 18_000,
        ..step
    }
}

/// Reports endless runs as at work.
fn report_at_work(cell: &mut Cell, starts: &[StartOrder]) {
    for start in starts {
        let running = RunningTask {
            task: start.task.clone(),
            run: start.run,
            checkpoint: Arc::from(""),
            percent: 100,
        };
        cell.report(&start.worker, vec![running], Vec::new());
    }
}

/// Cell with endless tasks of a queue that have been at work for long.
fn cell_with_endless_tasks(number: u32, priority: u32) -> (Cell, Vec<StartOrder>) {
    let mut cell = Cell::new(1);
    cell.list_reachable_workers(&workers(number));
    cell.accept(job("endless", queue(priority), vec![endless(4)]));
    let starts = cell.starts();
    assert_eq!(starts.len(), 4);
    cell.confirm_starts(&starts);
    report_at_work(&mut cell, &starts);
    cell.now_ms += WORKED_MS;
    report_at_work(&mut cell, &starts);
    (cell, starts)
}

/// Starts what has room, and confirms it.
fn start_all(cell: &mut Cell) -> Vec<StartOrder> {
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    starts
}

/// Has a task fail; returns the jobs of the tasks that are started within a second.
fn fail_and_start(cell: &mut Cell, failed: &StartOrder) -> Vec<String> {
    cell.report(
        &failed.worker,
        Vec::new(),
        vec![ended(failed, EndCause::Failed, "")],
    );
    let mut jobs = Vec::new();
    for _ in 0..20 {
        let starts = start_all(cell);
        jobs.extend(starts.iter().map(|start| start.task.step.job.to_string()));
        cell.now_ms += DECISION_INTERVAL_MS;
    }
    jobs
}

cases! {
    /// Guards against an endless task that fails and is started again only after all work that waits, because its job's
    /// objective has long passed (review/12).
    failed_task_starts_before_waiting_work: || {
        let (mut cell, endless) = cell_with_endless_tasks(8, 0);
        cell.accept(job("large", queue(2), vec![lasting_18_s(step(60, 2_900))]));
        assert_eq!(start_all(&mut cell).len(), 40);
        assert_eq!(fail_and_start(&mut cell, &endless[1]), ["endless"]);
    };

    /// Guards against the same where the waiting tasks could use the room of the failed one.
    failed_task_starts_before_tasks_that_fit_in_its_place: || {
        let (mut cell, endless) = cell_with_endless_tasks(8, 0);
        cell.accept(job("large", queue(2), vec![lasting_18_s(step(200, 1_000))]));
        assert_eq!(start_all(&mut cell).len(), 124);
        assert_eq!(fail_and_start(&mut cell, &endless[1]), ["endless"]);
    };

    /// Guards against the same for a queue of less importance: the waiting work leaves it room that it cannot use.
    failed_task_starts_beside_waiting_work: || {
        let (mut cell, endless) = cell_with_endless_tasks(8, 2);
        cell.accept(job("large", queue(0), vec![lasting_18_s(step(60, 2_900))]));
        assert_eq!(start_all(&mut cell).len(), 40);
        assert_eq!(fail_and_start(&mut cell, &endless[1]), ["endless"]);
    };

    /// Guards against the same beside a gang that waits for all workers, and that the task does not delay.
    failed_task_starts_beside_a_waiting_gang: || {
        let (mut cell, endless) = cell_with_endless_tasks(8, 2);
        cell.accept(job("busy", queue(0), vec![lasting_18_s(step(8, 14_000))]));
        assert_eq!(start_all(&mut cell).len(), 8);
        cell.accept(job("gang", queue(0), vec![lasting_18_s(gang(16, 7_000))]));
        // Tasks with an end leave free all that the gang needs.
        cell.accept(job("small", queue(1), vec![Step { estimate_ms: 60_000, ..step(1, 1_000) }]));
        assert_eq!(start_all(&mut cell).len(), 0);
        assert_eq!(fail_and_start(&mut cell, &endless[1]), ["endless"]);
    };

    /// Guards against endless tasks that never get to work and keep usual work from starting: after their attempts, they count
    /// as late.
    tasks_that_fail_in_a_row_starve_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[worker("w1", 16_000), worker("w2", 16_000)]);
        let large = Step { endless: true, ..step(2, 16_000) };
        cell.accept(job("endless", queue(0), vec![large]));
        for number in 0..40 {
            let usual = Step { estimate_ms: 60_000, ..step(1, 16_000) };
            cell.accept(job(&format!("usual-{number}"), queue(1), vec![usual]));
        }
        let mut done = 0;
        for _ in 0..400 {
            let starts = start_all(&mut cell);
            for start in starts {
                let is_endless = start.task.step.job.as_str() == "endless";
                let cause = if is_endless { EndCause::Failed } else { EndCause::Done };
                cell.end_runs(&[start], cause);
                done += u32::from(!is_endless);
            }
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        assert_eq!(done, 40);
    };

    /// Guards against an endless task that is not moved off a leaving worker while others wait, and is away until the lease
    /// of its run has expired (review/14).
    task_is_moved_while_others_wait: || {
        for priority in [0, 2] {
            let (mut cell, endless) = cell_with_endless_tasks(16, priority);
            cell.accept(job("large", queue(1), vec![lasting_18_s(step(100, 2_900))]));
            assert_eq!(start_all(&mut cell).len(), 80);
            let leaves = endless[0].worker.clone();
            let listed = workers(16).into_iter().map(|spec| WorkerSpec {
                draining: spec.id == leaves,
                leaves_in_ms: (spec.id == leaves).then_some(4_000),
                ..spec
            });
            let listed: Vec<WorkerSpec> = listed.collect();
            cell.list_workers(&listed);
            let leaves_ms = cell.now_ms + 4_000;
            let mut restarted_ms = None;
            while cell.now_ms < leaves_ms && restarted_ms.is_none() {
                let (starts, stops) = cell.decide();
                cell.confirm_starts(&starts);
                for stop in stops {
                    assert_eq!(stop.task, endless[0].task, "priority {priority}");
                    let run = endless[0].clone();
                    cell.report(&leaves, Vec::new(), vec![ended(&run, EndCause::Interrupted, "")]);
                }
                let moved = starts.iter().find(|start| start.task == endless[0].task);
                restarted_ms = moved.map(|start| {
                    assert_ne!(start.worker, leaves);
                    cell.now_ms
                });
                cell.now_ms += DECISION_INTERVAL_MS;
            }
            assert!(restarted_ms.is_some(), "priority {priority}: the task stays on the leaving worker");
        }
    };

    /// Guards against the stop of an endless run without checkpoints that has no room elsewhere, also because a step of
    /// better rank waits for it, and against one that stays although it has room, also because such a step waits for another
    /// worker (review/14). With checkpoints it is stopped in any case.
    endless_run_without_checkpoints_needs_room: || {
        // Checkpoints, capacity of `b`, need of the step that waits (9 cores fit on `c` only, 8 on `b` once it is empty, too),
        // and whether the run is stopped.
        let cases = [
            (false, 500, None, false),
            (false, 4_000, None, true),
            (false, 4_000, Some(9_000), true),
            (false, 8_000, Some(8_000), false),
            (true, 500, None, true),
            (true, 4_000, Some(9_000), true),
            (true, 8_000, Some(8_000), true),
        ];
        for (checkpoints, spare_milli_cores, waiting, expected) in cases {
            let endless = Step {
                endless: true,
                checkpoints,
                ..step(1, 1_000)
            };
            let mut cell = Cell::new(1);
            let a = worker("a", 4_000);
            cell.list_reachable_workers(std::slice::from_ref(&a));
            cell.accept(job("moved", queue(1), vec![endless]));
            let starts = cell.starts();
            cell.confirm_starts(&starts);
            let b = worker("b", spare_milli_cores);
            let mut others = vec![b];
            if waiting.is_some() {
                let c = worker("c", 9_000);
                cell.list_reachable_workers(&[a.clone(), c.clone()]);
                let busy = Step {
                    estimate_ms: 60_000,
                    ..step(1, 9_000)
                };
                cell.accept(job("busy", queue(0), vec![busy]));
                let starts = cell.starts();
                cell.confirm_starts(&starts);
                others.push(c);
            }
            cell.list_reachable_workers(&[&[a], &others[..]].concat());
            if let Some(milli_cores) = waiting {
                if milli_cores < 9_000 {
                    // A part of `b` is used for a moment.
                    cell.accept(job("short", queue(0), vec![step(1, 3_500)]));
                    let starts = cell.starts();
                    assert_eq!((starts.len(), starts[0].worker.as_str()), (1, "b"));
                    cell.confirm_starts(&starts);
                }
                let patient = QueuePolicy {
                    slack_ms: 60_000,
                    ..queue(0)
                };
                cell.accept(job("wide", patient, vec![step(1, milli_cores)]));
                assert!(cell.starts().is_empty());
            }
            cell.list_workers(&[&[leaving("a", 4_000, 2_000)], &others[..]].concat());
            let is_stopped = cell.stops_within(3_000).is_some();
            assert_eq!(
                is_stopped, expected,
                "{checkpoints} {spare_milli_cores} {waiting:?}"
            );
        }
    };
}
