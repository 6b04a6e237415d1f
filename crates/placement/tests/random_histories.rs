//! Random histories of a pool, checked step by step against the naive scheduler.

mod common;

use {
    common::{World, cores, job, worker, workspace},
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, prop_oneof, proptest},
        test_runner::RngSeed,
    },
    ragwortreel_model::{JobKind, Priority, Resources, TaskResult},
    ragwortreel_placement::{Config, PoolScheduler, WorkerState},
    std::sync::Arc,
};

/// Something that happens to a pool; numbers choose among what exists.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit(Submit),
    Decide(usize),
    Started(usize),
    End(usize, TaskResult),
    Cancel(usize),
    Lose(usize),
    Add(usize, u64),
    State(usize, WorkerState),
    Quota(usize, u64),
    Used(usize, u64),
    Pass(u64),
    ChangeOwner,
}

#[derive(Debug, Clone, Copy)]
struct Submit {
    workspace: usize,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    need: Resources,
    run_time_ms: Option<u64>,
    name: u8,
}

const WORKSPACES: [&str; 3] = ["a", "b", "c"];

fn submits() -> impl Strategy<Value = Submit> {
    let kind = prop_oneof![
        Just(JobKind::Service),
        Just(JobKind::Batch),
        Just(JobKind::Gang)
    ];
    let priority = prop_oneof![
        Just(Priority::BestEffort),
        Just(Priority::Normal),
        Just(Priority::Urgent)
    ];
    let need = (1_u64..10, 1_u64..10, 0_u64..3)
        .prop_map(|(cpu, memory, acc)| Resources::new(cpu * 500, memory * 700, acc / 2));
    let run_time_ms = proptest::option::of(1_u64..100_000);
    let parts = (
        0..WORKSPACES.len(),
        kind,
        priority,
        1_u32..7,
        need,
        run_time_ms,
        0..3_u8,
    );
    parts.prop_map(
        |(workspace, kind, priority, tasks, need, run_time_ms, name)| Submit {
            workspace,
            kind,
            priority,
            tasks,
            need,
            run_time_ms,
            name,
        },
    )
}

fn results() -> impl Strategy<Value = TaskResult> {
    prop_oneof![
        4 => Just(TaskResult::Succeeded),
        1 => Just(TaskResult::Failed),
        2 => Just(TaskResult::NotStarted),
        1 => Just(TaskResult::Checkpointed),
        1 => Just(TaskResult::Stopped),
        1 => Just(TaskResult::Lost),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let any = 0_usize..1_000;
    let state = prop_oneof![
        3 => Just(WorkerState::Ready),
        1 => Just(WorkerState::Draining),
        1 => Just(WorkerState::Silent)
    ];
    prop_oneof![
        6 => submits().prop_map(Step::Submit),
        10 => (1_usize..40).prop_map(Step::Decide),
        4 => any.clone().prop_map(Step::Started),
        12 => (any.clone(), results()).prop_map(|(run, result)| Step::End(run, result)),
        1 => any.clone().prop_map(Step::Cancel),
        1 => any.clone().prop_map(Step::Lose),
        2 => (any.clone(), 1_u64..9).prop_map(|(number, size)| Step::Add(number % 8, size)),
        2 => (any.clone(), state).prop_map(|(worker, state)| Step::State(worker, state)),
        1 => (any.clone(), 1_u64..40).prop_map(|(workspace, quota)| Step::Quota(workspace, quota)),
        3 => (any.clone(), 1_u64..300).prop_map(|(run, percent)| Step::Used(run, percent)),
        6 => (1_u64..60_000).prop_map(Step::Pass),
        1 => Just(Step::ChangeOwner),
    ]
}

fn start_world(cfg: Config) -> World {
    let sizes = [
        cores(4),
        cores(4),
        cores(8),
        Resources::new(8_000, 8_192, 4),
    ];
    let workspaces = [
        workspace("a", 100, cores(12)),
        workspace("b", 200, cores(20)),
        workspace("c", 100, Resources::new(30_000, 30_000, 2)),
    ];
    World::new(cfg, &sizes, &workspaces)
}

fn submit(world: &mut World, number: usize, submit: Submit) {
    let (kind, workspace) = (submit.kind, WORKSPACES[submit.workspace]);
    let mut spec = job(
        &format!("j{number}"),
        workspace,
        kind,
        submit.tasks,
        submit.need,
    );
    spec.priority = submit.priority;
    spec.run_time_ms = submit.run_time_ms;
    spec.name = Arc::from(format!("n{}", submit.name));
    world.submit(spec);
}

fn apply(world: &mut World, number: usize, step: Step) {
    let runs = world.runs();
    let pick = |at: usize| runs.get(at % runs.len().max(1));
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    match step {
        Step::Submit(parts) => submit(world, number, parts),
        Step::Decide(limit) => {
            world.decide(limit);
        }
        Step::Started(at) => {
            if let Some(run) = pick(at) {
                let now_ms = world.now_ms;
                world.sched.record_start(&run.task, run.attempt, now_ms);
            }
        }
        Step::End(at, result) => {
            if let Some(run) = pick(at) {
                world.end(run, result);
            }
        }
        Step::Cancel(at) if !world.jobs.is_empty() => {
            let id = world.jobs[at % world.jobs.len()].id.clone();
            world.cancel(&id);
        }
        Step::Lose(at) if ids.len() > 1 => world.lose(&ids[at % ids.len()]),
        Step::Add(number, size) => world.set_worker(worker(number, cores(size))),
        Step::State(at, state) => world.set_state(&ids[at % ids.len()], state),
        Step::Quota(at, quota) => world.set_workspace(workspace(
            WORKSPACES[at % WORKSPACES.len()],
            100,
            cores(quota),
        )),
        Step::Used(at, percent) => {
            if let Some(run) = pick(at) {
                let part = |amount: u64| amount * percent / 100;
                let (cpu, memory) = (run.resources.milli_cores, run.resources.memory_mib);
                let used = Resources::new(part(cpu), part(memory), 0);
                for _ in 0..16 {
                    world.sched.record_usage(&run.task, run.attempt, used);
                }
            }
        }
        Step::Pass(ms) => world.now_ms += ms,
        Step::ChangeOwner => world.change_owner(),
        Step::Cancel(_) | Step::Lose(_) => {}
    }
    world.check();
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::with_cases(cases)
    }
}

