//! Detection of stuck runs by their own progress, by their worker, and by their gang.

mod support;

use {
    ragwortreel_workflow::{
        HeartbeatReport, RunningTask, StallEvidence, StartOrder, Step, StuckRun,
    },
    std::sync::Arc,
    support::{Cell, LEASE_BOUND_MS, gang, job, queue, step, worker, worker_id},
};

/// Interval between two reports, in ms.
const REPORT_MS: u64 = 500;

/// Starts a step's tasks on worker `w`, or those of a gang on workers `w1` and `w2`.
fn start(cell: &mut Cell, step: Step) -> Vec<StartOrder> {
    if step.gang {
        cell.list_reachable_workers(&[worker("w1", 1_000), worker("w2", 1_000)]);
    } else {
        cell.list_reachable_workers(&[worker("w", 16_000)]);
    }
    cell.accept(job("j", queue(0), vec![step]));
    cell.starts()
}

/// Reports the progress of all given runs of a worker.
fn report(cell: &mut Cell, name: &str, runs: &[(&StartOrder, u32)], checkpoint: &str) {
    let running = runs.iter().map(|(start, percent)| RunningTask {
        task: start.task.clone(),
        run: start.run,
        checkpoint: Arc::from(checkpoint),
        percent: *percent,
    });
    let report = HeartbeatReport {
        sent_ms: cell.now_ms,
        lease_until_ms: cell.now_ms + LEASE_BOUND_MS,
        running: running.collect(),
        ended: Vec::new(),
        has_more_ends: false,
        incarnation: None,
    };
    (cell.scheduler).heartbeat(&worker_id(name), report, cell.now_ms);
}

/// Sends reports with unchanged progress for some time; returns the runs that are stopped.
fn report_unchanged(
    cell: &mut Cell,
    runs: &[(&StartOrder, u32)],
    checkpoint: &str,
    for_ms: u64,
) -> Vec<StuckRun> {
    let until_ms = cell.now_ms + for_ms;
    while cell.now_ms < until_ms {
        cell.now_ms += REPORT_MS;
        for (start, percent) in runs {
            let name = start.worker.as_str();
            if name == "w" {
                report(cell, name, runs, checkpoint);
                break;
            }
            report(cell, name, &[(*start, *percent)], checkpoint);
        }
    }
    cell.scheduler.take_stuck_runs()
}

/// Names each test, which gets an empty cell.
macro_rules! stall_tests {
    ($($(#[$doc:meta])* $name:ident: |$cell:ident| $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut $cell = Cell::new(1);
            $body
        })*
    };
}

