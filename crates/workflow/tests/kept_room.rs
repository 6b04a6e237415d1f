//! Room that is kept for steps which wait for it, and when it is not.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::{
        Admission, EndCause, StartOrder, Step, UnplaceableReason, WorkerSpec, WorkspacePolicy,
    },
    std::collections::{BTreeMap, BTreeSet},
    support::{Cell, advised_queue, cases, gang, job, job_id, queue, step, worker, workspace},
};

/// Interval between two decisions without an event, in ms.
const DECISION_INTERVAL_MS: u64 = 50;

/// Four workers of 16 cores.
fn cell() -> Cell {
    let mut cell = Cell::new(1);
    let workers: Vec<WorkerSpec> = (1..=4)
        .map(|number| worker(&format!("w{number}"), 16_000))
        .collect();
    cell.list_reachable_workers(&workers);
    cell
}

/// One task on each worker, of a quarter of its cores.
fn quarter_of_each(estimate_ms: u64) -> Step {
    Step {
        estimate_ms,
        max_per_worker: Some(1),
        ..step(4, 4_000)
    }
}

fn endless() -> Step {
    Step {
        endless: true,
        ..quarter_of_each(1_000)
    }
}

fn lasting(estimate_ms: u64, step: Step) -> Step {
    Step {
        estimate_ms,
        ..step
    }
}

/// Starts all tasks of a job, and confirms them.
fn start_all(cell: &mut Cell, name: &str, step: Step) -> Vec<StartOrder> {
    let tasks = step.tasks;
    cell.accept(job(name, queue(0), vec![step]));
    let starts = cell.starts();
    assert_eq!(starts.len(), tasks as usize);
    cell.confirm_starts(&starts);
    starts
}

/// Jobs of the tasks that are started within a second.
fn started_jobs(cell: &mut Cell) -> BTreeSet<String> {
    let mut jobs = BTreeSet::new();
    for _ in 0..20 {
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        jobs.extend(starts.iter().map(|start| start.task.step.job.to_string()));
        cell.now_ms += DECISION_INTERVAL_MS;
    }
    jobs
}

/// Checks that a job of the next queue starts beside a blocked step, and that this step does not.
fn check_small_job_starts(cell: &mut Cell, small: Step) {
    assert!(started_jobs(cell).is_empty());
    cell.accept(job("small", queue(2), vec![small]));
    assert_eq!(started_jobs(cell), BTreeSet::from(["small".to_owned()]));
}

