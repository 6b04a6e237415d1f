//! Work on workers that announce when they leave.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::{
        EndCause, EndedRun, MoveReason, RunningTask, StartOrder, Step, StopOrder, WorkerSpec,
    },
    std::sync::Arc,
    support::{
        ATTEMPTS, Cell, LEASE_BOUND_MS, advised_queue, gang, job, job_id, leaving, queue, step,
        worker, worker_id,
    },
};

/// Step with an estimate of 10 s whose tasks write checkpoints.
fn long_step(tasks: u32) -> Step {
    Step {
        checkpoints: true,
        estimate_ms: 10_000,
        ..step(tasks, 1_000)
    }
}

fn report(cell: &mut Cell, start: &StartOrder, percent: u32) {
    let running = RunningTask {
        task: start.task.clone(),
        run: start.run,
        checkpoint: Arc::from(""),
        percent,
    };
    cell.report(&start.worker, vec![running], Vec::new());
}

/// Reports the end of a stopped run, as a worker does after a stop.
fn report_stopped(cell: &mut Cell, stop: &StopOrder, checkpoint: &str) {
    let ended = EndedRun {
        task: stop.task.clone(),
        run: stop.run,
        cause: EndCause::Interrupted,
        checkpoint: Arc::from(checkpoint),
    };
    cell.report(&stop.worker, Vec::new(), vec![ended]);
}