stall_tests! {
    /// Guards against a run that is stopped because its estimate is a tenth of its duration.
    estimate_alone_is_no_evidence: |cell| {
        let starts = start(&mut cell, step(2, 1_000));
        cell.confirm_starts(&starts);
        // The first percent of a run seven times as long as usual takes 1.3 s on a slow worker.
        let unchanged = [(&starts[0], 0), (&starts[1], 0)];
        assert_eq!(report_unchanged(&mut cell, &unchanged, "", 1_500), []);
        cell.now_ms += REPORT_MS;
        report(&mut cell, "w", &[(&starts[0], 1), (&starts[1], 1)], "");
        let unchanged = [(&starts[0], 1), (&starts[1], 1)];
        assert_eq!(report_unchanged(&mut cell, &unchanged, "", 1_500), []);
    }

    /// Guards against a run that is stopped although the other runs on its worker advance.
    advancing_neighbours_keep_a_run_without_progress: |cell| {
        let starts = start(&mut cell, step(2, 1_000));
        cell.confirm_starts(&starts);
        for percent in 1..60 {
            cell.now_ms += REPORT_MS;
            report(&mut cell, "w", &[(&starts[0], 0), (&starts[1], percent)], "");
        }
        assert_eq!(cell.scheduler.take_stuck_runs(), []);
    }

    /// Guards against a task of half an hour that is stopped because one percent of it takes longer than the upper bound
    /// of a stall.
    long_task_is_not_stuck_within_a_percent: |cell| {
        let step = Step { estimate_ms: 1_800_000, ..step(1, 1_000) };
        let starts = start(&mut cell, step);
        cell.confirm_starts(&starts);
        for percent in 1..5 {
            let unchanged = [(&starts[0], percent - 1)];
            assert_eq!(report_unchanged(&mut cell, &unchanged, "saved", 20_000), []);
            report(&mut cell, "w", &[(&starts[0], percent)], "saved");
        }
    }

    /// Guards against runs that are stopped because their worker becomes eight times slower.
    slowed_worker_keeps_its_runs: |cell| {
        let starts = start(&mut cell, step(1, 1_000));
        cell.confirm_starts(&starts);
        cell.now_ms += 2_000;
        report(&mut cell, "w", &[(&starts[0], 10)], "");
        // One percent takes 200 ms, and 1.6 s on the slowed worker.
        for percent in 11..15 {
            let unchanged = [(&starts[0], percent)];
            assert_eq!(report_unchanged(&mut cell, &unchanged, "saved", 1_500), []);
        }
    }

    /// Guards against a worker that stands still for seconds before its runs are moved: each of them alone gives too
    /// little evidence.
    standstill_is_found_by_all_runs_together: |cell| {
        let starts = start(&mut cell, step(8, 1_000));
        cell.confirm_starts(&starts);
        cell.now_ms += 1_000;
        let advanced: Vec<_> = starts.iter().map(|start| (start, 4)).collect();
        report(&mut cell, "w", &advanced, "");
        // One percent takes 250 ms, so that one run alone would be judged after 4 s.
        let stuck = report_unchanged(&mut cell, &advanced, "", 1_500);
        assert_eq!(stuck.len(), 8);
        assert!(stuck.iter().all(|it| it.evidence == StallEvidence::Worker));
        cell.accept(job("k", queue(0), vec![step(1, 1_000)]));
        assert!(cell.starts().is_empty(), "the worker is quarantined");
    }

    /// Guards against long work that is lost because its worker stands still for a moment. With a checkpoint, nothing
    /// speaks for waiting.
    work_without_a_checkpoint_is_kept_longer: |cell| {
        let starts = start(&mut cell, step(1, 1_000));
        cell.confirm_starts(&starts);
        cell.now_ms += 3_000;
        let advanced = [(&starts[0], 90)];
        report(&mut cell, "w", &advanced, "");
        assert_eq!(report_unchanged(&mut cell, &advanced, "", 2_000), []);
        assert_eq!(report_unchanged(&mut cell, &advanced, "saved", 500).len(), 1);
    }

    /// Guards against a gang that is stopped while it waits for its last member.
    incomplete_gang_is_kept: |cell| {
        let starts = start(&mut cell, gang(2, 1_000));
        cell.confirm_starts(&starts[..1]);
        assert_eq!(report_unchanged(&mut cell, &[(&starts[0], 0)], "", 8_000), []);
    }

    /// Guards against a gang that is stopped by one member's report although another member has advanced.
    gang_is_judged_by_all_members: |cell| {
        let starts = start(&mut cell, gang(2, 1_000));
        cell.confirm_starts(&starts);
        cell.now_ms += 500;
        let names = [starts[0].worker.as_str(), starts[1].worker.as_str()];
        report(&mut cell, names[0], &[(&starts[0], 10)], "");
        report(&mut cell, names[1], &[(&starts[1], 10)], "");
        for percent in 11..20 {
            cell.now_ms += 500;
            report(&mut cell, names[0], &[(&starts[0], 10)], "");
            report(&mut cell, names[1], &[(&starts[1], percent)], "");
        }
        assert_eq!(cell.scheduler.take_stuck_runs(), []);
        let unchanged = [(&starts[0], 10), (&starts[1], 19)];
        let stuck = report_unchanged(&mut cell, &unchanged, "saved", 5_500);
        assert_eq!(stuck.len(), 1);
        assert_eq!(stuck[0].evidence, StallEvidence::Gang);
        assert_eq!(cell.decide().1.len(), 1, "the worker stops the other members");
    }

    /// Guards against two reports in quick succession after a pause of the worker that count as a stall.
    reports_right_after_a_pause_are_no_evidence: |cell| {
        let starts = start(&mut cell, step(1, 1_000));
        cell.confirm_starts(&starts);
        cell.now_ms += 500;
        report(&mut cell, "w", &[(&starts[0], 40)], "");
        cell.now_ms += 1_900;
        report(&mut cell, "w", &[(&starts[0], 40)], "");
        cell.now_ms += 20;
        report(&mut cell, "w", &[(&starts[0], 40)], "");
        assert_eq!(cell.scheduler.take_stuck_runs(), []);
    }

    /// Guards against a run that seems to be fast because its first report arrives before the confirmation of its start.
    run_that_is_confirmed_by_a_report_is_not_fast: |cell| {
        let starts = start(&mut cell, step(1, 1_000));
        cell.now_ms += 3_000;
        let advanced = [(&starts[0], 30)];
        report(&mut cell, "w", &advanced, "");
        assert_eq!(report_unchanged(&mut cell, &advanced, "saved", 1_500), []);
    }

    /// Guards against a run that seems to be fast because it has advanced while its worker did not answer.
    run_of_an_unreachable_worker_is_not_fast: |cell| {
        let starts = start(&mut cell, step(1, 1_000));
        cell.confirm_starts(&starts);
        cell.scheduler.mark_unreachable(&worker_id("w"));
        cell.now_ms += 3_000;
        let advanced = [(&starts[0], 30)];
        report(&mut cell, "w", &advanced, "");
        assert_eq!(report_unchanged(&mut cell, &advanced, "saved", 1_500), []);
    }
}
