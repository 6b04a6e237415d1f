//! Single behaviours of the scheduler: worker health, backoff, unschedulable jobs, preemption, gangs, reservations and
//! estimates.

mod common;

use {
    common::{Harness, cores, job, worker, workspace},
    ragwortreel_model::{
        Assignment, JobId, JobKind, JobSpec, Priority, Resources, TaskResult, WaitReason, WorkerId,
    },
    ragwortreel_placement::{
        Config, Decision, PoolScheduler, SubmitError, WorkerSpec, WorkerState,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const SECOND_MS: u64 = 1_000;

fn harness(workers: &[u64]) -> Harness {
    let sizes: Vec<Resources> = workers.iter().map(|&count| cores(count)).collect();
    let workspaces = [
        workspace("a", 100, cores(1_000)),
        workspace("b", 100, cores(1_000)),
    ];
    Harness::new(Config::default(), &sizes, &workspaces)
}

fn batch(id: &str, tasks: u32, need: u64, run_time_ms: u64) -> JobSpec {
    JobSpec {
        run_time_ms: Some(run_time_ms),
        ..job(id, "a", JobKind::Batch, tasks, cores(need))
    }
}

fn gang(id: &str, tasks: u32, need: u64, run_time_ms: u64) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        ..batch(id, tasks, need, run_time_ms)
    }
}

fn starts(decisions: &[Decision]) -> Vec<Assignment> {
    let starts = decisions.iter().flat_map(|decision| match decision {
        Decision::Start(run) => vec![run.clone()],
        Decision::StartGang(runs) => runs.clone(),
        Decision::Checkpoint(_) => Vec::new(),
    });
    starts.collect()
}

fn checkpoints(decisions: &[Decision]) -> Vec<Assignment> {
    let runs = decisions.iter().filter_map(|decision| match decision {
        Decision::Checkpoint(run) => Some(run.clone()),
        Decision::Start(_) | Decision::StartGang(_) => None,
    });
    runs.collect()
}

fn explain(harness: &Harness, id: &str) -> Option<WaitReason> {
    harness
        .sched
        .explain(&JobId::new(id).unwrap(), harness.now_ms)
}

fn submit_and_fail(harness: &mut Harness, id: &str) {
    harness.submit(batch(id, 2, 1, SECOND_MS));
    let runs = starts(&harness.decide(10));
    for run in &runs {
        harness.end_run(run, TaskResult::NotStarted);
    }
    harness.cancel(&JobId::new(id).unwrap());
}

/// Drains all workers but the first, so that it gets all tasks.
fn drain_all_but_first(harness: &mut Harness) {
    for number in 1..harness.workers.len() {
        let id = WorkerId::new(&format!("w{number}")).unwrap();
        harness.set_worker_state(&id, WorkerState::Draining);
    }
}

/// Guards against a broken worker that receives and fails every task, and against a worker that stays in quarantine
/// after it was repaired.
#[test]
fn worker_that_fails_three_jobs_is_quarantined_and_probed() {
    let mut harness = harness(&[2, 2, 2, 2]);
    drain_all_but_first(&mut harness);
    for id in ["one", "two"] {
        submit_and_fail(&mut harness, id);
        assert_eq!(harness.sched.stats().quarantined, 0);
    }
    submit_and_fail(&mut harness, "three");
    for wait_s in [30, 60, 120, 240, 480, 600, 600] {
        assert_eq!(harness.sched.stats().quarantined, 1);
        let id = format!("probe{}", harness.now_ms);
        harness.submit(batch(&id, 2, 1, SECOND_MS));
        harness.now_ms += wait_s * SECOND_MS - 1;
        assert!(harness.decide(10).is_empty(), "quarantine of {wait_s} s");
        harness.now_ms += 1;
        let probe = starts(&harness.decide(10));
        assert_eq!(probe.len(), 1, "probation takes one task");
        harness.end_run(&probe[0], TaskResult::NotStarted);
        harness.cancel(&probe[0].task.job);
    }
    harness.submit(batch("good", 2, 1, SECOND_MS));
    harness.now_ms += 600 * SECOND_MS;
    let first = starts(&harness.decide(10));
    assert_eq!(first.len(), 1);
    let (task, attempt) = (&first[0].task, first[0].attempt);
    harness.sched.record_start(task, attempt, harness.now_ms);
    assert_eq!(harness.sched.stats().quarantined, 0);
    assert_eq!(
        starts(&harness.decide(10)).len(),
        1,
        "a success restores the worker"
    );
}

