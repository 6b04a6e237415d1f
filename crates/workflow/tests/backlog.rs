//! Long backlogs of steps that have no room, beside steps that have.

mod support;

use {
    ragwortreel_model::{Resources, WorkerId},
    ragwortreel_workflow::{EndCause, QueuePolicy, StartOrder, Step, WorkerSpec, WorkspacePolicy},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    support::{
        Cell, advised_queue, cases, gang, job, job_id, queue, step, worker, worker_id, workspace,
    },
};

/// Steps of a backlog, far more than one decision visits.
const BACKLOG: u32 = 5_000;
/// Time within which a step that has room is to start, whatever waits before it, in ms.
const MAX_WAIT_MS: u64 = 1_000;
/// Interval between two decisions without an event, in ms.
const DECISION_INTERVAL_MS: u64 = 50;

/// Four workers of 16 cores.
fn workers() -> Vec<WorkerSpec> {
    (1..=4)
        .map(|number| worker(&format!("w{number}"), 16_000))
        .collect()
}

fn labelled(name: &str, milli_cores: u64) -> WorkerSpec {
    WorkerSpec {
        labels: BTreeSet::from([Arc::from("c")]),
        ..worker(name, milli_cores)
    }
}

fn needs_label(tasks: u32, milli_cores: u64) -> Step {
    Step {
        needed_label: Some(Arc::from("c")),
        ..step(tasks, milli_cores)
    }
}

/// Accepts a backlog of jobs with one step each.
fn accept_backlog(cell: &mut Cell, policy: &QueuePolicy, step: &Step) {
    for number in 0..BACKLOG {
        let name = format!("backlog-{number}");
        cell.accept(job(&name, policy.clone(), vec![step.clone()]));
    }
}

/// Checks that the only starts are those of the two tasks of the job `small`, and that they come in time.
fn check_small_job_starts(cell: &mut Cell) {
    cell.accept(job("small", queue(2), vec![step(2, 500)]));
    let mut starts: Vec<StartOrder> = Vec::new();
    for _ in 0..=MAX_WAIT_MS / DECISION_INTERVAL_MS {
        starts.extend(cell.starts());
        cell.now_ms += DECISION_INTERVAL_MS;
    }
    let is_small = |start: &StartOrder| start.task.step.job == job_id("small");
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(starts.iter().all(is_small), "{starts:?}");
}

/// Starts a job that fills workers, and confirms its runs.
fn start_busy(cell: &mut Cell, policy: QueuePolicy, step: Step) -> Vec<StartOrder> {
    let tasks = step.tasks;
    cell.accept(job("busy", policy, vec![step]));
    let starts = cell.starts();
    assert_eq!(starts.len(), tasks as usize);
    cell.confirm_starts(&starts);
    starts
}

/// Cell in which a large worker is added to the four others, which then does not answer or is in quarantine.
fn cell_with_large_worker(spoil: fn(&mut Cell, &WorkerId)) -> Cell {
    let mut cell = Cell::new(1);
    let large = worker("large", 64_000);
    cell.list_reachable_workers(&[&workers()[..], &[large]].concat());
    spoil(&mut cell, &worker_id("large"));
    cell
}

/// Has a worker fail runs until it is in quarantine.
fn quarantine(cell: &mut Cell, large: &WorkerId) {
    for number in 0..3 {
        let name = format!("fails-{number}");
        cell.accept(job(&name, queue(0), vec![step(1, 64_000)]));
        let starts = cell.starts();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].worker, *large);
        cell.confirm_starts(&starts);
        cell.end_runs(&starts, EndCause::Failed);
        cell.scheduler.cancel(&job_id(&name), cell.now_ms);
    }
}