/// Starts the tasks of one step on worker `a`, and adds the empty worker `b`.
fn start_on_a(step: Step, spare_milli_cores: u64) -> (Cell, Vec<StartOrder>) {
    let mut cell = Cell::new(1);
    let a = worker("a", 4_000);
    cell.list_reachable_workers(std::slice::from_ref(&a));
    cell.accept(job("j", queue(0), vec![step]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.list_reachable_workers(&[a, worker("b", spare_milli_cores)]);
    (cell, starts)
}

/// Lists worker `a` as leaving and `b` as before.
fn list_leaving_a(cell: &mut Cell, leaves_in_ms: u64) {
    cell.list_workers(&[leaving("a", 4_000, leaves_in_ms), worker("b", 4_000)]);
}

/// Guards against work that is lost with its worker: a run with checkpoints works until shortly before, and its task
/// continues elsewhere from the checkpoint that the stop has written. The move is not a failed attempt.
#[test]
fn run_with_checkpoints_resumes_elsewhere() {
    let (mut cell, _) = start_on_a(long_step(1), 4_000);
    for attempt in 0..=ATTEMPTS {
        let (from, to) = if attempt % 2 == 0 {
            ("a", "b")
        } else {
            ("b", "a")
        };
        cell.now_ms += 100;
        cell.list_workers(&[worker("a", 4_000), worker("b", 4_000)]);
        cell.list_workers(&[leaving(from, 4_000, 5_000), worker(to, 4_000)]);
        assert!(cell.scheduler.max_heartbeat_wait_ms(&worker_id(from)) <= 500);
        let (after_ms, stops) = cell.stops_within(10_000).expect("a stop");
        assert!((4_000..=4_600).contains(&after_ms), "after {after_ms} ms");
        let moved = cell.scheduler.take_moved_runs();
        assert_eq!((moved.len(), moved[0].reason), (1, MoveReason::Resume));
        cell.now_ms += 200;
        let checkpoint = format!("saved-{attempt}");
        report_stopped(&mut cell, &stops[0], &checkpoint);
        let starts = cell.starts();
        assert_eq!(starts.len(), 1, "attempt {attempt}");
        assert_eq!(starts[0].worker.as_str(), to);
        assert_eq!(&*starts[0].checkpoint, checkpoint);
        cell.confirm_starts(&starts);
    }
}

/// Guards against a move of a run that would end before its worker leaves, by its estimate or by its shown speed.
#[test]
fn run_that_ends_in_time_is_left_alone() {
    let (mut cell, _) = start_on_a(step(1, 1_000), 4_000);
    list_leaving_a(&mut cell, 2_000);
    assert_eq!(cell.stops_within(900), None);

    let (mut cell, starts) = start_on_a(long_step(1), 4_000);
    cell.now_ms += 500;
    report(&mut cell, &starts[0], 50);
    list_leaving_a(&mut cell, 1_800);
    assert_eq!(cell.stops_within(850), None);
}

/// Guards against a run that ends in time by its estimate, but not by the speed that it has shown.
#[test]
fn slow_run_is_moved_in_spite_of_its_estimate() {
    let short = Step {
        checkpoints: true,
        ..step(1, 1_000)
    };
    let (mut cell, starts) = start_on_a(short, 4_000);
    cell.now_ms += 1_000;
    report(&mut cell, &starts[0], 10);
    list_leaving_a(&mut cell, 2_000);
    assert!(cell.stops_within(600).is_some());
}

/// Guards against a run that resumed at 60% and counts as fast because of that.
#[test]
fn speed_of_a_resumed_run_counts_from_its_first_report() {
    let (mut cell, starts) = start_on_a(long_step(1), 4_000);
    list_leaving_a(&mut cell, 1_000);
    let (_, stops) = cell.stops_within(2_000).expect("a stop");
    report_stopped(&mut cell, &stops[0], "saved");
    let starts_again = cell.starts();
    assert_ne!(starts_again[0].worker, starts[0].worker);
    cell.confirm_starts(&starts_again);
    cell.now_ms += 200;
    report(&mut cell, &starts_again[0], 60);
    cell.now_ms += 600;
    report(&mut cell, &starts_again[0], 66);
    cell.list_workers(&[worker("a", 4_000), worker("b", 4_000)]);
    cell.list_workers(&[worker("a", 4_000), leaving("b", 4_000, 900)]);
    assert!(cell.stops_within(500).is_some());
}

/// Guards against a run without checkpoints that works on until its worker leaves, and starts from zero only then.
#[test]
fn run_without_checkpoints_restarts_at_once() {
    let plain = Step {
        estimate_ms: 4_000,
        ..step(2, 1_000)
    };
    let (mut cell, _) = start_on_a(plain, 4_000);
    list_leaving_a(&mut cell, 3_000);
    let (after_ms, stops) = cell.stops_within(3_000).expect("a stop");
    assert_eq!((after_ms, stops.len()), (0, 2));
    assert_eq!(
        cell.scheduler.take_moved_runs()[0].reason,
        MoveReason::Restart
    );
}

/// Guards against a restart from zero that cannot be in time, or has no room: the worker may stay longer.
#[test]
fn run_without_checkpoints_stays_if_a_move_does_not_help() {
    // Without room elsewhere.
    let plain = Step {
        estimate_ms: 4_000,
        ..step(1, 1_000)
    };
    let (mut cell, _) = start_on_a(plain.clone(), 500);
    cell.list_workers(&[leaving("a", 4_000, 3_000), worker("b", 500)]);
    assert_eq!(cell.stops_within(6_000), None);

    // The result would have no value: the objective is 9 s, and there is none after 27 s.
    let (mut cell, _) = start_on_a(plain.clone(), 4_000);
    cell.now_ms += 26_000;
    list_leaving_a(&mut cell, 3_000);
    assert_eq!(cell.stops_within(6_000), None);

    // The step could be in time, but the one after it could not: the objective is 29 s.
    let mut cell = Cell::new(1);
    let next = Step {
        after: vec![0],
        ..long_step(1)
    };
    cell.list_reachable_workers(&[worker("a", 4_000)]);
    cell.accept(job("j", queue(0), vec![plain, next]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.now_ms += 20_000;
    cell.list_reachable_workers(&[worker("a", 4_000), worker("b", 4_000)]);
    list_leaving_a(&mut cell, 3_000);
    assert_eq!(cell.stops_within(6_000), None);
}

/// Guards against runs without checkpoints that are stopped because runs elsewhere end before the worker leaves: their
/// restart is judged as if it began at once. Steps of better rank that wait take the free room first.
#[test]
fn room_counts_ending_runs_and_waiting_steps() {
    // Capacity of `b`, of which the ending runs use 2 cores, and need of the waiting step, in thousandths of cores. The
    // step of 1.5 cores takes the free one as soon as one of the runs ends. A step that no worker can run takes none.
    let cases = [
        (2_000, 0, 0),
        (3_000, 0, 1),
        (3_000, 1_500, 0),
        (3_000, 3_000, 0),
        (3_000, 9_000, 1),
    ];
    for (spare_milli_cores, waiting_milli_cores, expected) in cases {
        let plain = Step {
            estimate_ms: 4_000,
            ..step(1, 1_000)
        };
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[worker("a", 1_000)]);
        cell.accept(job("moved", queue(1), vec![plain]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let b = worker("b", spare_milli_cores);
        cell.list_reachable_workers(&[worker("a", 1_000), b.clone()]);
        cell.accept(job("ending", queue(1), vec![step(2, 1_000)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        assert_eq!(starts.len(), 2);
        if waiting_milli_cores > 0 {
            cell.accept(job("wide", queue(0), vec![step(1, waiting_milli_cores)]));
            assert!(cell.starts().is_empty());
        }
        cell.list_workers(&[leaving("a", 1_000, 2_000), b]);
        let stops = cell.decide().1.len();
        assert_eq!(stops, expected, "{spare_milli_cores} {waiting_milli_cores}");
    }
}

/// Guards against runs with checkpoints whose room is judged by what is free now: they may wait for runs elsewhere that
/// end, but steps of better rank that wait take that room first.
#[test]
fn room_of_resuming_runs_counts_ending_runs() {
    for has_waiting in [false, true] {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[worker("a", 300_000)]);
        cell.accept(job("moved", queue(1), vec![long_step(300)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let b = worker("b", 100_000);
        cell.list_reachable_workers(&[worker("a", 300_000), b.clone()]);
        cell.accept(job("ending", queue(1), vec![step(100, 1_000)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        assert_eq!(starts.len(), 100);
        if has_waiting {
            cell.accept(job("wide", queue(0), vec![step(1, 99_000)]));
            assert!(cell.starts().is_empty());
        }
        cell.list_workers(&[leaving("a", 300_000, 2_000), b]);
        // 500 ms before the worker leaves, all runs are stopped in any case.
        let early = cell.stops_within(1_400);
        assert_eq!(early.is_none(), has_waiting);
    }
}

/// Guards against a gang of which only the member on the leaving worker stops, or which stops more than once.
#[test]
fn gang_stops_once_and_resumes_from_one_checkpoint() {
    let members = Step {
        checkpoints: true,
        estimate_ms: 10_000,
        ..gang(3, 3_000)
    };
    let mut cell = Cell::new(1);
    let names = ["a", "b", "c", "d"];
    let all: Vec<WorkerSpec> = names.iter().map(|it| worker(it, 4_000)).collect();
    cell.list_reachable_workers(&all);
    cell.accept(job("j", queue(0), vec![members]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    let used = starts[0].worker.as_str().to_owned();
    let mut specs = all.clone();
    for spec in &mut specs {
        if spec.id.as_str() == used {
            *spec = leaving(&used, 4_000, 2_000);
        }
    }
    cell.list_workers(&specs);
    let (_, stops) = cell.stops_within(2_000).expect("a stop");
    assert_eq!(stops.len(), 3);
    assert_eq!(cell.scheduler.take_moved_runs()[0].runs, 3);
    for (number, stop) in stops.iter().enumerate() {
        cell.now_ms += 60;
        report_stopped(&mut cell, stop, &format!("saved-{number}"));
        assert!(cell.decide().1.is_empty(), "a member is stopped twice");
    }
    let resumed = cell.scheduler.task_counts();
    assert_eq!(resumed, (3, 0));
}

/// Guards against a notice whose time grows because the same entry is read again, or whose age is not counted: the
/// entry may be as old as the former list.
#[test]
fn age_of_a_notice_counts() {
    let (mut cell, _) = start_on_a(long_step(1), 4_000);
    cell.now_ms += 800;
    list_leaving_a(&mut cell, 5_000);
    assert_eq!(cell.stops_within(800), None);
    list_leaving_a(&mut cell, 5_000);
    assert_eq!(cell.stops_within(800), None);
    list_leaving_a(&mut cell, 4_500);
    let (after_ms, _) = cell.stops_within(5_000).expect("a stop");
    assert!(after_ms + 1_600 <= 4_200, "after {after_ms} ms");
}

/// Guards against a notice that is shortened by a later entry and is not followed.
#[test]
fn shortened_notice_is_followed() {
    let (mut cell, _) = start_on_a(long_step(1), 4_000);
    list_leaving_a(&mut cell, 9_000);
    assert_eq!(cell.stops_within(500), None);
    list_leaving_a(&mut cell, 1_000);
    assert!(cell.stops_within(600).is_some());
}

/// Guards against stops on workers that drain without a time, or no longer drain.
#[test]
fn runs_stay_without_a_time() {
    let (mut cell, _) = start_on_a(long_step(1), 4_000);
    let drains = WorkerSpec {
        leaves_in_ms: None,
        ..leaving("a", 4_000, 0)
    };
    cell.list_workers(&[drains, worker("b", 4_000)]);
    assert_eq!(cell.stops_within(8_000), None);
    list_leaving_a(&mut cell, 9_000);
    cell.list_workers(&[worker("a", 4_000), worker("b", 4_000)]);
    assert_eq!(cell.stops_within(8_000), None);
}

/// Guards against stops at one moment that the rest of the fleet has no room for: the costliest runs move first, while
/// there is room, and all others shortly before the worker leaves.
#[test]
fn stops_are_spread_and_the_costliest_come_first() {
    let mut cell = Cell::new(1);
    let a = worker("a", 800_000);
    cell.list_reachable_workers(std::slice::from_ref(&a));
    let mut wide = long_step(200);
    wide.need = Resources::new(3_000, 1, 0);
    cell.accept(job("narrow", queue(1), vec![long_step(200)]));
    cell.accept(job("wide", queue(1), vec![wide]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    assert_eq!(starts.len(), 400);
    cell.list_reachable_workers(&[a, worker("b", 99_000)]);
    cell.list_workers(&[leaving("a", 800_000, 2_000), worker("b", 99_000)]);
    let mut stops: Vec<(u64, StopOrder)> = Vec::new();
    let begin_ms = cell.now_ms;
    while let Some((_, now)) = cell.stops_within(2_000) {
        stops.extend(now.into_iter().map(|it| (cell.now_ms - begin_ms, it)));
        cell.now_ms += 10;
    }
    assert_eq!(stops.len(), 400);
    let is_wide = |(_, stop): &(u64, StopOrder)| stop.task.step.job == job_id("wide");
    let early: Vec<_> = stops.iter().filter(|it| it.0 <= 1_400).collect();
    // The free 99 cores take 33 wide runs.
    assert_eq!(early.len(), 33);
    assert!(early.into_iter().all(is_wide));
    assert!(stops.iter().all(|it| it.0 <= 1_600));
}

/// Guards against a notice that is learned too late: the runs are stopped at once, also without room elsewhere, because
/// the worker may stay longer than announced.
#[test]
fn late_notice_stops_at_once() {
    let (mut cell, _) = start_on_a(long_step(4), 500);
    cell.list_workers(&[leaving("a", 4_000, 0), worker("b", 500)]);
    assert_eq!(cell.decide().1.len(), 4);
}

/// Guards against a task that starts elsewhere while its stop has no answer, or never again after its worker has left.
#[test]
fn unanswered_stop_is_resolved_by_the_lease() {
    let (mut cell, starts) = start_on_a(long_step(1), 4_000);
    list_leaving_a(&mut cell, 1_000);
    let (_, stops) = cell.stops_within(2_000).expect("a stop");
    assert_eq!(stops.len(), 1);
    cell.list_workers(&[worker("b", 4_000)]);
    cell.scheduler.mark_unreachable(&starts[0].worker);
    let lost_ms = cell.now_ms;
    while cell.now_ms < lost_ms + LEASE_BOUND_MS - 2_000 {
        assert_eq!(cell.decide(), (Vec::new(), Vec::new()));
        cell.now_ms += 50;
    }
    cell.now_ms = lost_ms + LEASE_BOUND_MS + 1;
    assert_eq!(cell.starts().len(), 1);
}

/// Guards against a change of the leader in the middle: the next one reads the same entry, stops the runs that are left,
/// and continues those that its predecessor has stopped from their checkpoints.
#[test]
fn next_leader_continues_the_evacuation() {
    let (mut former, starts) = start_on_a(long_step(2), 4_000);
    list_leaving_a(&mut former, 3_000);
    let change = former.changes().pop().expect("a change of the job");
    let mut cell = Cell::new(2);
    cell.now_ms = 10_000;
    cell.list_reachable_workers(&[leaving("a", 4_000, 3_000), worker("b", 4_000)]);
    cell.recover(job("j", queue(0), vec![long_step(2)]), &change.progress);
    let stopped = StopOrder {
        worker: starts[0].worker.clone(),
        task: starts[0].task.clone(),
        run: starts[0].run,
    };
    report_stopped(&mut cell, &stopped, "saved");
    let resumed = cell.starts();
    assert_eq!((resumed.len(), &*resumed[0].checkpoint), (1, "saved"));
    assert_eq!(resumed[0].worker.as_str(), "b");
    let (after_ms, stops) = cell.stops_within(3_000).expect("a stop");
    assert!(after_ms <= 1_000, "the age of the entry is unknown");
    assert_eq!((stops.len(), &stops[0].task), (1, &starts[1].task));
}

/// Guards against an overflow by extreme needs, estimates and reports, which would end the leader's term.
#[test]
fn extreme_input_does_not_overflow() {
    let huge = Step {
        need: Resources::new(u64::MAX / 2, u64::MAX / 2, 0),
        ..step(1, 1)
    };
    let endless_estimate = Step {
        estimate_ms: u64::MAX / 16,
        ..step(1, 1_000)
    };
    let (mut cell, starts) = start_on_a(endless_estimate, 500);
    for number in 0..5 {
        cell.accept(job(&format!("huge-{number}"), queue(0), vec![huge.clone()]));
        report(&mut cell, &starts[0], u32::MAX * (number % 2));
        cell.list_workers(&[leaving("a", 4_000, u64::MAX), worker("b", 500)]);
        list_leaving_a(&mut cell, 100);
        cell.now_ms += 100;
        cell.decide();
    }
}

/// Guards against an overflow by a report of a resumed run, whose first percentage is not known to be 0.
#[test]
fn extreme_reports_of_a_resumed_run_do_not_overflow() {
    let (mut cell, _) = start_on_a(long_step(1), 4_000);
    list_leaving_a(&mut cell, 5_000);
    let (_, stops) = cell.stops_within(10_000).expect("a stop");
    report_stopped(&mut cell, &stops[0], "saved");
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    for percent in [u32::MAX, 0, 1, u32::MAX] {
        cell.now_ms += 100;
        report(&mut cell, &starts[0], percent);
        cell.list_workers(&[leaving("b", 4_000, 5_000), worker("a", 4_000)]);
        cell.decide();
    }
}

/// Guards against stops of runs without checkpoints that no worker can take although the sum of the free capacity
/// suffices: because of a label, a limit for each worker, or free capacity in parts that are too small.
#[test]
fn run_without_checkpoints_needs_a_slot_elsewhere() {
    let plain = |tasks| Step {
        estimate_ms: 4_000,
        ..step(tasks, 1_000)
    };
    let labelled = Step {
        needed_label: Some(Arc::from("disk")),
        ..plain(1)
    };
    let limited = Step {
        max_per_worker: Some(1),
        ..plain(2)
    };
    // The capacities are those of the workers beside `a`; a run of the limited step is on the first of them.
    let cases: [(&str, Step, &[u64], usize); 5] = [
        ("suitable", plain(1), &[4_000], 1),
        ("label", labelled, &[4_000], 0),
        ("limit for each worker", limited, &[4_000], 0),
        ("fragments", plain(1), &[500, 500], 0),
        ("one slot for two", plain(2), &[1_000, 500, 500], 1),
    ];
    let mut unexpected = Vec::new();
    for (name, step, capacities, expected) in cases {
        let mut cell = Cell::new(1);
        let mut a = worker("a", 4_000);
        a.labels.insert(Arc::from("disk"));
        cell.list_reachable_workers(std::slice::from_ref(&a));
        let is_limited = step.max_per_worker.is_some();
        cell.accept(job("j", queue(0), vec![step]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let others = (capacities.iter().zip(["b", "c", "d"])).map(|(it, id)| worker(id, *it));
        let mut all: Vec<WorkerSpec> = others.collect();
        all.push(a);
        cell.list_reachable_workers(&all);
        if is_limited {
            let starts = cell.starts();
            assert_eq!(starts.len(), 1);
            cell.confirm_starts(&starts);
        }
        let a = all.last_mut().expect("worker a");
        a.draining = true;
        a.leaves_in_ms = Some(3_000);
        cell.list_workers(&all);
        let mut stopped = 0;
        while let Some((_, stops)) = cell.stops_within(2_500) {
            stopped += stops.len();
            cell.now_ms += 10;
        }
        if stopped != expected {
            unexpected.push((name, stopped));
        }
    }
    assert_eq!(unexpected, []);
}

/// Guards against a stop of a run without checkpoints whose step the advice service allows on no other worker.
#[test]
fn refused_worker_is_no_slot_for_a_moved_run() {
    let plain = Step {
        estimate_ms: 4_000,
        ..step(1, 1_000)
    };
    let mut cell = Cell::new(1);
    let all = [worker("a", 4_000), worker("b", 4_000)];
    cell.list_reachable_workers(&all);
    cell.accept(job("j", advised_queue(0), vec![plain]));
    let mut starts = Vec::new();
    while starts.is_empty() {
        let requests = cell.advice_requests();
        assert!(!requests.is_empty(), "advice is requested");
        // Both workers count as asked, so that `b` is refused also if the request left it out.
        let asked = all.each_ref().map(|it| it.id.clone());
        let allowed = Some(vec![(asked[0].clone(), Arc::from("ticket"))]);
        let now_ms = cell.now_ms;
        (cell.scheduler).advice_received(&requests[0].step, &asked, allowed, now_ms);
        starts = cell.starts();
    }
    cell.confirm_starts(&starts);
    list_leaving_a(&mut cell, 3_000);
    assert_eq!(cell.stops_within(2_500), None);
}

/// Guards against a new leader that stops a restored run before its worker has answered: the run has done a part of its
/// work and ends in time. A worker that does not answer until the last moment is treated as if nothing was done.
#[test]
fn restored_run_is_judged_by_its_worker() {
    for has_answer in [true, false] {
        let plain = Step {
            estimate_ms: 10_000,
            ..step(1, 1_000)
        };
        let (mut former, starts) = start_on_a(plain.clone(), 4_000);
        let change = former.changes().pop().expect("a change of the job");
        let mut cell = Cell::new(2);
        cell.now_ms = 10_000;
        let all = [leaving("a", 4_000, 7_000), worker("b", 4_000)];
        cell.list_workers(&all);
        cell.report(&all[1].id, Vec::new(), Vec::new());
        cell.recover(job("j", queue(0), vec![plain]), &change.progress);
        assert_eq!(cell.stops_within(500), None);
        if has_answer {
            report(&mut cell, &starts[0], 60);
            assert_eq!(cell.stops_within(3_500), None);
        } else {
            let (after_ms, _) = cell.stops_within(7_000).expect("a stop");
            // The entry may be 1.5 s old, and a stop takes up to 500 ms.
            assert!((4_400..=4_600).contains(&after_ms), "after {after_ms} ms");
        }
    }
}

/// Guards against room that is used for a run with checkpoints because it has worked for long: it loses the work of a
/// second at most, and a run without checkpoints loses all its work.
#[test]
fn run_without_checkpoints_has_more_at_stake() {
    let mut cell = Cell::new(1);
    let a = worker("a", 4_000);
    cell.list_reachable_workers(std::slice::from_ref(&a));
    cell.accept(job("resumes", queue(1), vec![long_step(1)]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.now_ms += 4_000;
    let plain = Step {
        estimate_ms: 10_000,
        ..step(1, 1_000)
    };
    cell.accept(job("restarts", queue(1), vec![plain]));
    let starts = cell.starts();
    cell.confirm_starts(&starts);
    cell.now_ms += 2_000;
    cell.list_reachable_workers(&[worker("b", 1_000)]);
    cell.list_workers(&[leaving("a", 4_000, 400), worker("b", 1_000)]);
    let stops = cell.decide().1;
    let mut jobs: Vec<_> = stops.iter().map(|it| it.task.step.job.as_str()).collect();
    jobs.sort_unstable();
    assert_eq!(jobs, ["restarts", "resumes"]);
}

/// Guards against runs with checkpoints that are stopped too early: only those that are stopped late need to be spread,
/// and runs without checkpoints are stopped at once or not at all.
#[test]
fn runs_without_checkpoints_need_no_spreading() {
    let mut cell = Cell::new(1);
    let a = worker("a", 700_000);
    cell.list_reachable_workers(std::slice::from_ref(&a));
    let mut large = long_step(1);
    large.need = Resources::new(100_000, 1, 0);
    cell.accept(job("resumes", queue(1), vec![large]));
    let mut plain = step(300, 1_000);
    plain.estimate_ms = 10_000;
    plain.need = Resources::new(1_000, 1_000, 0);
    cell.accept(job("stays", queue(1), vec![plain]));
    let starts = cell.starts();
    assert_eq!(starts.len(), 301);
    cell.confirm_starts(&starts);
    // Worker `b` has too little memory for the runs without checkpoints.
    let b = WorkerSpec {
        capacity: Resources::new(100_000, 10, 0),
        ..worker("b", 0)
    };
    cell.list_reachable_workers(&[a, b.clone()]);
    cell.list_workers(&[leaving("a", 700_000, 3_000), b]);
    let (after_ms, stops) = cell.stops_within(3_000).expect("a stop");
    assert_eq!(stops.len(), 1);
    assert!((2_400..=2_600).contains(&after_ms), "after {after_ms} ms");
}
