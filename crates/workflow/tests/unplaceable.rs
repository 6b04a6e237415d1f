//! Steps that no worker can run, beside others that must not wait for them.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::{
        Admission, EndCause, QueuePolicy, StartOrder, Step, UnplaceableReason, WorkerSpec,
    },
    std::{collections::BTreeSet, sync::Arc},
    support::{Cell, advised_queue, cases, gang, job, job_id, queue, step, worker, worker_id},
};

/// Jobs that no worker can run, more than a decision tries and visits.
const MANY: usize = 1_500;

/// Four workers of 32 cores.
fn workers() -> Vec<WorkerSpec> {
    ["w1", "w2", "w3", "w4"]
        .map(|name| worker(name, 32_000))
        .to_vec()
}

fn labelled(name: &str, milli_cores: u64, label: &str) -> WorkerSpec {
    WorkerSpec {
        labels: BTreeSet::from([Arc::from(label)]),
        ..worker(name, milli_cores)
    }
}

fn needs_label(tasks: u32, milli_cores: u64) -> Step {
    Step {
        needed_label: Some(Arc::from("c")),
        ..step(tasks, milli_cores)
    }
}

/// Accepts jobs with a step that no worker can run, and a small job of a later queue; checks that the small job starts, and
/// why the others do not.
fn small_job_starts_beside(jobs: usize, blocked: &Step, reason: UnplaceableReason) {
    let mut cell = Cell::new(1);
    cell.list_reachable_workers(&workers());
    for number in 0..jobs {
        cell.accept(job(
            &format!("blocked-{number}"),
            queue(1),
            vec![blocked.clone()],
        ));
    }
    cell.accept(job("small", queue(2), vec![step(2, 500)]));
    let mut starts = Vec::new();
    let mut reported = BTreeSet::new();
    for _ in 0..20 {
        starts.extend(cell.starts());
        for it in cell.scheduler.take_unplaceable_steps() {
            assert_eq!(it.reason, reason);
            assert!(reported.insert(it.step.to_string()), "reported twice");
        }
        cell.now_ms += 50;
    }
    let small = starts
        .iter()
        .all(|start: &StartOrder| start.task.step.job == job_id("small"));
    assert!(small && starts.len() == 2, "{starts:?}");
    assert!(!reported.is_empty());
    let load = cell.scheduler.load();
    let ahead = load
        .ahead_s
        .values()
        .flat_map(|it| it.values())
        .sum::<f64>();
    assert!(
        jobs > 100 || ahead <= 0.0,
        "{ahead} s of work that cannot run count as backlog"
    );
}