cases! {
    /// Guards against a full service whose backlog is visited before the steps of an idle one (review/10).
    backlog_of_a_service_blocks_no_other: || {
        let mut cell = Cell::new(1);
        let full = WorkerSpec { service: Arc::from("full"), ..worker("f1", 16_000) };
        cell.list_reachable_workers(&[&workers()[..], &[full]].concat());
        let policy = QueuePolicy { service: Arc::from("full"), ..queue(1) };
        start_busy(&mut cell, policy.clone(), step(16, 1_000));
        accept_backlog(&mut cell, &policy, &step(1, 1_000));
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2, "the first decision starts the job of the idle service");
    };

    /// Guards against the same for steps that wait for a few busy workers with a label, and whose need is kept free on all
    /// workers of the service.
    backlog_for_a_label_blocks_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[&workers()[..], &[labelled("c1", 16_000)]].concat());
        start_busy(&mut cell, queue(1), needs_label(16, 1_000));
        accept_backlog(&mut cell, &queue(1), &needs_label(1, 16_000));
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2, "the first decision starts the job that needs no label");
    };

    /// Guards against steps that wait for workers with a label and lose their room to steps that need none.
    blocked_label_keeps_its_workers: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[labelled("c1", 16_000)]);
        let busy = start_busy(&mut cell, queue(1), needs_label(1, 8_000));
        cell.accept(job("blocked", queue(1), vec![needs_label(1, 16_000)]));
        let long = Step { estimate_ms: 60_000, ..step(16, 1_000) };
        cell.accept(job("long", queue(2), vec![long]));
        assert!(cell.starts().is_empty());
        cell.end_runs(&busy, EndCause::Done);
        cell.now_ms += DECISION_INTERVAL_MS;
        let starts = cell.starts();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].task.step.job, job_id("blocked"));
    };

    /// Guards against steps that wait for a large worker that does not answer, or is in quarantine, and end each decision
    /// before the steps that fit on the others.
    backlog_for_an_absent_worker_blocks_no_other: || {
        let silence = |cell: &mut Cell, large: &WorkerId| cell.scheduler.mark_unreachable(large);
        let spoils: [fn(&mut Cell, &WorkerId); 2] = [silence, quarantine];
        for spoil in spoils {
            let mut cell = cell_with_large_worker(spoil);
            accept_backlog(&mut cell, &queue(1), &step(1, 64_000));
            check_small_job_starts(&mut cell);
        }
    };

    /// Guards against a backlog of one service of which each decision visits the same first steps, although the service has
    /// more room than these wait for, in parts that are too small for their tasks.
    scattered_room_is_used_behind_a_backlog: || {
        let mut cell = Cell::new(1);
        let scattered: Vec<WorkerSpec> = (0..40).map(|it| worker(&format!("s{it}"), 1_000)).collect();
        cell.list_reachable_workers(&scattered);
        start_busy(&mut cell, queue(0), step(40, 600));
        accept_backlog(&mut cell, &queue(1), &step(1, 500));
        cell.accept(job("small", queue(2), vec![step(2, 300)]));
        let mut starts = Vec::new();
        for _ in 0..=MAX_WAIT_MS / DECISION_INTERVAL_MS {
            starts.extend(cell.starts());
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        assert_eq!(starts.len(), 2);
    };

    /// Guards against the steps of many full services that use up the attempts of each decision, and those of its sweep.
    backlogs_of_many_services_block_no_other: || {
        let mut cell = Cell::new(1);
        let names: Vec<String> = (0..10).map(|number| format!("full-{number}")).collect();
        let of_service = |name: &String| WorkerSpec {
            service: Arc::from(name.as_str()),
            ..worker(name, 16_000)
        };
        let full: Vec<WorkerSpec> = names.iter().map(of_service).collect();
        cell.list_reachable_workers(&[&workers()[..], &full].concat());
        for name in &names {
            let policy = QueuePolicy { service: Arc::from(name.as_str()), ..queue(1) };
            cell.accept(job(&format!("busy-{name}"), policy.clone(), vec![step(1, 10_000)]));
            let busy = cell.starts();
            assert_eq!(busy.len(), 1);
            cell.confirm_starts(&busy);
            for number in 0..45 {
                // One member fits, so that each gang takes an attempt of its own.
                cell.accept(job(&format!("{name}-{number}"), policy.clone(), vec![gang(2, 5_000)]));
            }
        }
        check_small_job_starts(&mut cell);
    };

    /// Guards against steps whose advice is pending and that use up the attempts of each decision, also of another queue
    /// that needs advice while instances are idle that could ask for it.
    backlog_that_waits_for_advice_blocks_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        accept_backlog(&mut cell, &advised_queue(1), &step(1, 1_000));
        for _ in 0..4 {
            cell.advice_requests();
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        cell.accept(job("advised", advised_queue(2), vec![step(1, 500)]));
        cell.scheduler.set_spare_instances(2);
        let mut requested = BTreeSet::new();
        for _ in 0..=MAX_WAIT_MS / DECISION_INTERVAL_MS {
            let requests = cell.advice_requests();
            requested.extend(requests.into_iter().map(|request| request.step.job));
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        assert!(requested.contains(&job_id("advised")));
        cell.scheduler.set_spare_instances(0);
        check_small_job_starts(&mut cell);
    };

    /// Guards against a workspace at its limit whose held steps delay those of others.
    backlog_of_a_workspace_blocks_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        let full = workspace("full");
        let limit = WorkspacePolicy { weight: 1.0, limit: Resources::new(1_000, 0, 0) };
        cell.scheduler.set_workspaces(Some(BTreeMap::from([(full.clone(), limit)])));
        for number in 0..BACKLOG {
            let mut backlog = job(&format!("backlog-{number}"), queue(1), vec![step(1, 1_000)]);
            backlog.workspace = Some(full.clone());
            cell.accept(backlog);
        }
        let busy = cell.starts();
        assert_eq!(busy.len(), 1);
        cell.confirm_starts(&busy);
        check_small_job_starts(&mut cell);
    };

    /// Guards against a sweep that starts a step for which the first steps of its group keep the room.
    sweep_leaves_the_room_of_blocked_steps: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        let busy = start_busy(&mut cell, queue(0), step(4, 10_000));
        accept_backlog(&mut cell, &queue(1), &step(1, 8_000));
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        for _ in 0..=MAX_WAIT_MS / DECISION_INTERVAL_MS {
            assert!(cell.starts().is_empty());
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        cell.end_runs(&busy[..1], EndCause::Done);
        let starts = cell.starts();
        assert_eq!(starts.len(), 2);
        assert!(starts.iter().all(|start| start.task.step.job != job_id("small")));
    };
}