cases! {
    /// Guards against a gang that fits on empty workers but not beside endless tasks, and keeps the room of the whole service
    /// (review/9).
    gang_beside_endless_tasks_keeps_no_room: || {
        let mut cell = cell();
        start_all(&mut cell, "endless", endless());
        cell.accept(job("gang", queue(1), vec![gang(14, 3_500)]));
        check_small_job_starts(&mut cell, step(2, 1_000));
        let waits = cell.scheduler.take_unplaceable_steps();
        assert_eq!(waits.len(), 1, "{waits:?}");
        assert_eq!(waits[0].reason, UnplaceableReason::EndlessTasks);
        let mut admission = Admission::default();
        let load = cell.scheduler.load();
        admission.update(load, cell.now_ms);
        let large = job("large", queue(2), vec![lasting(60_000, step(4, 12_000))]);
        assert!(admission.admit(&large, cell.now_ms).is_ok(), "the gang counts as work ahead");
    };

    /// Guards against many such gangs that end each decision before the steps behind them.
    gangs_beside_endless_tasks_take_no_turn: || {
        let mut cell = cell();
        start_all(&mut cell, "endless", endless());
        for number in 0..40 {
            cell.accept(job(&format!("gang-{number}"), queue(1), vec![gang(14, 3_500)]));
        }
        assert!(started_jobs(&mut cell).is_empty());
        // The next sweep is due later than the next decision.
        assert!(cell.starts().is_empty());
        cell.accept(job("small", queue(2), vec![step(2, 1_000)]));
        assert_eq!(cell.starts().len(), 2, "the next decision starts the small job");
    };

    /// Guards against such a gang that has lost its turn when the endless tasks end.
    gang_starts_when_endless_tasks_end: || {
        let mut cell = cell();
        let runs = start_all(&mut cell, "endless", endless());
        cell.accept(job("gang", queue(1), vec![gang(14, 3_500)]));
        assert!(started_jobs(&mut cell).is_empty());
        cell.accept(job("later", queue(2), vec![lasting(60_000, step(100, 1_000))]));
        cell.scheduler.cancel(&job_id("endless"), cell.now_ms);
        cell.end_runs(&runs, EndCause::Interrupted);
        let first = cell.starts();
        assert!(first.iter().any(|start| start.task.step.job == job_id("gang")), "{first:?}");
    };

    /// Guards against the same for other tasks than those of gangs, for memory, and for a limit on each worker.
    step_beside_endless_tasks_keeps_no_room: || {
        let large = step(4, 14_000);
        let memory = Step { need: Resources::new(100, 900_000, 0), ..step(1, 100) };
        let spread = Step { max_per_worker: Some(3), ..gang(13, 3_500) };
        for blocked in [large, memory, spread] {
            let mut cell = cell();
            let memory = Resources::new(4_000, 200_000, 0);
            start_all(&mut cell, "endless", Step { need: memory, ..endless() });
            cell.accept(job("blocked", queue(1), vec![blocked]));
            check_small_job_starts(&mut cell, step(2, 1_000));
        }
    };

    /// Guards against tasks that wait because of the limit on each worker and keep room that they cannot use.
    tasks_above_the_limit_of_each_worker_keep_no_room: || {
        let mut cell = cell();
        let spread = Step { max_per_worker: Some(1), ..lasting(60_000, step(8, 9_000)) };
        cell.accept(job("spread", queue(1), vec![spread]));
        let starts = cell.starts();
        assert_eq!(starts.len(), 4);
        cell.confirm_starts(&starts);
        check_small_job_starts(&mut cell, lasting(60_000, step(4, 5_000)));
    };

    /// Guards against room that idles until long tasks end: a step that ends before may use it, and one that does not may not,
    /// unless it fits beside the gang.
    room_is_kept_from_when_a_gang_can_start: || {
        let mut cell = cell();
        let long = start_all(&mut cell, "long", quarter_of_each(300_000));
        cell.accept(job("gang", queue(1), vec![lasting(300_000, gang(14, 3_500))]));
        check_small_job_starts(&mut cell, step(2, 1_000));
        // The gang leaves 2 cores free: two of 16 slots.
        cell.accept(job("lasting", queue(2), vec![lasting(400_000, step(2, 2_000))]));
        assert!(started_jobs(&mut cell).is_empty());
        cell.accept(job("beside", queue(2), vec![lasting(400_000, step(2, 1_000))]));
        assert_eq!(started_jobs(&mut cell), BTreeSet::from(["beside".to_owned()]));
        cell.end_runs(&long, EndCause::Done);
        let starts = cell.starts();
        let is_gang = |start: &&StartOrder| start.task.step.job == job_id("gang");
        assert_eq!(starts.iter().filter(is_gang).count(), 14);
    };

    /// Guards against the same for several gangs of one queue, of which the first ones keep more than there is.
    room_is_used_before_several_gangs_can_start: || {
        let mut cell = cell();
        start_all(&mut cell, "long", quarter_of_each(300_000));
        for number in 0..40 {
            cell.accept(job(&format!("gang-{number}"), queue(1), vec![gang(14, 3_500)]));
        }
        check_small_job_starts(&mut cell, step(2, 1_000));
    };

    /// Guards against room that is kept for ever because running tasks take far longer than estimated.
    room_is_used_beside_tasks_that_exceed_their_estimate: || {
        let mut cell = cell();
        start_all(&mut cell, "long", quarter_of_each(100));
        cell.accept(job("gang", queue(1), vec![gang(14, 3_500)]));
        cell.now_ms += 10_000;
        check_small_job_starts(&mut cell, step(2, 1_000));
    };

    /// Guards against a gang that short steps starve: they may use its room only until it can start.
    short_steps_do_not_starve_a_gang: || {
        const SHORT_MS: u64 = 500;
        let mut cell = cell();
        let long = start_all(&mut cell, "long", quarter_of_each(5_000));
        cell.accept(job("gang", queue(1), vec![lasting(60_000, gang(16, 3_500))]));
        let begin_ms = cell.now_ms;
        let mut short: Vec<(u64, StartOrder)> = Vec::new();
        let (mut number, mut started) = (0, 0);
        let gang_ms = loop {
            assert!(cell.now_ms < begin_ms + 20_000, "the gang does not start");
            // There are always more short steps than room.
            for _ in 0..20 {
                let step = lasting(SHORT_MS, step(1, 2_000));
                cell.accept(job(&format!("short-{number}"), queue(2), vec![step]));
                number += 1;
            }
            if cell.now_ms >= begin_ms + 5_000 && !long.is_empty() && cell.now_ms < begin_ms + 5_050 {
                cell.end_runs(&long, EndCause::Done);
            }
            let due = short.iter().filter(|(end_ms, _)| *end_ms <= cell.now_ms);
            let due: Vec<StartOrder> = due.map(|(_, start)| start.clone()).collect();
            short.retain(|(end_ms, _)| *end_ms > cell.now_ms);
            cell.end_runs(&due, EndCause::Done);
            let starts = cell.starts();
            cell.confirm_starts(&starts);
            if starts.iter().any(|start| start.task.step.job == job_id("gang")) {
                break cell.now_ms - begin_ms;
            }
            started += starts.len();
            short.extend(starts.into_iter().map(|start| (cell.now_ms + SHORT_MS, start)));
            cell.now_ms += DECISION_INTERVAL_MS;
        };
        assert!(gang_ms <= 6_500, "{gang_ms}");
        assert!(started >= 100, "{started} short steps used the room meanwhile");
    };

    /// Guards against room that is gathered for a gang whose advice is pending and that does not fit beside endless tasks.
    pending_advice_gathers_no_room_beside_endless_tasks: || {
        let mut cell = cell();
        // Advice is requested while there is room.
        cell.accept(job("gang", advised_queue(1), vec![lasting(30_000, gang(15, 3_500))]));
        assert!(!cell.advice_requests().is_empty());
        start_all(&mut cell, "endless", Step { need: Resources::new(11_000, 1, 0), ..endless() });
        let mut policy = queue(2);
        policy.chain_factor = 100.0;
        cell.accept(job("patient", policy, vec![step(8, 1_000)]));
        assert!(started_jobs(&mut cell).contains("patient"));
    };

    /// Guards against a gang of a workspace that holds up all its other jobs although endless tasks leave it too little of the
    /// workspace's limit.
    endless_tasks_of_a_workspace_block_none_of_its_jobs: || {
        let mut cell = cell();
        let small = workspace("small");
        let limit = WorkspacePolicy { weight: 1.0, limit: Resources::new(16_000, 0, 0) };
        cell.scheduler.set_workspaces(Some(BTreeMap::from([(small.clone(), limit)])));
        let accept = |cell: &mut Cell, name: &str, step: Step| {
            let mut job = job(name, queue(1), vec![step]);
            job.workspace = Some(small.clone());
            cell.accept(job);
        };
        accept(&mut cell, "endless", Step { tasks: 2, ..endless() });
        let endless = cell.starts();
        assert_eq!(endless.len(), 2);
        cell.confirm_starts(&endless);
        accept(&mut cell, "gang", gang(5, 2_000));
        assert!(started_jobs(&mut cell).is_empty());
        accept(&mut cell, "small", step(2, 1_000));
        assert_eq!(started_jobs(&mut cell), BTreeSet::from(["small".to_owned()]));
        cell.scheduler.cancel(&job_id("endless"), cell.now_ms);
        cell.end_runs(&endless, EndCause::Interrupted);
        assert!(started_jobs(&mut cell).contains("gang"));
    };
}