cases! {
    /// Guards against room of the whole service that is kept free for jobs whose label no worker has.
    missing_label_blocks_no_other_step: || {
        small_job_starts_beside(3, &needs_label(8, 9_000), UnplaceableReason::Label);
    };

    /// Guards against attempts of a decision that are used up by such jobs, whatever their size.
    many_steps_without_a_worker_block_no_other: || {
        small_job_starts_beside(12, &needs_label(1, 10), UnplaceableReason::Label);
        small_job_starts_beside(MANY, &needs_label(1, 10), UnplaceableReason::Label);
    };

    /// Guards against the same for tasks that are larger than any worker, in cores, memory or accelerators.
    oversized_task_blocks_no_other_step: || {
        let accelerated = Step { need: Resources::new(100, 1, 1), ..step(4, 100) };
        let large = Step { need: Resources::new(100, 2_000_000, 0), ..step(4, 100) };
        for blocked in [step(4, 33_000), accelerated, large] {
            small_job_starts_beside(12, &blocked, UnplaceableReason::TaskSize);
        }
    };

    /// Guards against the same for gangs that are wider than all workers, also because of the limit for one worker.
    oversized_gang_blocks_no_other_step: || {
        let spread = Step { max_per_worker: Some(2), ..gang(9, 100) };
        for blocked in [gang(13, 10_000), spread] {
            small_job_starts_beside(12, &blocked, UnplaceableReason::GangWidth);
        }
    };

    /// Guards against the same for steps that the advice service allows on no worker.
    step_without_an_allowed_worker_blocks_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        cell.accept(job("blocked", advised_queue(1), vec![step(8, 9_000)]));
        let requests = cell.advice_requests();
        for request in &requests {
            cell.scheduler.advice_received(&request.step, &request.workers, Some(Vec::new()), cell.now_ms);
        }
        cell.now_ms += 50;
        let mut asked: BTreeSet<_> = requests.into_iter().flat_map(|it| it.workers).collect();
        // The remaining workers are asked about in the same way.
        for request in cell.advice_requests() {
            cell.scheduler.advice_received(&request.step, &request.workers, Some(Vec::new()), cell.now_ms);
            asked.extend(request.workers);
        }
        assert_eq!(asked.len(), 4);
        cell.now_ms += 50;
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2);
        let waits = cell.scheduler.take_unplaceable_steps();
        assert_eq!(waits.len(), 1);
        assert_eq!(waits[0].reason, UnplaceableReason::Advice);
    };

    /// Guards against a job of a service without workers that stops the jobs of another service.
    service_without_workers_blocks_no_other: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        let other = QueuePolicy { service: Arc::from("other"), ..queue(0) };
        for number in 0..MANY {
            cell.accept(job(&format!("blocked-{number}"), other.clone(), vec![step(1, 10)]));
        }
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        let mut started = 0;
        for _ in 0..20 {
            started += cell.starts().len();
            cell.now_ms += 50;
        }
        assert_eq!(started, 2);
    };

    /// Guards against a full service whose blocked steps stop the jobs of another service with free workers.
    full_service_blocks_no_other: || {
        let mut cell = Cell::new(1);
        let full = WorkerSpec { service: Arc::from("full"), ..worker("f1", 1_000) };
        cell.list_reachable_workers(&[&workers()[..], &[full]].concat());
        let policy = QueuePolicy { service: Arc::from("full"), ..queue(0) };
        for number in 0..300 {
            cell.accept(job(&format!("blocked-{number}"), policy.clone(), vec![step(1, 1_000)]));
        }
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 3);
    };

    /// Guards against the same when the full service has free room that is too scattered for its steps, so that many of them
    /// are tried.
    scattered_room_blocks_no_other: || {
        let mut cell = Cell::new(1);
        let scattered = |number| WorkerSpec {
            service: Arc::from("scattered"),
            ..worker(&format!("s{number}"), 1_000)
        };
        let scattered: Vec<WorkerSpec> = (0..40).map(scattered).collect();
        cell.list_reachable_workers(&[&workers()[..], &scattered].concat());
        let policy = QueuePolicy { service: Arc::from("scattered"), ..queue(0) };
        cell.accept(job("busy", policy.clone(), vec![step(40, 600)]));
        let busy = cell.starts();
        assert_eq!(busy.len(), 40);
        cell.confirm_starts(&busy);
        for number in 0..20 {
            cell.accept(job(&format!("blocked-{number}"), policy.clone(), vec![step(1, 500)]));
        }
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2);
    };

    /// Guards against a job that is forgotten: it starts, before jobs of later queues, as soon as a fitting worker comes.
    step_starts_when_a_fitting_worker_comes: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        cell.accept(job("blocked", queue(1), vec![needs_label(2, 9_000)]));
        assert!(cell.starts().is_empty());
        cell.now_ms += 100;
        let mut all = workers();
        all.push(labelled("c1", 18_000, "c"));
        cell.list_reachable_workers(&all);
        cell.accept(job("later", queue(2), vec![step(100, 9_000)]));
        let starts = cell.starts();
        let on_new = starts.iter().filter(|start| start.worker == worker_id("c1"));
        let jobs: Vec<_> = on_new.map(|start| start.task.step.job.clone()).collect();
        assert_eq!(jobs, [job_id("blocked"), job_id("blocked")]);
    };

    /// Guards against a worker that changes its kind under the same name and is not noticed.
    step_starts_when_a_worker_changes: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        cell.accept(job("blocked", queue(1), vec![needs_label(1, 9_000)]));
        assert!(cell.starts().is_empty());
        cell.now_ms += 100;
        let mut all = workers();
        all[2] = labelled("w3", 32_000, "c");
        cell.list_reachable_workers(&all);
        assert_eq!(cell.starts().len(), 1);
    };

    /// Guards against a cancelled job of which a step stays behind.
    cancelled_step_is_removed: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        cell.accept(job("blocked", queue(1), vec![needs_label(1, 9_000)]));
        assert!(cell.starts().is_empty());
        assert_eq!(cell.scheduler.task_counts(), (0, 1));
        cell.scheduler.cancel(&job_id("blocked"), cell.now_ms);
        assert_eq!(cell.scheduler.task_counts(), (0, 0));
        cell.now_ms += 2_000;
        cell.list_reachable_workers(&[labelled("c1", 32_000, "c")]);
        assert!(cell.starts().is_empty());
    };

    /// Guards against room that is kept beyond what the workers of a step can hold: the only worker with the label is busy, and
    /// the other three are free.
    scarce_label_keeps_room_for_its_workers_only: || {
        let mut cell = Cell::new(1);
        let mut all = workers();
        all[0] = labelled("w1", 32_000, "c");
        cell.list_reachable_workers(&all);
        cell.accept(job("busy", queue(0), vec![needs_label(1, 32_000)]));
        let busy = cell.starts();
        assert_eq!(busy.len(), 1);
        cell.confirm_starts(&busy);
        cell.accept(job("blocked", queue(1), vec![needs_label(100, 9_000)]));
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2);
        cell.end_runs(&busy, EndCause::Done);
        cell.now_ms += 50;
        let starts = cell.starts();
        assert_eq!(starts.len(), 3, "the blocked step kept its turn");
    };

    /// Guards against steps that wait for a worker that does not answer, and stop all others meanwhile.
    unreachable_worker_blocks_no_other_step: || {
        let mut cell = Cell::new(1);
        let mut all = workers();
        all.push(labelled("c1", 32_000, "c"));
        cell.list_reachable_workers(&all);
        cell.scheduler.mark_unreachable(&worker_id("c1"));
        for number in 0..100 {
            cell.accept(job(&format!("blocked-{number}"), queue(1), vec![needs_label(8, 1_000)]));
        }
        cell.accept(job("small", queue(2), vec![step(2, 500)]));
        assert_eq!(cell.starts().len(), 2);
        assert!(cell.scheduler.take_unplaceable_steps().is_empty());
        cell.heartbeat_without_runs("c1");
        cell.now_ms += 50;
        assert_eq!(cell.starts().len(), 32);
    };

    /// Guards against jobs that are refused because of work ahead that cannot run.
    unplaceable_work_refuses_no_job: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&workers());
        cell.accept(job("busy", queue(0), vec![step(128, 1_000)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        for number in 0..50 {
            cell.accept(job(&format!("blocked-{number}"), queue(1), vec![needs_label(100, 9_000)]));
        }
        for _ in 0..10 {
            assert!(cell.starts().is_empty());
            cell.now_ms += 50;
        }
        let load = cell.scheduler.load();
        let mut admission = Admission::default();
        admission.update(load, cell.now_ms);
        let small = job("small", queue(2), vec![step(2, 500)]);
        assert!(admission.admit(&small, cell.now_ms).is_ok());
    };
}
