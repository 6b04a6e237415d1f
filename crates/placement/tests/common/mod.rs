//! Builders of test data, and a harness that acts as the owner of a pool.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobKind, JobSpec, Pool, Priority, Rack, Resources, TaskId,
        TaskResult, WaitReason, WorkerId, Workspace,
    },
    ragwortreel_placement::{
        Config, Decision, PoolScheduler, Scheduler, WorkerSpec, WorkerState, WorkspaceShare,
        naive::NaiveScheduler,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

pub fn cores(count: u64) -> Resources {
    Resources::new(count * 1_000, count * 1_024, 0)
}

pub fn pool() -> Pool {
    Pool::new("p").unwrap()
}

pub fn workspace(name: &str, weight: u32, quota: Resources) -> WorkspaceShare {
    let workspace = Workspace::new(name).unwrap();
    WorkspaceShare {
        workspace,
        weight,
        quota,
    }
}

pub fn worker(number: usize, capacity: Resources) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(&format!("w{number}")).unwrap(),
        rack: Rack::new(&format!("r{}", number / 2)).unwrap(),
        capacity,
    }
}

pub fn job(id: &str, workspace: &str, kind: JobKind, tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        id: JobId::new(id).unwrap(),
        workspace: Workspace::new(workspace).unwrap(),
        name: Arc::from(id),
        kind,
        priority: Priority::Normal,
        tasks,
        resources,
        run_time_ms: (kind != JobKind::Service).then_some(1_000),
        zone: None,
        payload: Arc::from(""),
    }
}

/// A scheduler, its reference model, and the state that the owner of the pool keeps.
#[derive(Debug)]
pub struct Harness {
    pub sched: Scheduler,
    /// Reference model that receives every event; decisions of `sched` are applied to it as restored runs.
    pub reference: NaiveScheduler,
    pub now_ms: u64,
    pub jobs: Vec<JobSpec>,
    pub cancelled: BTreeSet<JobId>,
    pub done: BTreeSet<TaskId>,
    pub attempts: BTreeMap<TaskId, Attempt>,
    pub workers: BTreeMap<WorkerId, (WorkerSpec, WorkerState)>,
    pub workspaces: BTreeMap<Workspace, WorkspaceShare>,
    cfg: Config,
}

impl Harness {
    pub fn new(cfg: Config, workers: &[Resources], workspaces: &[WorkspaceShare]) -> Self {
        let mut harness = Self {
            sched: Scheduler::new(pool(), cfg.clone()),
            reference: NaiveScheduler::new(pool(), cfg.clone()),
            now_ms: 1_000_000,
            jobs: Vec::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            attempts: BTreeMap::new(),
            workers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            cfg,
        };
        for share in workspaces {
            harness.upsert_workspace(share.clone());
        }
        for (number, capacity) in workers.iter().enumerate() {
            harness.upsert_worker(worker(number, *capacity));
        }
        harness
    }

    pub fn upsert_workspace(&mut self, share: WorkspaceShare) {
        self.sched.upsert_workspace(share.clone());
        self.reference.upsert_workspace(share.clone());
        self.workspaces.insert(share.workspace.clone(), share);
    }

    pub fn upsert_worker(&mut self, spec: WorkerSpec) {
        self.sched.upsert_worker(spec.clone(), self.now_ms);
        self.reference.upsert_worker(spec.clone(), self.now_ms);
        let known = self.workers.get(&spec.id);
        let state = known.map_or(WorkerState::Ready, |&(_, state)| state);
        self.workers.insert(spec.id.clone(), (spec, state));
    }

    pub fn set_worker_state(&mut self, id: &WorkerId, state: WorkerState) {
        self.sched.set_worker_state(id, state);
        self.reference.set_worker_state(id, state);
        self.workers.get_mut(id).unwrap().1 = state;
    }

    pub fn remove_worker(&mut self, id: &WorkerId) {
        let mut lost = self.sched.remove_worker(id, self.now_ms);
        let mut expected = self.reference.remove_worker(id, self.now_ms);
        lost.sort_by(|a, b| a.task.cmp(&b.task));
        expected.sort_by(|a, b| a.task.cmp(&b.task));
        assert_eq!(lost, expected, "the runs of a lost worker");
        self.workers.remove(id);
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.sched.submit(spec.clone(), self.now_ms).unwrap();
        self.reference.submit(spec.clone(), self.now_ms).unwrap();
        if !self.jobs.contains(&spec) {
            self.jobs.push(spec);
        }
    }

    pub fn cancel(&mut self, id: &JobId) {
        let runs = self.sched.cancel(id, self.now_ms);
        assert_eq!(runs, self.reference.cancel(id, self.now_ms));
        self.cancelled.insert(id.clone());
    }

    pub fn runs(&self) -> Vec<Assignment> {
        self.reference.runs().cloned().collect()
    }

    pub fn end_run(&mut self, run: &Assignment, result: TaskResult) {
        let (task, attempt) = (&run.task, run.attempt);
        self.sched.record_end(task, attempt, result, self.now_ms);
        self.reference
            .record_end(task, attempt, result, self.now_ms);
        if result == TaskResult::Succeeded {
            self.done.insert(task.clone());
        }
    }

