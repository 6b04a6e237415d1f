//! Focused cases: worker health, back-off, parked work, urgent work, gangs and learned sizes.

mod common;

use {
    common::{World, cores, job, worker, workspace},
    ragwortreel_model::{
        Assignment, JobId, JobKind, JobSpec, Priority, Resources, TaskResult, WaitReason, WorkerId,
    },
    ragwortreel_placement::{
        Config, Decision, PoolScheduler, SubmitError, WorkerSpec, WorkerState,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const SECOND_MS: u64 = 1_000;

fn world(workers: &[u64]) -> World {
    let sizes: Vec<Resources> = workers.iter().map(|&count| cores(count)).collect();
    let workspaces = [
        workspace("a", 100, cores(1_000)),
        workspace("b", 100, cores(1_000)),
    ];
    World::new(Config::default(), &sizes, &workspaces)
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

fn explain(world: &World, id: &str) -> Option<WaitReason> {
    world.sched.explain(&JobId::new(id).unwrap(), world.now_ms)
}

fn submit_and_fail(world: &mut World, id: &str) {
    world.submit(batch(id, 2, 1, SECOND_MS));
    let runs = starts(&world.decide(10));
    for run in &runs {
        world.end(run, TaskResult::NotStarted);
    }
    world.cancel(&JobId::new(id).unwrap());
}

/// Three workers that take no task, so that one worker gets everything.
fn drain_all_but_first(world: &mut World) {
    for number in 1..world.workers.len() {
        let id = WorkerId::new(&format!("w{number}")).unwrap();
        world.set_state(&id, WorkerState::Draining);
    }
}

/// Guards against a broken worker that swallows every task, and against one that never returns.
#[test]
fn worker_that_fails_three_jobs_is_quarantined_and_probed() {
    let mut world = world(&[2, 2, 2, 2]);
    drain_all_but_first(&mut world);
    for id in ["one", "two"] {
        submit_and_fail(&mut world, id);
        assert_eq!(world.sched.stats().quarantined, 0);
    }
    submit_and_fail(&mut world, "three");
    for wait_s in [30, 60, 120, 240, 480, 600, 600] {
        assert_eq!(world.sched.stats().quarantined, 1);
        let id = format!("probe{}", world.now_ms);
        world.submit(batch(&id, 2, 1, SECOND_MS));
        world.now_ms += wait_s * SECOND_MS - 1;
        assert!(world.decide(10).is_empty(), "quarantine of {wait_s} s");
        world.now_ms += 1;
        let probe = starts(&world.decide(10));
        assert_eq!(probe.len(), 1, "probation takes one task");
        world.end(&probe[0], TaskResult::NotStarted);
        world.cancel(&probe[0].task.job);
    }
    world.submit(batch("good", 2, 1, SECOND_MS));
    world.now_ms += 600 * SECOND_MS;
    let first = starts(&world.decide(10));
    assert_eq!(first.len(), 1);
    let (task, attempt) = (&first[0].task, first[0].attempt);
    world.sched.record_start(task, attempt, world.now_ms);
    assert_eq!(world.sched.stats().quarantined, 0);
    assert_eq!(
        starts(&world.decide(10)).len(),
        1,
        "a success restores the worker"
    );
}

/// Guards against blaming a worker for one job that cannot start anywhere.
#[test]
fn failures_of_one_job_do_not_quarantine_a_worker() {
    let mut world = world(&[4, 4, 4, 4]);
    drain_all_but_first(&mut world);
    world.submit(batch("bad", 4, 1, SECOND_MS));
    for _ in 0..5 {
        for run in starts(&world.decide(10)) {
            world.end(&run, TaskResult::NotStarted);
        }
    }
    assert_eq!(world.sched.stats().quarantined, 0);
}

/// Guards against a job that fails everywhere and keeps all workers busy with its starts.
#[test]
fn job_that_fails_on_three_workers_is_backed_off() {
    let mut world = world(&[1, 1, 1, 1]);
    world.submit(batch("bad", 1, 1, SECOND_MS));
    let mut used = BTreeSet::new();
    for _ in 0..3 {
        let runs = starts(&world.decide(10));
        used.insert(runs[0].worker.clone());
        world.end(&runs[0], TaskResult::Failed);
    }
    assert_eq!(used.len(), 3, "a retry prefers another worker");
    let expected = WaitReason::BackingOff {
        failures: 3,
        wait_ms: 30 * SECOND_MS,
    };
    assert_eq!(explain(&world, "bad"), Some(expected));
    assert!(world.decide(10).is_empty());
    world.now_ms += 30 * SECOND_MS;
    assert_eq!(starts(&world.decide(10)).len(), 1);
    assert_eq!(world.sched.stats().quarantined, 0);
}

macro_rules! parked_cases {
    ($($(#[$doc:meta])* $name:ident: $quota:expr, $spec:expr, $reason:pat, $wake:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut world = world(&[4, 4]);
            world.set_workspace(workspace("a", 100, cores($quota)));
            let spec = $spec;
            let id = spec.id.clone();
            world.submit(spec);
            assert!(world.decide(10).is_empty());
            let reason = world.sched.explain(&id, world.now_ms);
            assert!(matches!(reason, Some($reason)), "{reason:?}");
            let wake: fn(&mut World) = $wake;
            wake(&mut world);
            assert!(!world.decide(10).is_empty(), "it starts once it is possible");
        }
    )*};
}

parked_cases! {
    /// Guards against a task that no worker can hold being tried for ever, or never again.
    too_large_task_waits_for_a_larger_worker: 20, batch("j", 1, 8, SECOND_MS),
        WaitReason::NoWorkerLargeEnough { .. },
        |world| world.set_worker(worker(9, cores(8)));
    /// Guards against a gang that no empty pool can hold being tried for ever, or never again.
    too_large_gang_waits_for_more_workers: 20, gang("j", 3, 4, SECOND_MS),
        WaitReason::PoolTooSmall { possible: 2, tasks: 3, .. },
        |world| world.set_worker(worker(9, cores(4)));
    /// Guards against a gang beyond its quota being tried for ever, or never again.
    gang_beyond_its_quota_waits_for_a_larger_quota: 7, gang("j", 4, 2, SECOND_MS),
        WaitReason::LargerThanQuota { .. },
        |world| world.set_workspace(workspace("a", 100, cores(8)));
    /// Guards against a task beyond its quota being tried for ever, or never again.
    task_beyond_its_quota_waits_for_a_larger_quota: 3, batch("j", 1, 4, SECOND_MS),
        WaitReason::LargerThanQuota { .. },
        |world| world.set_workspace(workspace("a", 100, cores(4)));
}

/// Guards against urgent work that waits behind best-effort work, and against more checkpoints than it needs.
#[test]
fn urgent_work_takes_the_place_of_best_effort_batch() {
    let mut world = world(&[4, 4]);
    let mut best_effort = batch("best-effort", 4, 1, 3_600 * SECOND_MS);
    best_effort.priority = Priority::BestEffort;
    world.submit(best_effort);
    world.submit(batch("normal", 4, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&world.decide(10)).len(), 8);
    let mut urgent = job("urgent", "b", JobKind::Service, 1, cores(2));
    urgent.priority = Priority::Urgent;
    world.submit(urgent);
    let stopped = checkpoints(&world.decide(10));
    assert_eq!(stopped.len(), 2, "just enough room is made");
    assert!(
        stopped
            .iter()
            .all(|run| run.task.job.as_str() == "best-effort")
    );
    assert!(world.decide(10).is_empty(), "room is made once");
    world.now_ms += 10 * SECOND_MS;
    let again = checkpoints(&world.decide(10));
    assert_eq!(again.len(), 2, "a lost command is repeated");
    assert!(again.iter().all(|run| stopped.contains(run)));
    for run in &stopped {
        world.end(run, TaskResult::Checkpointed);
    }
    let started = starts(&world.decide(10));
    assert_eq!(started[0].task.job.as_str(), "urgent");
}

/// Guards against services that stay down after the loss of a worker because batch fills the pool.
#[test]
fn lost_services_take_the_place_of_batch() {
    let mut world = world(&[4, 4, 4]);
    world.submit(job("service", "b", JobKind::Service, 3, cores(2)));
    let services = starts(&world.decide(20));
    assert_eq!(services.len(), 3);
    world.submit(batch("batch", 20, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&world.decide(20)).len(), 6);
    world.lose(&services[0].worker);
    let stopped = checkpoints(&world.decide(20));
    assert_eq!(stopped.len(), 2, "room for one lost task");
    for run in &stopped {
        world.end(run, TaskResult::Checkpointed);
    }
    let again = starts(&world.decide(20));
    assert_eq!(again[0].task, services[0].task);
    world.submit(job("new", "b", JobKind::Service, 1, cores(2)));
    assert!(
        world.decide(20).is_empty(),
        "a new service waits for its turn"
    );
}

/// Guards against an urgent gang that waits for the ends of best-effort work.
#[test]
fn urgent_gang_takes_the_place_of_best_effort_batch() {
    let mut world = world(&[4, 4, 4]);
    world.submit(batch("normal", 12, 1, 3_600 * SECOND_MS));
    assert_eq!(starts(&world.decide(20)).len(), 12);
    let mut urgent = gang("urgent", 2, 3, SECOND_MS);
    urgent.priority = Priority::Urgent;
    world.submit(urgent);
    let stopped = checkpoints(&world.decide(20));
    assert_eq!(stopped.len(), 6, "just enough room is made");
    let (last, others) = stopped.split_last().unwrap();
    for run in others {
        world.end(run, TaskResult::Checkpointed);
    }
    assert!(starts(&world.decide(20)).is_empty(), "the room is kept");
    world.end(last, TaskResult::Checkpointed);
    assert_eq!(starts(&world.decide(20)).len(), 2);
}

/// Guards against a workspace's limit that delays others, and against work that is forgotten at its quota.
#[test]
fn work_at_its_quota_waits_beside_others() {
    let mut world = world(&[4, 4]);
    world.set_workspace(workspace("a", 100, cores(2)));
    world.submit(batch("limited", 3, 1, SECOND_MS));
    let mut free = batch("free", 6, 1, SECOND_MS);
    free.workspace = ragwortreel_model::Workspace::new("b").unwrap();
    world.submit(free);
    let runs = starts(&world.decide(20));
    assert_eq!(runs.len(), 8);
    let quota = cores(2);
    let reason = explain(&world, "limited");
    assert_eq!(reason, Some(WaitReason::QuotaInUse { quota }));
    let limited = runs.iter().find(|run| run.task.job.as_str() == "limited");
    world.end(limited.unwrap(), TaskResult::Succeeded);
    assert_eq!(starts(&world.decide(20)).len(), 1);
}

/// Guards against a declared run time that is believed although the job always runs longer.
#[test]
fn run_times_are_learned_from_finished_runs() {
    let mut world = world(&[4, 4]);
    for number in 0..3 {
        let mut spec = batch(&format!("s{number}"), 1, 1, SECOND_MS);
        spec.name = "same".into();
        world.submit(spec);
        let runs = starts(&world.decide(10));
        world.now_ms += 100 * SECOND_MS;
        world.end(&runs[0], TaskResult::Succeeded);
    }
    world.submit(batch("long", 1, 4, 32 * SECOND_MS));
    world.decide(10);
    world.submit(gang("gang", 2, 4, SECOND_MS));
    let mut spec = batch("s9", 1, 1, SECOND_MS);
    spec.name = "same".into();
    world.submit(spec);
    assert!(
        world.decide(10).is_empty(),
        "it would outlast the wait of the gang"
    );
}

/// Guards against a gang that never starts beside small work, and against idle workers while it gathers.
#[test]
fn gang_gathers_room_while_short_work_is_backfilled() {
    let mut world = world(&[4, 4]);
    // Run times are rounded to a quarter of a power of two; this one is exact.
    let long_ms = 65_536;
    world.submit(batch("long", 1, 4, long_ms));
    let long = starts(&world.decide(10));
    world.submit(gang("gang", 2, 4, SECOND_MS));
    assert!(world.decide(10).is_empty());
    let gathering = WaitReason::GatheringRoom {
        expected_ms: long_ms,
    };
    assert_eq!(explain(&world, "gang"), Some(gathering));
    world.submit(batch("too-long", 1, 1, 600 * SECOND_MS));
    world.submit(batch("short", 1, 1, 10 * SECOND_MS));
    let started = starts(&world.decide(10));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job.as_str(), "short");
    world.now_ms += long_ms;
    let overrun = checkpoints(&world.decide(10));
    assert_eq!(
        overrun, started,
        "a backfilled task that overruns is checkpointed"
    );
    world.end(&started[0], TaskResult::Checkpointed);
    world.end(&long[0], TaskResult::Succeeded);
    assert_eq!(starts(&world.decide(10))[0].task.job.as_str(), "gang");
}

/// Guards against a reservation that is never used: another job of the same size comes first in rank, may not use the
/// held worker, and must not keep the gathering job from it.
#[test]
fn gathering_task_starts_beside_a_job_of_the_same_size() {
    let mut world = world(&[4]);
    world.submit(batch("small", 4, 1, 100 * SECOND_MS));
    let small = starts(&world.decide(10));
    let mut large = batch("large", 1, 4, 100 * SECOND_MS);
    large.priority = Priority::BestEffort;
    world.submit(large.clone());
    // Its patience makes the first one gather; the second one has a better rank once it does.
    for _ in 0..12 {
        world.now_ms += SECOND_MS;
        assert!(world.decide(10).is_empty());
    }
    let gathering = explain(&world, "large");
    let is_gathering = matches!(gathering, Some(WaitReason::GatheringRoom { .. }));
    assert!(is_gathering, "{gathering:?}");
    let mut other = batch("other", 1, 4, 100 * SECOND_MS);
    other.workspace = ragwortreel_model::Workspace::new("b").unwrap();
    world.submit(other);
    for run in &small {
        world.end(run, TaskResult::Succeeded);
        world.now_ms += SECOND_MS;
    }
    let started = starts(&world.decide(10));
    assert_eq!(started[0].task.job.as_str(), "large");
}

/// Guards against a gang of which only some tasks run.
#[test]
fn gang_that_loses_a_task_is_stopped_and_starts_together_again() {
    let mut world = world(&[4, 4]);
    world.submit(gang("gang", 4, 2, SECOND_MS));
    let runs = starts(&world.decide(10));
    assert_eq!(runs.len(), 4);
    world.end(&runs[0], TaskResult::Failed);
    let stopped = checkpoints(&world.decide(10));
    assert_eq!(stopped.len(), 3);
    for run in &stopped {
        world.end(run, TaskResult::Checkpointed);
    }
    assert_eq!(starts(&world.decide(10)).len(), 4);
}

/// Submits work for `seconds`, lets each run last as declared, and returns when jobs started.
fn run_stream(
    world: &mut World,
    seconds: u64,
    stream: impl Fn(u64) -> Vec<JobSpec>,
) -> BTreeMap<JobId, u64> {
    let mut started = BTreeMap::new();
    let mut ends: Vec<(u64, Assignment)> = Vec::new();
    for second in 0..seconds {
        for spec in stream(second) {
            world.submit(spec);
        }
        let over = |(end_ms, _): &mut (u64, Assignment)| *end_ms <= world.now_ms;
        let over: Vec<_> = ends.extract_if(.., over).collect();
        for (_, run) in over {
            world.end(&run, TaskResult::Succeeded);
        }
        for run in starts(&world.decide(1_000)) {
            let spec = world.jobs.iter().find(|spec| spec.id == run.task.job);
            let run_time_ms = spec.unwrap().run_time_ms.unwrap();
            started.entry(run.task.job.clone()).or_insert(second);
            ends.push((world.now_ms + run_time_ms, run));
        }
        world.now_ms += SECOND_MS;
    }
    started
}

macro_rules! starvation_cases {
    ($($(#[$doc:meta])* $name:ident: $victim:expr, $stream:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut world = world(&[4, 4, 4, 4]);
            let stream: fn(u64) -> Vec<JobSpec> = $stream;
            let victim = $victim;
            let id = victim.id.clone();
            let started = run_stream(&mut world, 170, |second| {
                let victim = (second == 20).then(|| victim.clone());
                stream(second).into_iter().chain(victim).collect()
            });
            assert!(started.contains_key(&id), "{:?}", explain(&world, id.as_str()));
        }
    )*};
}

starvation_cases! {
    /// Guards against a gang that waits for ever behind small work.
    gang_starts_beside_a_stream_of_small_work: gang("victim", 4, 4, SECOND_MS),
        |second| vec![batch(&format!("s{second}"), 8, 1, 5 * SECOND_MS)];
    /// Guards against a large task that waits for ever because small ones fill every gap.
    large_task_starts_beside_a_stream_of_small_work: batch("victim", 1, 4, SECOND_MS),
        |second| vec![batch(&format!("s{second}"), 8, 1, 5 * SECOND_MS)];
    /// Guards against small long work that waits for ever behind gangs.
    small_long_work_starts_beside_a_stream_of_gangs: batch("victim", 1, 1, 3_600 * SECOND_MS),
        |second| vec![gang(&format!("g{second}"), 4, 4, 4 * SECOND_MS)];
    /// Guards against a gang that waits for ever behind smaller gangs.
    large_gang_starts_beside_a_stream_of_small_gangs: gang("victim", 4, 4, SECOND_MS),
        |second| vec![gang(&format!("g{second}"), 2, 3, 5 * SECOND_MS)];
}

/// Guards against reservations that stay at a declaration which is far too large.
#[test]
fn sizes_are_learned_from_reports() {
    let mut world = world(&[8]);
    let mut spec = batch("first", 2, 4, 60 * SECOND_MS);
    spec.name = "same".into();
    world.submit(spec.clone());
    let runs = starts(&world.decide(10));
    assert_eq!(runs.len(), 2);
    for _ in 0..32 {
        let used = Resources::new(500, 700, 0);
        world
            .sched
            .record_usage(&runs[0].task, runs[0].attempt, used);
    }
    assert_eq!(
        world.sched.stats().reserved,
        cores(8),
        "running grants stay"
    );
    for run in &runs {
        world.end(run, TaskResult::Succeeded);
    }
    spec.id = JobId::new("second").unwrap();
    spec.tasks = 8;
    world.submit(spec);
    let runs = starts(&world.decide(10));
    assert_eq!(
        runs[0].resources,
        cores(2),
        "half of the declaration is the least"
    );
    assert_eq!(runs.len(), 4);
}

/// Guards against services that all share one rack.
#[test]
fn services_are_spread_over_racks() {
    let mut world = world(&[8; 12]);
    world.submit(job("service", "a", JobKind::Service, 6, cores(1)));
    let runs = starts(&world.decide(10));
    let racks = runs.iter().map(|run| &world.workers[&run.worker].0.rack);
    assert_eq!(racks.collect::<BTreeSet<_>>().len(), 6);
}

/// Guards against a refused repeat, an accepted conflict and an unbounded queue.
#[test]
fn submissions_are_checked() {
    let mut world = world(&[4]);
    let spec = batch("j", 2, 1, SECOND_MS);
    world.submit(spec.clone());
    world.submit(spec.clone());
    let now_ms = world.now_ms;
    let id = spec.id.clone();
    let other = JobSpec { tasks: 3, ..spec };
    let conflict = world.sched.submit(other, now_ms);
    assert_eq!(conflict, Err(SubmitError::Conflict { job: id }));
    let unknown = job("k", "nobody", JobKind::Batch, 1, cores(1));
    let workspace = unknown.workspace.clone();
    let refused = world.sched.submit(unknown, now_ms);
    assert_eq!(refused, Err(SubmitError::UnknownWorkspace { workspace }));
    let cfg = Config {
        max_queued_tasks: 3,
        ..Config::default()
    };
    let mut full = World::new(cfg, &[cores(1)], &[common::workspace("a", 1, cores(9))]);
    full.submit(batch("j", 3, 1, SECOND_MS));
    let refused = full.sched.submit(batch("k", 1, 1, SECOND_MS), now_ms);
    assert_eq!(refused, Err(SubmitError::QueueFull { limit: 3 }));
}

/// Guards against new work for a worker that lost accelerators which its tasks still hold.
#[test]
fn worker_that_holds_more_than_it_has_gets_no_work() {
    let mut world = world(&[]);
    world.set_workspace(workspace("a", 100, Resources::new(90_000, 90_000, 9)));
    world.set_worker(worker(0, Resources::new(8_000, 8_192, 2)));
    let need = Resources::new(1_000, 1_024, 2);
    world.submit(job("held", "a", JobKind::Batch, 1, need));
    let held = starts(&world.decide(10));
    world.set_worker(worker(0, Resources::new(8_000, 8_192, 1)));
    world.submit(batch("small", 1, 1, SECOND_MS));
    let mut urgent = batch("urgent", 1, 1, SECOND_MS);
    urgent.priority = Priority::Urgent;
    world.submit(urgent);
    let stopped = checkpoints(&world.decide(10));
    assert_eq!(
        stopped, held,
        "room for urgent work needs the accelerators back"
    );
    assert_eq!(world.sched.stats().running, 1);
    world.end(&held[0], TaskResult::Succeeded);
    assert_eq!(starts(&world.decide(10)).len(), 2);
}

/// Guards against a restored run on a worker that has not been declared yet being lost or overbooked.
#[test]
fn run_is_restored_before_its_worker_is_known() {
    let mut world = world(&[]);
    let spec = batch("j", 2, 3, SECOND_MS);
    world.sched.submit(spec, 0).unwrap();
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
    world.sched.restore_run(run.clone(), 0);
    world.sched.restore_run(run.clone(), 0);
    world.sched.upsert_worker(spec, 0);
    assert!(world.sched.decide(0, 10).is_empty(), "one core is free");
    assert_eq!(world.sched.stats().running, 1);
    world
        .sched
        .record_end(&run.task, run.attempt, TaskResult::Lost, 0);
    let runs = starts(&world.sched.decide(0, 10));
    assert_eq!(runs.len(), 1);
    world
        .sched
        .record_end(&runs[0].task, runs[0].attempt, TaskResult::Succeeded, 0);
    let again = starts(&world.sched.decide(0, 10));
    let attempts: BTreeSet<u32> = runs.iter().chain(&again).map(|run| run.attempt.0).collect();
    assert_eq!(attempts, BTreeSet::from([1, 8]), "attempt numbers continue");
}
