//! Random histories of a pool, checked step by step against the naive scheduler as reference model.

mod common;

use {
    common::{Harness, cores, job, worker, workspace},
    proptest::{
        collection::vec,
        prelude::{Just, ProptestConfig, Strategy, prop_oneof, proptest},
        test_runner::RngSeed,
    },
    ragwortreel_model::{JobKind, Priority, Resources, TaskResult},
    ragwortreel_placement::{Config, PoolScheduler, WorkerState},
    std::sync::Arc,
};

/// An event in a pool. The first number of most events selects a run, job, worker or workspace by its position, modulo
/// their number.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit(Submission),
    Decide(usize),
    ConfirmStart(usize),
    EndRun(usize, TaskResult),
    Cancel(usize),
    RemoveWorker(usize),
    UpsertWorker(usize, u64),
    SetWorkerState(usize, WorkerState),
    SetQuota(usize, u64),
    ReportUsage(usize, u64),
    AdvanceClock(u64),
    ChangeOwner,
}

#[derive(Debug, Clone, Copy)]
struct Submission {
    workspace: usize,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    need: Resources,
    run_time_ms: Option<u64>,
    name: u8,
}

const WORKSPACES: [&str; 3] = ["a", "b", "c"];

fn submissions() -> impl Strategy<Value = Submission> {
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
        |(workspace, kind, priority, tasks, need, run_time_ms, name)| Submission {
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
    let selector = 0_usize..1_000;
    let state = prop_oneof![
        3 => Just(WorkerState::Ready),
        1 => Just(WorkerState::Draining),
        1 => Just(WorkerState::Silent)
    ];
    prop_oneof![
        6 => submissions().prop_map(Step::Submit),
        10 => (1_usize..40).prop_map(Step::Decide),
        4 => selector.clone().prop_map(Step::ConfirmStart),
        12 => (selector.clone(), results()).prop_map(|(run, result)| Step::EndRun(run, result)),
        1 => selector.clone().prop_map(Step::Cancel),
        1 => selector.clone().prop_map(Step::RemoveWorker),
        2 => (selector.clone(), 1_u64..9).prop_map(|(number, size)| Step::UpsertWorker(number % 8, size)),
        2 => (selector.clone(), state).prop_map(|(worker, state)| Step::SetWorkerState(worker, state)),
        1 => (selector.clone(), 1_u64..40).prop_map(|(workspace, quota)| Step::SetQuota(workspace, quota)),
        3 => (selector.clone(), 1_u64..300).prop_map(|(run, percent)| Step::ReportUsage(run, percent)),
        6 => (1_u64..60_000).prop_map(Step::AdvanceClock),
        1 => Just(Step::ChangeOwner),
    ]
}

fn new_harness(cfg: Config) -> Harness {
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
    Harness::new(cfg, &sizes, &workspaces)
}

fn submit(harness: &mut Harness, number: usize, submission: Submission) {
    let (kind, workspace) = (submission.kind, WORKSPACES[submission.workspace]);
    let mut spec = job(
        &format!("j{number}"),
        workspace,
        kind,
        submission.tasks,
        submission.need,
    );
    spec.priority = submission.priority;
    spec.run_time_ms = submission.run_time_ms;
    spec.name = Arc::from(format!("n{}", submission.name));
    harness.submit(spec);
}

fn apply(harness: &mut Harness, number: usize, step: Step) {
    let runs = harness.runs();
    let select_run = |selector: usize| runs.get(selector % runs.len().max(1));
    let ids: Vec<_> = harness.workers.keys().cloned().collect();
    match step {
        Step::Submit(submission) => submit(harness, number, submission),
        Step::Decide(limit) => {
            harness.decide(limit);
        }
        Step::ConfirmStart(selector) => {
            if let Some(run) = select_run(selector) {
                let now_ms = harness.now_ms;
                harness.sched.record_start(&run.task, run.attempt, now_ms);
            }
        }
        Step::EndRun(selector, result) => {
            if let Some(run) = select_run(selector) {
                harness.end_run(run, result);
            }
        }
        Step::Cancel(selector) if !harness.jobs.is_empty() => {
            let id = harness.jobs[selector % harness.jobs.len()].id.clone();
            harness.cancel(&id);
        }
        Step::RemoveWorker(selector) if ids.len() > 1 => {
            harness.remove_worker(&ids[selector % ids.len()]);
        }
        Step::UpsertWorker(number, size) => harness.upsert_worker(worker(number, cores(size))),
        Step::SetWorkerState(selector, state) => {
            harness.set_worker_state(&ids[selector % ids.len()], state);
        }
        Step::SetQuota(selector, quota) => harness.upsert_workspace(workspace(
            WORKSPACES[selector % WORKSPACES.len()],
            100,
            cores(quota),
        )),
        Step::ReportUsage(selector, percent) => {
            if let Some(run) = select_run(selector) {
                let part = |amount: u64| amount * percent / 100;
                let (cpu, memory) = (run.resources.milli_cores, run.resources.memory_mib);
                let used = Resources::new(part(cpu), part(memory), 0);
                for _ in 0..16 {
                    harness.sched.record_usage(&run.task, run.attempt, used);
                }
            }
        }
        Step::AdvanceClock(ms) => harness.now_ms += ms,
        Step::ChangeOwner => harness.change_owner(),
        Step::Cancel(_) | Step::RemoveWorker(_) => {}
    }
    harness.check_against_reference();
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

    /// Guards against overcommitted workers, exceeded quotas, partial gangs, and lost or duplicate tasks.
    #[test]
    fn nothing_is_lost_doubled_or_overbooked(history in vec(steps(), 1..120)) {
        let mut harness = new_harness(Config::default());
        for (number, step) in history.into_iter().enumerate() {
            apply(&mut harness, number, step);
        }
        harness.run_until_idle();
        harness.check_all_done();
    }
}

proptest! {
    #![proptest_config(config(2, 300))]

    /// Guards against free resources that the capacity index or a blocked shape hides: when the scheduler makes no more
    /// decisions, a scan of all tasks and workers must find no start either. Gangs are left out and `reserve_after_ms`
    /// is unlimited, because reservations keep workers free on purpose.
    #[test]
    fn no_startable_task_is_overlooked(
        rounds in vec((vec(submissions(), 0..5), vec(0_usize..1_000, 0..6)), 1..20),
    ) {
        let cfg = Config { reserve_after_ms: u64::MAX, ..Config::default() };
        let mut harness = new_harness(cfg);
        let mut number = 0;
        for (submitted, ended) in rounds {
            for mut submission in submitted {
                submission.kind = if submission.kind == JobKind::Gang { JobKind::Batch } else { submission.kind };
                submission.priority = Priority::Normal;
                submit(&mut harness, number, submission);
                number += 1;
            }
            for selector in ended {
                let runs = harness.runs();
                if !runs.is_empty() {
                    harness.end_run(&runs[selector % runs.len()], TaskResult::Succeeded);
                }
            }
            while !harness.decide(7).is_empty() {}
            assert!(harness.reference.clone().decide(harness.now_ms, 1).is_empty());
            harness.now_ms += 1_000;
        }
    }
}

proptest! {
    #![proptest_config(config(3, 100))]

    /// Guards against unfair shares: the weighted numbers of running tasks of workspaces with queued tasks differ by at
    /// most one task.
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
        let mut harness = Harness::new(Config::default(), &[cores(16); 4], &workspaces);
        for share in &workspaces {
            let name = share.workspace.as_str();
            harness.submit(job(name, name, JobKind::Batch, 500, cores(1)));
        }
        harness.decide(10_000);
        for selector in ends {
            let runs = harness.runs();
            harness.end_run(&runs[selector % runs.len()], TaskResult::Checkpointed);
            harness.decide(10_000);
            let shares = workspaces.iter().map(|share| {
                let of_workspace = |run: &&_| workspace_of(run) == share.workspace.as_str();
                let running = harness.reference.runs().filter(of_workspace).count();
                f64::from(u32::try_from(running).unwrap()) / f64::from(share.weight)
            });
            let shares: Vec<f64> = shares.collect();
            for (own, share) in shares.iter().zip(&workspaces) {
                let lower_bound = own - 1.0 / f64::from(share.weight);
                assert!(shares.iter().all(|other| lower_bound <= *other + 1e-9), "{shares:?}");
            }
        }
    }
}

fn workspace_of(run: &ragwortreel_model::Assignment) -> &str {
    run.task.job.as_str()
}