/// Guards against a quarantine of a worker because of a single job that cannot start anywhere.
#[test]
fn failures_of_one_job_do_not_quarantine_a_worker() {
    let mut harness = harness(&[4, 4, 4, 4]);
    drain_all_but_first(&mut harness);
    harness.submit(batch("bad", 4, 1, SECOND_MS));
    for _ in 0..5 {
        for run in starts(&harness.decide(10)) {
            harness.end_run(&run, TaskResult::NotStarted);
        }
    }
    assert_eq!(harness.sched.stats().quarantined, 0);
}

/// Guards against a job that fails on all workers and occupies them with its retries.
#[test]
fn job_that_fails_on_three_workers_is_backed_off() {
    let mut harness = harness(&[1, 1, 1, 1]);
    harness.submit(batch("bad", 1, 1, SECOND_MS));
    let mut used = BTreeSet::new();
    for _ in 0..3 {
        let runs = starts(&harness.decide(10));
        used.insert(runs[0].worker.clone());
        harness.end_run(&runs[0], TaskResult::Failed);
    }
    assert_eq!(used.len(), 3, "a retry prefers another worker");
    let expected = WaitReason::BackingOff {
        failures: 3,
        wait_ms: 30 * SECOND_MS,
    };
    assert_eq!(explain(&harness, "bad"), Some(expected));
    assert!(harness.decide(10).is_empty());
    harness.now_ms += 30 * SECOND_MS;
    assert_eq!(starts(&harness.decide(10)).len(), 1);
    assert_eq!(harness.sched.stats().quarantined, 0);
}

macro_rules! unschedulable_cases {
    ($($(#[$doc:meta])* $name:ident: $quota:expr, $spec:expr, $reason:pat, $change:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut harness = harness(&[4, 4]);
            harness.upsert_workspace(workspace("a", 100, cores($quota)));
            let spec = $spec;
            let id = spec.id.clone();
            harness.submit(spec);
            assert!(harness.decide(10).is_empty());
            let reason = harness.sched.explain(&id, harness.now_ms);
            assert!(matches!(reason, Some($reason)), "{reason:?}");
            let change: fn(&mut Harness) = $change;
            change(&mut harness);
            assert!(!harness.decide(10).is_empty(), "the job starts once it is schedulable");
        }
    )*};
}

unschedulable_cases! {
    /// Guards against a task larger than any worker that is searched for endlessly, or stays blocked once a larger
    /// worker exists.
    too_large_task_waits_for_a_larger_worker: 20, batch("j", 1, 8, SECOND_MS),
        WaitReason::NoWorkerLargeEnough { .. },
        |harness| harness.upsert_worker(worker(9, cores(8)));
    /// Guards against a gang larger than the empty pool that is searched for endlessly, or stays blocked once the pool
    /// suffices.
    too_large_gang_waits_for_more_workers: 20, gang("j", 3, 4, SECOND_MS),
        WaitReason::PoolTooSmall { possible: 2, tasks: 3, .. },
        |harness| harness.upsert_worker(worker(9, cores(4)));
    /// Guards against a gang larger than its quota that is searched for endlessly, or stays blocked once the quota
    /// suffices.
    gang_beyond_its_quota_waits_for_a_larger_quota: 7, gang("j", 4, 2, SECOND_MS),
        WaitReason::LargerThanQuota { .. },
        |harness| harness.upsert_workspace(workspace("a", 100, cores(8)));
    /// Guards against a task larger than its quota that is searched for endlessly, or stays blocked once the quota
    /// suffices.
    task_beyond_its_quota_waits_for_a_larger_quota: 3, batch("j", 1, 4, SECOND_MS),
        WaitReason::LargerThanQuota { .. },
        |harness| harness.upsert_workspace(workspace("a", 100, cores(4)));
}