proptest! {
    #![proptest_config(config(1, 1_000))]

    /// Guards against overbooked workers, exceeded quotas, split gangs, and lost or doubled tasks.
    #[test]
    fn nothing_is_lost_doubled_or_overbooked(history in vec(steps(), 1..120)) {
        let mut world = start_world(Config::default());
        for (number, step) in history.into_iter().enumerate() {
            apply(&mut world, number, step);
        }
        world.run_to_the_end();
        world.check_all_done();
    }
}

proptest! {
    #![proptest_config(config(2, 300))]

    /// Guards against an index or a closed shape that hides room: where the scheduler starts nothing more, a scan of
    /// all tasks and workers finds nothing either. Gangs and long waits are left out, because they reserve room.
    #[test]
    fn no_startable_task_is_overlooked(
        rounds in vec((vec(submits(), 0..5), vec(0_usize..1_000, 0..6)), 1..20),
    ) {
        let cfg = Config { reserve_after_ms: u64::MAX, ..Config::default() };
        let mut world = start_world(cfg);
        let mut number = 0;
        for (submitted, ended) in rounds {
            for mut parts in submitted {
                parts.kind = if parts.kind == JobKind::Gang { JobKind::Batch } else { parts.kind };
                parts.priority = Priority::Normal;
                submit(&mut world, number, parts);
                number += 1;
            }
            for at in ended {
                let runs = world.runs();
                if !runs.is_empty() {
                    world.end(&runs[at % runs.len()], TaskResult::Succeeded);
                }
            }
            while !world.decide(7).is_empty() {}
            assert!(world.mirror.clone().decide(world.now_ms, 1).is_empty());
            world.now_ms += 1_000;
        }
    }
}

proptest! {
    #![proptest_config(config(3, 100))]

    /// Guards against unfair shares: workspaces with waiting work differ by at most one task by weight.
    #[test]
    fn shares_follow_weights(
        weights in vec(1_u32..10, 2..6),
        ends in vec(0_usize..1_000, 1..200),
    ) {
        let workspaces: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| workspace(&format!("t{number}"), weight * 100, cores(1_000)))
            .collect();
        let mut world = World::new(Config::default(), &[cores(16); 4], &workspaces);
        for share in &workspaces {
            let name = share.workspace.as_str();
            world.submit(job(name, name, JobKind::Batch, 500, cores(1)));
        }
        world.decide(10_000);
        for at in ends {
            let runs = world.runs();
            world.end(&runs[at % runs.len()], TaskResult::Checkpointed);
            world.decide(10_000);
            let shares = workspaces.iter().map(|share| {
                let of_workspace = |run: &&_| workspace_of(run) == share.workspace.as_str();
                let running = world.mirror.runs().filter(of_workspace).count();
                f64::from(u32::try_from(running).unwrap()) / f64::from(share.weight)
            });
            let shares: Vec<f64> = shares.collect();
            for (one, share) in shares.iter().zip(&workspaces) {
                let most = one - 1.0 / f64::from(share.weight);
                assert!(shares.iter().all(|other| most <= *other + 1e-9), "{shares:?}");
            }
        }
    }
}

fn workspace_of(run: &ragwortreel_model::Assignment) -> &str {
    run.task.job.as_str()
}