    /// Lets the scheduler decide and checks each decision against the reference model.
    pub fn decide(&mut self, limit: usize) -> Vec<Decision> {
        let decisions = self.sched.decide(self.now_ms, limit);
        assert!(decisions.len() <= limit);
        for decision in &decisions {
            match decision {
                Decision::Start(run) => self.apply_start(run),
                Decision::StartGang(runs) => {
                    let job = &runs[0].task.job;
                    let spec = self.jobs.iter().find(|spec| spec.id == *job).unwrap();
                    let done = self.done.iter().filter(|task| task.job == *job).count();
                    assert_eq!(
                        runs.len() + done,
                        spec.tasks as usize,
                        "all unfinished tasks of a gang start together"
                    );
                    for run in runs {
                        self.apply_start(run);
                    }
                }
                Decision::Checkpoint(run) => {
                    assert!(self.reference.runs().any(|known| known == run));
                }
            }
        }
        decisions
    }

    fn apply_start(&mut self, run: &Assignment) {
        let task = &run.task;
        let known = self.attempts.insert(task.clone(), run.attempt);
        assert!(
            known.is_none_or(|known| known < run.attempt),
            "attempt numbers increase"
        );
        assert!(!self.done.contains(task), "a finished task does not start");
        assert!(
            !self.cancelled.contains(&task.job),
            "a cancelled job does not start"
        );
        let is_running = self.reference.runs().any(|known| known.task == *task);
        assert!(!is_running, "a task has one run at a time");
        self.reference.restore_run(run.clone(), self.now_ms);
        let (spec, state) = &self.workers[&run.worker];
        assert_eq!(*state, WorkerState::Ready);
        let on_worker = self
            .reference
            .runs()
            .filter(|known| known.worker == run.worker);
        let allocated = on_worker.fold(Resources::ZERO, |sum, run| sum + run.resources);
        assert!(
            allocated.fits_in(&spec.capacity),
            "the resources on a worker fit into its capacity"
        );
        let name = &self
            .jobs
            .iter()
            .find(|spec| spec.id == task.job)
            .unwrap()
            .workspace;
        let of_workspace = self.reference.runs().filter(|known| {
            let spec = self.jobs.iter().find(|spec| spec.id == known.task.job);
            spec.unwrap().workspace == *name
        });
        let used = of_workspace.fold(Resources::ZERO, |sum, run| sum + run.resources);
        assert!(
            used.fits_in(&self.workspaces[name].quota),
            "a quota is not exceeded"
        );
    }

    /// Replaces the scheduler by a new one that is restored from the state of the owner, as after a change of owner.
    pub fn change_owner(&mut self) {
        let mut sched = Scheduler::new(pool(), self.cfg.clone());
        for share in self.workspaces.values() {
            sched.upsert_workspace(share.clone());
        }
        for spec in &self.jobs {
            sched.submit(spec.clone(), self.now_ms).unwrap();
        }
        for (task, attempt) in &self.attempts {
            sched.restore_attempt(task, *attempt);
        }
        for run in self.reference.runs() {
            sched.restore_run(run.clone(), self.now_ms);
        }
        for task in &self.done {
            sched.restore_succeeded(task);
        }
        for job in &self.cancelled {
            sched.cancel(job, self.now_ms);
        }
        for (spec, state) in self.workers.values() {
            sched.upsert_worker(spec.clone(), self.now_ms);
            sched.set_worker_state(&spec.id, *state);
        }
        self.sched = sched;
    }

    /// Compares the totals, and which jobs wait, with the reference model.
    pub fn check_against_reference(&self) {
        let (stats, expected) = (self.sched.stats(), self.reference.stats());
        assert_eq!(stats.capacity, expected.capacity);
        assert_eq!(stats.reserved, expected.reserved);
        assert_eq!(
            (stats.queued, stats.running),
            (expected.queued, expected.running)
        );
        for spec in &self.jobs {
            let reason = self.sched.explain(&spec.id, self.now_ms);
            let expected = self.reference.explain(&spec.id, self.now_ms);
            assert_eq!(
                reason.is_some(),
                expected.is_some(),
                "job {} waits",
                spec.id
            );
        }
    }

    /// Makes all workers ready and lets every run succeed, in simulated time, until no task starts for 20 rounds.
    pub fn run_until_idle(&mut self) {
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in workers {
            self.set_worker_state(&id, WorkerState::Ready);
        }
        let mut idle_rounds = 0;
        while idle_rounds < 20 {
            let decisions = self.decide(10_000);
            idle_rounds = if decisions.is_empty() {
                idle_rounds + 1
            } else {
                0
            };
            for run in self.runs() {
                self.sched.record_start(&run.task, run.attempt, self.now_ms);
                self.end_run(&run, TaskResult::Succeeded);
            }
            self.check_against_reference();
            self.now_ms += 60_000;
        }
    }

    /// Checks that every task is finished, unless its job was cancelled or cannot be scheduled.
    pub fn check_all_done(&self) {
        for spec in &self.jobs {
            let reason = self.sched.explain(&spec.id, self.now_ms);
            if let Some(reason) = reason {
                let expected = self.reference.explain(&spec.id, self.now_ms);
                assert_eq!(Some(&reason), expected.as_ref(), "job {}", spec.id);
                assert!(is_unschedulable(&reason), "job {} waits: {reason}", spec.id);
            } else if !self.cancelled.contains(&spec.id) {
                let done = self.done.iter().filter(|task| task.job == spec.id).count();
                assert_eq!(done, spec.tasks as usize, "job {}", spec.id);
            }
        }
    }
}

pub const fn is_unschedulable(reason: &WaitReason) -> bool {
    matches!(
        reason,
        WaitReason::NoWorkerLargeEnough { .. }
            | WaitReason::LargerThanQuota { .. }
            | WaitReason::PoolTooSmall { .. }
    )
}