/// Guards against an urgent job that waits behind best-effort jobs, and against more checkpoints than it needs.
#[test]
fn urgent_job_preempts_best_effort_batch() {
    let mut harness = harness(&[4, 4]);
    let mut best_effort = batch("best-effort", 4, 1, 3_600 * SECOND_MS);
    best_effort.priority = Priority::BestEffort;
    harness.submit(best_effort);
    harness.submit(batch("normal", 4, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&harness.decide(10)).len(), 8);
    let mut urgent = job("urgent", "b", JobKind::Service, 1, cores(2));
    urgent.priority = Priority::Urgent;
    harness.submit(urgent);
    let stopped = checkpoints(&harness.decide(10));
    assert_eq!(
        stopped.len(),
        2,
        "no more runs are checkpointed than needed"
    );
    assert!(
        stopped
            .iter()
            .all(|run| run.task.job.as_str() == "best-effort")
    );
    assert!(
        harness.decide(10).is_empty(),
        "each checkpoint is requested once"
    );
    harness.now_ms += 10 * SECOND_MS;
    let again = checkpoints(&harness.decide(10));
    assert_eq!(again.len(), 2, "a lost command is repeated");
    assert!(again.iter().all(|run| stopped.contains(run)));
    for run in &stopped {
        harness.end_run(run, TaskResult::Checkpointed);
    }
    let started = starts(&harness.decide(10));
    assert_eq!(started[0].task.job.as_str(), "urgent");
}

/// Guards against services that stay down after the loss of a worker because batch jobs fill the pool.
#[test]
fn lost_services_preempt_batch() {
    let mut harness = harness(&[4, 4, 4]);
    harness.submit(job("service", "b", JobKind::Service, 3, cores(2)));
    let services = starts(&harness.decide(20));
    assert_eq!(services.len(), 3);
    harness.submit(batch("batch", 20, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&harness.decide(20)).len(), 6);
    harness.remove_worker(&services[0].worker);
    let stopped = checkpoints(&harness.decide(20));
    assert_eq!(stopped.len(), 2, "room is made for one lost task");
    for run in &stopped {
        harness.end_run(run, TaskResult::Checkpointed);
    }
    let again = starts(&harness.decide(20));
    assert_eq!(again[0].task, services[0].task);
    harness.submit(job("new", "b", JobKind::Service, 1, cores(2)));
    assert!(
        harness.decide(20).is_empty(),
        "a new service waits for its turn"
    );
}

/// Guards against an urgent gang that waits for the ends of batch runs.
#[test]
fn urgent_gang_preempts_batch() {
    let mut harness = harness(&[4, 4, 4]);
    harness.submit(batch("normal", 12, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&harness.decide(20)).len(), 12);
    let mut urgent = gang("urgent", 2, 3, SECOND_MS);
    urgent.priority = Priority::Urgent;
    harness.submit(urgent);
    let stopped = checkpoints(&harness.decide(20));
    assert_eq!(
        stopped.len(),
        6,
        "no more runs are checkpointed than needed"
    );
    let (last, others) = stopped.split_last().unwrap();
    for run in others {
        harness.end_run(run, TaskResult::Checkpointed);
    }
    assert!(
        starts(&harness.decide(20)).is_empty(),
        "the freed workers stay reserved"
    );
    harness.end_run(last, TaskResult::Checkpointed);
    assert_eq!(starts(&harness.decide(20)).len(), 2);
}

/// Guards against a workspace at its quota that delays other workspaces, and against its jobs staying blocked once the
/// quota suffices.
#[test]
fn job_at_its_quota_does_not_delay_others() {
    let mut harness = harness(&[4, 4]);
    harness.upsert_workspace(workspace("a", 100, cores(2)));
    harness.submit(batch("limited", 3, 1, SECOND_MS));
    let mut free = batch("free", 6, 1, SECOND_MS);
    free.workspace = ragwortreel_model::Workspace::new("b").unwrap();
    harness.submit(free);
    let runs = starts(&harness.decide(20));
    assert_eq!(runs.len(), 8);
    let quota = cores(2);
    let reason = explain(&harness, "limited");
    assert_eq!(reason, Some(WaitReason::QuotaInUse { quota }));
    let limited = runs.iter().find(|run| run.task.job.as_str() == "limited");
    harness.end_run(limited.unwrap(), TaskResult::Succeeded);
    assert_eq!(starts(&harness.decide(20)).len(), 1);
}

