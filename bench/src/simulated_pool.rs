//! Pool of workers in the state that it has at the design size, for the placement cases.

use {
    ragwortreel_model::{
        Assignment, JobId, JobKind, JobSpec, NameError, Pool, Priority, Rack, Resources,
        TaskResult, WorkerId, Workspace,
    },
    ragwortreel_placement::{
        Config, Decision, PoolScheduler, WorkerSpec, WorkspaceShare, naive::NaiveScheduler,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Number of workers at the design size.
pub const WORKERS: usize = 1_200;
/// Number of accelerators at the design size.
const ACCELERATORS: usize = 2_900;
/// Number of running tasks at the design size.
const TASKS: usize = 7_400;
/// Number of workspaces at the design size.
const WORKSPACES: usize = 280;
/// Accelerators per worker that has any.
const ACCELERATORS_PER_WORKER: usize = 8;
/// One of this many workspaces has reached its quota.
const QUOTA_EVERY: usize = 10;
/// Queued jobs that fit only on an almost empty worker.
const LARGE_JOBS: usize = 300;
/// Time between two starts at the peak rate of 170 per second, in ms.
const START_INTERVAL_MS: u64 = 6;

/// Shortest declared run time of a batch task, in ms; the others are this times a power of two up to 32. With the
/// stragglers the mean is 41 s, near the 35 s that follow from 5,920 running non-service tasks at 170 starts/s.
const SHORTEST_RUN_MS: u64 = 3_000;
/// One of this many batch tasks is a straggler.
const STRAGGLER_EVERY: u32 = 100;
/// Declared run time of a straggler, in ms.
const STRAGGLER_MS: u64 = 960_000;
/// Shortest declared run time of a gang, in ms; the longest is 16 times as long.
const SHORTEST_GANG_MS: u64 = 30_000;

/// Parses a name or identifier.
///
/// # Panics
///
/// Panics when `text` is invalid; the names of the cases are valid.
pub fn valid_name<T>(make: fn(&str) -> Result<T, NameError>, text: &str) -> T {
    make(text).expect("a valid name")
}

/// Returns workers of 32 cores and 128 GiB in racks of 8, with accelerators in the proportion of the design size.
pub fn workers(count: usize) -> Vec<WorkerSpec> {
    let accelerators = ACCELERATORS * count / WORKERS;
    let equipped = accelerators / ACCELERATORS_PER_WORKER;
    let is_equipped = |number: usize| number * equipped / count != (number + 1) * equipped / count;
    let spec = |number: usize| {
        let own = if is_equipped(number) {
            ACCELERATORS_PER_WORKER as u64
        } else {
            0
        };
        WorkerSpec {
            id: valid_name(WorkerId::new, &format!("w{number}")),
            rack: valid_name(Rack::new, &format!("r{}", number / 8)),
            capacity: Resources::new(32_000, 128 * 1_024, own),
        }
    };
    (0..count).map(spec).collect()
}

/// Scheduler with its workers, jobs and running tasks in simulated time.
pub struct SimulatedPool<S> {
    /// Scheduler under measurement.
    pub sched: S,
    /// Assignments of all running tasks.
    pub running: Vec<Assignment>,
    /// Simulated time in ms.
    pub now_ms: u64,
    /// Random source of job sizes and choices, with a fixed seed.
    pub rng: fastrand::Rng,
    /// Submitted jobs that have not been removed, with their submission number.
    pub specs: BTreeMap<JobId, (usize, JobSpec)>,
    shares: Vec<WorkspaceShare>,
    next_job: usize,
    workspaces: usize,
}

impl<S: PoolScheduler> SimulatedPool<S> {
    /// Creates a pool of `count` workers with workspaces, running tasks and queued jobs in the proportions of the
    /// design size.
    pub fn new(sched: S, count: usize) -> Self {
        let mut pool = Self::empty(sched, count, WORKSPACES);
        let quota = Resources::new(1_000, 1_024, 0);
        for number in (0..WORKSPACES).step_by(QUOTA_EVERY) {
            pool.set_quota(number, quota);
            pool.submit_sized(number, JobKind::Batch, 50, quota);
            pool.submit_sized(number, JobKind::Batch, 1, Resources::new(2_000, 1_024, 0));
        }
        let tasks = TASKS * count / WORKERS;
        while pool.running.len() < tasks {
            for _ in 0..(tasks - pool.running.len()).min(500) {
                pool.submit();
            }
            if pool.decide(1_000).is_empty() {
                break;
            }
        }
        for number in 0..LARGE_JOBS * count / WORKERS {
            let need = Resources::new(30_000, 100 * 1_024, 0);
            pool.submit_sized(number * 7 + 1, JobKind::Batch, 1, need);
        }
        pool.decide(10_000);
        pool
    }

    /// Creates a pool with workers and workspaces, without jobs.
    pub fn empty(mut sched: S, count: usize, workspaces: usize) -> Self {
        for spec in workers(count) {
            sched.upsert_worker(spec, 0);
        }
        let mut pool = Self {
            sched,
            running: Vec::new(),
            now_ms: 1_000_000,
            rng: fastrand::Rng::with_seed(7),
            specs: BTreeMap::new(),
            shares: Vec::new(),
            next_job: 0,
            workspaces,
        };
        for number in 0..workspaces {
            let quota = Resources::new(1_000_000_000, 1_000_000_000, 100_000);
            pool.set_quota(number, quota);
        }
        pool
    }

    fn workspace(&self, number: usize) -> Workspace {
        valid_name(Workspace::new, &format!("t{}", number % self.workspaces))
    }

    fn set_quota(&mut self, number: usize, quota: Resources) {
        let workspace = self.workspace(number);
        let share = WorkspaceShare {
            workspace,
            weight: 100,
            quota,
        };
        self.sched.upsert_workspace(share.clone());
        self.shares.push(share);
    }

    /// Chooses the run time class of the next job and its run time in ms. Jobs of one class share a name, as similar
    /// jobs in a real cell do.
    fn choose_run_time(&mut self, kind: JobKind) -> (u32, u64) {
        let rng = &mut self.rng;
        match kind {
            JobKind::Gang => {
                let class = rng.u32(0..5);
                (10 + class, SHORTEST_GANG_MS << class)
            }
            _ if rng.u32(0..STRAGGLER_EVERY) == 0 => (6, STRAGGLER_MS),
            _ => {
                let class = rng.u32(0..6);
                (class, SHORTEST_RUN_MS << class)
            }
        }
    }

    /// Submits a job of the given kind and size and returns its specification.
    pub fn submit_sized(
        &mut self,
        workspace: usize,
        kind: JobKind,
        tasks: u32,
        resources: Resources,
    ) -> JobSpec {
        let number = self.next_job;
        self.next_job += 1;
        let (class, run_time_ms) = self.choose_run_time(kind);
        let spec = JobSpec {
            id: valid_name(JobId::new, &format!("j{number}")),
            workspace: self.workspace(workspace),
            name: Arc::from(format!("n{class}")),
            kind,
            priority: Priority::Normal,
            tasks,
            resources,
            run_time_ms: (kind != JobKind::Service).then_some(run_time_ms),
            zone: None,
            payload: Arc::from(""),
        };
        let accepted = self.sched.submit(spec.clone(), self.now_ms);
        accepted.expect("the job is acceptable");
        self.specs.insert(spec.id.clone(), (number, spec.clone()));
        spec
    }

    /// Submits a job of one task with a random workspace, kind and size.
    pub fn submit(&mut self) -> JobSpec {
        let rng = &mut self.rng;
        let kind = if rng.u8(0..5) == 0 {
            JobKind::Service
        } else {
            JobKind::Batch
        };
        let cores = *rng.choice(&[1, 2, 4, 4, 6, 8]).unwrap_or(&1);
        let memory = cores * rng.u64(2..6);
        let accelerators = if rng.u8(0..6) == 0 { rng.u64(1..4) } else { 0 };
        let need = Resources::new(cores * 1_000, memory * 1_024, accelerators);
        // Workspaces at their quota get no new jobs, so that the load is set by the others.
        let workspace =
            rng.usize(0..self.workspaces) / QUOTA_EVERY * QUOTA_EVERY + 1 + rng.usize(0..9);
        self.submit_sized(workspace, kind, 1, need)
    }

    /// Lets the scheduler decide and applies the decisions to the running tasks.
    pub fn decide(&mut self, limit: usize) -> Vec<Decision> {
        let decisions = self.sched.decide(self.now_ms, limit);
        for decision in &decisions {
            match decision {
                Decision::Start(run) => self.running.push(run.clone()),
                Decision::StartGang(runs) => self.running.extend(runs.iter().cloned()),
                Decision::Checkpoint(run) => {
                    self.running.retain(|known| known.task != run.task);
                    let result = TaskResult::Checkpointed;
                    let now_ms = self.now_ms;
                    self.sched
                        .record_end(&run.task, run.attempt, result, now_ms);
                }
            }
        }
        decisions
    }

    /// Records the success of the running task at an index and removes its job.
    pub fn end(&mut self, at: usize) {
        let run = self.running.swap_remove(at);
        let (result, now_ms) = (TaskResult::Succeeded, self.now_ms);
        self.sched
            .record_end(&run.task, run.attempt, result, now_ms);
        self.sched.remove_job(&run.task.job);
        self.specs.remove(&run.task.job);
    }

    /// Ends a random running task and submits a new job.
    pub fn replace_one(&mut self) {
        self.now_ms += START_INTERVAL_MS;
        let at = self.rng.usize(0..self.running.len());
        self.end(at);
        self.submit();
    }
}

/// Creates a pool with the naive scheduler and the workers, workspaces, jobs and running tasks of `from`.
pub fn copy_to_naive<S: PoolScheduler>(
    from: &SimulatedPool<S>,
    count: usize,
) -> SimulatedPool<NaiveScheduler> {
    let sched = NaiveScheduler::new(valid_name(Pool::new, "p"), Config::default());
    let mut pool = SimulatedPool::empty(sched, count, WORKSPACES);
    pool.now_ms = from.now_ms;
    pool.next_job = from.next_job;
    for share in &from.shares {
        pool.sched.upsert_workspace(share.clone());
    }
    let mut specs: Vec<&(usize, JobSpec)> = from.specs.values().collect();
    specs.sort_by_key(|(number, _)| *number);
    for (_, spec) in specs {
        let accepted = pool.sched.submit(spec.clone(), from.now_ms);
        accepted.expect("the job is acceptable");
    }
    for run in &from.running {
        pool.sched.restore_run(run.clone(), from.now_ms);
    }
    pool.running.clone_from(&from.running);
    pool
}