/// Guards against the use of a declared run time although the runs of the job always take longer.
#[test]
fn run_times_are_estimated_from_finished_runs() {
    let mut harness = harness(&[4, 4]);
    for number in 0..3 {
        let mut spec = batch(&format!("s{number}"), 1, 1, SECOND_MS);
        spec.name = "same".into();
        harness.submit(spec);
        let runs = starts(&harness.decide(10));
        harness.now_ms += 100 * SECOND_MS;
        harness.end_run(&runs[0], TaskResult::Succeeded);
    }
    harness.submit(batch("long", 1, 4, 32 * SECOND_MS));
    harness.decide(10);
    harness.submit(gang("gang", 2, 4, SECOND_MS));
    let mut spec = batch("s9", 1, 1, SECOND_MS);
    spec.name = "same".into();
    harness.submit(spec);
    assert!(
        harness.decide(10).is_empty(),
        "the task would end after the estimated start of the gang"
    );
}

/// Guards against a gang that never starts beside small jobs, and against reserved workers that stay idle until it
/// starts.
#[test]
fn gang_reserves_workers_while_short_tasks_are_backfilled() {
    let mut harness = harness(&[4, 4]);
    // Run times are rounded up, but a power of two is unchanged.
    let long_ms = 65_536;
    harness.submit(batch("long", 1, 4, long_ms));
    let long = starts(&harness.decide(10));
    harness.submit(gang("gang", 2, 4, SECOND_MS));
    assert!(harness.decide(10).is_empty());
    let gathering = WaitReason::GatheringRoom {
        expected_ms: long_ms,
    };
    assert_eq!(explain(&harness, "gang"), Some(gathering));
    harness.submit(batch("too-long", 1, 1, 600 * SECOND_MS));
    harness.submit(batch("short", 1, 1, 10 * SECOND_MS));
    let started = starts(&harness.decide(10));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job.as_str(), "short");
    harness.now_ms += long_ms;
    let overdue = checkpoints(&harness.decide(10));
    assert_eq!(
        overdue, started,
        "a backfilled task that overruns is checkpointed"
    );
    harness.end_run(&started[0], TaskResult::Checkpointed);
    harness.end_run(&long[0], TaskResult::Succeeded);
    assert_eq!(starts(&harness.decide(10))[0].task.job.as_str(), "gang");
}

/// Guards against a reservation that is never used because another job of the same size comes first in rank. This job
/// must not start on the reserved worker, and must not prevent the job with the reservation from starting there.
#[test]
fn task_with_reservation_starts_beside_a_job_of_the_same_size() {
    let mut harness = harness(&[4]);
    harness.submit(batch("small", 4, 1, 100 * SECOND_MS));
    let small = starts(&harness.decide(10));
    let mut large = batch("large", 1, 4, 100 * SECOND_MS);
    large.priority = Priority::BestEffort;
    harness.submit(large.clone());
    // The first job gets the reservation by its long wait. The second one is submitted afterwards and has a better
    // rank.
    for _ in 0..12 {
        harness.now_ms += SECOND_MS;
        assert!(harness.decide(10).is_empty());
    }
    let gathering = explain(&harness, "large");
    let is_gathering = matches!(gathering, Some(WaitReason::GatheringRoom { .. }));
    assert!(is_gathering, "{gathering:?}");
    let mut other = batch("other", 1, 4, 100 * SECOND_MS);
    other.workspace = ragwortreel_model::Workspace::new("b").unwrap();
    harness.submit(other);
    for run in &small {
        harness.end_run(run, TaskResult::Succeeded);
        harness.now_ms += SECOND_MS;
    }
    let started = starts(&harness.decide(10));
    assert_eq!(started[0].task.job.as_str(), "large");
}

/// Guards against a gang of which only some tasks run, after one of them failed.
#[test]
fn gang_that_loses_a_task_is_stopped_and_starts_together_again() {
    let mut harness = harness(&[4, 4]);
    harness.submit(gang("gang", 4, 2, SECOND_MS));
    let runs = starts(&harness.decide(10));
    assert_eq!(runs.len(), 4);
    harness.end_run(&runs[0], TaskResult::Failed);
    let stopped = checkpoints(&harness.decide(10));
    assert_eq!(stopped.len(), 3);
    for run in &stopped {
        harness.end_run(run, TaskResult::Checkpointed);
    }
    assert_eq!(starts(&harness.decide(10)).len(), 4);
}

/// Submits jobs for `seconds`, lets each run last as declared, and returns the second at which each job started.
fn run_stream(
    harness: &mut Harness,
    seconds: u64,
    stream: impl Fn(u64) -> Vec<JobSpec>,
) -> BTreeMap<JobId, u64> {
    let mut started = BTreeMap::new();
    let mut ends: Vec<(u64, Assignment)> = Vec::new();
    for second in 0..seconds {
        for spec in stream(second) {
            harness.submit(spec);
        }
        let over = |(end_ms, _): &mut (u64, Assignment)| *end_ms <= harness.now_ms;
        let over: Vec<_> = ends.extract_if(.., over).collect();
        for (_, run) in over {
            harness.end_run(&run, TaskResult::Succeeded);
        }
        for run in starts(&harness.decide(1_000)) {
            let spec = harness.jobs.iter().find(|spec| spec.id == run.task.job);
            let run_time_ms = spec.unwrap().run_time_ms.unwrap();
            started.entry(run.task.job.clone()).or_insert(second);
            ends.push((harness.now_ms + run_time_ms, run));
        }
        harness.now_ms += SECOND_MS;
    }
    started
}

macro_rules! starvation_cases {
    ($($(#[$doc:meta])* $name:ident: $victim:expr, $stream:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut harness = harness(&[4, 4, 4, 4]);
            let stream: fn(u64) -> Vec<JobSpec> = $stream;
            let victim = $victim;
            let id = victim.id.clone();
            let started = run_stream(&mut harness, 170, |second| {
                let victim = (second == 20).then(|| victim.clone());
                stream(second).into_iter().chain(victim).collect()
            });
            assert!(started.contains_key(&id), "{:?}", explain(&harness, id.as_str()));
        }
    )*};
}

starvation_cases! {
    /// Guards against a gang that waits for ever behind small jobs.
    gang_starts_beside_a_stream_of_small_work: gang("victim", 4, 4, SECOND_MS),
        |second| vec![batch(&format!("s{second}"), 8, 1, 5 * SECOND_MS)];
    /// Guards against a large task that waits for ever because small ones fill every gap.
    large_task_starts_beside_a_stream_of_small_work: batch("victim", 1, 4, SECOND_MS),
        |second| vec![batch(&format!("s{second}"), 8, 1, 5 * SECOND_MS)];
    /// Guards against a small long job that waits for ever behind gangs.
    small_long_work_starts_beside_a_stream_of_gangs: batch("victim", 1, 1, 3_600 * SECOND_MS),
        |second| vec![gang(&format!("g{second}"), 4, 4, 4 * SECOND_MS)];
    /// Guards against a gang that waits for ever behind smaller gangs.
    large_gang_starts_beside_a_stream_of_small_gangs: gang("victim", 4, 4, SECOND_MS),
        |second| vec![gang(&format!("g{second}"), 2, 3, 5 * SECOND_MS)];
}

/// Guards against allocations that stay at a declared size which is far too large.
#[test]
fn sizes_are_estimated_from_usage_reports() {
    let mut harness = harness(&[8]);
    let mut spec = batch("first", 2, 4, 60 * SECOND_MS);
    spec.name = "same".into();
    harness.submit(spec.clone());
    let runs = starts(&harness.decide(10));
    assert_eq!(runs.len(), 2);
    for _ in 0..32 {
        let used = Resources::new(500, 700, 0);
        harness
            .sched
            .record_usage(&runs[0].task, runs[0].attempt, used);
    }
    assert_eq!(
        harness.sched.stats().reserved,
        cores(8),
        "resources of running tasks are unchanged"
    );
    for run in &runs {
        harness.end_run(run, TaskResult::Succeeded);
    }
    spec.id = JobId::new("second").unwrap();
    spec.tasks = 8;
    harness.submit(spec);
    let runs = starts(&harness.decide(10));
    assert_eq!(
        runs[0].resources,
        cores(2),
        "at least half of the declared size is allocated"
    );
    assert_eq!(runs.len(), 4);
}

/// Guards against a service whose tasks all share one rack.
#[test]
fn services_are_spread_over_racks() {
    let mut harness = harness(&[8; 12]);
    harness.submit(job("service", "a", JobKind::Service, 6, cores(1)));
    let runs = starts(&harness.decide(10));
    let racks = runs.iter().map(|run| &harness.workers[&run.worker].0.rack);
    assert_eq!(racks.collect::<BTreeSet<_>>().len(), 6);
}

/// Guards against a rejected repeat of a submission, an accepted conflict and an unbounded queue.
#[test]
fn submissions_are_checked() {
    let mut harness = harness(&[4]);
    let spec = batch("j", 2, 1, SECOND_MS);
    harness.submit(spec.clone());
    harness.submit(spec.clone());
    let now_ms = harness.now_ms;
    let id = spec.id.clone();
    let other = JobSpec { tasks: 3, ..spec };
    let conflict = harness.sched.submit(other, now_ms);
    assert_eq!(conflict, Err(SubmitError::Conflict { job: id }));
    let unknown = job("k", "nobody", JobKind::Batch, 1, cores(1));
    let workspace = unknown.workspace.clone();
    let refused = harness.sched.submit(unknown, now_ms);
    assert_eq!(refused, Err(SubmitError::UnknownWorkspace { workspace }));
    let cfg = Config {
        max_queued_tasks: 3,
        ..Config::default()
    };
    let mut full = Harness::new(cfg, &[cores(1)], &[common::workspace("a", 1, cores(9))]);
    full.submit(batch("j", 3, 1, SECOND_MS));
    let refused = full.sched.submit(batch("k", 1, 1, SECOND_MS), now_ms);
    assert_eq!(refused, Err(SubmitError::QueueFull { limit: 3 }));
}

/// Guards against new tasks on a worker that lost accelerators which its tasks still use.
#[test]
fn overcommitted_worker_gets_no_tasks() {
    let mut harness = harness(&[]);
    harness.upsert_workspace(workspace("a", 100, Resources::new(90_000, 90_000, 9)));
    harness.upsert_worker(worker(0, Resources::new(8_000, 8_192, 2)));
    let need = Resources::new(1_000, 1_024, 2);
    harness.submit(job("held", "a", JobKind::Batch, 1, need));
    let held = starts(&harness.decide(10));
    harness.upsert_worker(worker(0, Resources::new(8_000, 8_192, 1)));
    harness.submit(batch("small", 1, 1, SECOND_MS));
    let mut urgent = batch("urgent", 1, 1, SECOND_MS);
    urgent.priority = Priority::Urgent;
    harness.submit(urgent);
    let stopped = checkpoints(&harness.decide(10));
    assert_eq!(
        stopped, held,
        "the urgent job preempts the run that overcommits the worker"
    );
    assert_eq!(harness.sched.stats().running, 1);
    harness.end_run(&held[0], TaskResult::Succeeded);
    assert_eq!(starts(&harness.decide(10)).len(), 2);
}

/// Guards against a restored run that is lost, or not counted in the capacity, because its worker has not been declared
/// yet.
#[test]
fn run_is_restored_before_its_worker_is_known() {
    let mut harness = harness(&[]);
    let spec = batch("j", 2, 3, SECOND_MS);
    harness.sched.submit(spec, 0).unwrap();
    let spec: WorkerSpec = worker(0, cores(4));
    let run = Assignment {
        task: ragwortreel_model::TaskId {
            job: JobId::new("j").unwrap(),
            index: 1,
        },
        attempt: ragwortreel_model::Attempt(7),
        worker: spec.id.clone(),
        resources: cores(3),
    };
    harness.sched.restore_run(run.clone(), 0);
    harness.sched.restore_run(run.clone(), 0);
    harness.sched.upsert_worker(spec, 0);
    assert!(
        harness.sched.decide(0, 10).is_empty(),
        "only one core is free"
    );
    assert_eq!(harness.sched.stats().running, 1);
    harness
        .sched
        .record_end(&run.task, run.attempt, TaskResult::Lost, 0);
    let runs = starts(&harness.sched.decide(0, 10));
    assert_eq!(runs.len(), 1);
    harness
        .sched
        .record_end(&runs[0].task, runs[0].attempt, TaskResult::Succeeded, 0);
    let again = starts(&harness.sched.decide(0, 10));
    let attempts: BTreeSet<u32> = runs.iter().chain(&again).map(|run| run.attempt.0).collect();
    assert_eq!(attempts, BTreeSet::from([1, 8]), "attempt numbers continue");
}
