//! A pool in the state of the design size, for the placement cases.

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

/// Workers of the design size.
pub const WORKERS: usize = 1_200;
/// Accelerators of the design size.
const ACCELERATORS: usize = 2_900;
/// Running tasks of the design size.
const TASKS: usize = 7_400;
/// Workspaces of the design size.
const WORKSPACES: usize = 280;
/// Accelerators of a worker that has any.
const PER_WORKER: usize = 8;
/// Every tenth workspace has reached its quota.
const QUOTA_WORKSPACES: usize = 10;
/// Waiting jobs that fit only an almost empty worker.
const LARGE_JOBS: usize = 300;
/// Time between two starts at the peak of 170 a second, in ms.
const STEP_MS: u64 = 6;

/// Shortest declared run time of a batch task in ms. Up to 32 times as long in powers of two, with the stragglers, the
/// mean is 41 s; 5,920 running tasks that are no services and 170 starts a second make 35 s.
const SHORTEST_RUN_MS: u64 = 3_000;
/// One batch task of this many is a straggler.
const STRAGGLER_EVERY: u32 = 100;
/// Declared run time of a straggler in ms.
const STRAGGLER_MS: u64 = 960_000;
/// Shortest declared run time of a gang in ms; the longest is 16 times as long.
const SHORTEST_GANG_MS: u64 = 30_000;

/// Makes a name; all names of the cases are valid.
pub fn name<T>(make: fn(&str) -> Result<T, NameError>, text: &str) -> T {
    make(text).expect("a valid name")
}

/// Workers of 32 cores and 128 GiB in racks of 8, with accelerators in the proportion of the design size.
pub fn workers(count: usize) -> Vec<WorkerSpec> {
    let accelerators = ACCELERATORS * count / WORKERS;
    let equipped = accelerators / PER_WORKER;
    let is_equipped = |number: usize| number * equipped / count != (number + 1) * equipped / count;
    let spec = |number: usize| {
        let own = if is_equipped(number) {
            PER_WORKER as u64
        } else {
            0
        };
        WorkerSpec {
            id: name(WorkerId::new, &format!("w{number}")),
            rack: name(Rack::new, &format!("r{}", number / 8)),
            capacity: Resources::new(32_000, 128 * 1_024, own),
        }
    };
    (0..count).map(spec).collect()
}

/// A scheduler under load.
pub struct Cell<S> {
    /// The scheduler.
    pub sched: S,
    /// Everything that runs.
    pub running: Vec<Assignment>,
    /// Simulated time in ms.
    pub now_ms: u64,
    /// Source of sizes and choices.
    pub rng: fastrand::Rng,
    /// Jobs that are not forgotten, with their order of submission.
    pub specs: BTreeMap<JobId, (usize, JobSpec)>,
    shares: Vec<WorkspaceShare>,
    next_job: usize,
    workspaces: usize,
}

impl<S: PoolScheduler> Cell<S> {
    /// Fills a pool with workers, workspaces, running tasks and waiting work in the proportions of the design size.
    pub fn new(sched: S, count: usize) -> Self {
        let mut cell = Self::empty(sched, count, WORKSPACES);
        let quota = Resources::new(1_000, 1_024, 0);
        for number in (0..WORKSPACES).step_by(QUOTA_WORKSPACES) {
            cell.set_quota(number, quota);
            cell.submit_sized(number, JobKind::Batch, 50, quota);
            cell.submit_sized(number, JobKind::Batch, 1, Resources::new(2_000, 1_024, 0));
        }
        let tasks = TASKS * count / WORKERS;
        while cell.running.len() < tasks {
            for _ in 0..(tasks - cell.running.len()).min(500) {
                cell.submit();
            }
            if cell.decide(1_000).is_empty() {
                break;
            }
        }
        for number in 0..LARGE_JOBS * count / WORKERS {
            let need = Resources::new(30_000, 100 * 1_024, 0);
            cell.submit_sized(number * 7 + 1, JobKind::Batch, 1, need);
        }
        cell.decide(10_000);
        cell
    }

    /// A pool with workers and workspaces only.
    pub fn empty(mut sched: S, count: usize, workspaces: usize) -> Self {
        for spec in workers(count) {
            sched.upsert_worker(spec, 0);
        }
        let mut cell = Self {
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
            cell.set_quota(number, quota);
        }
        cell
    }

    fn workspace(&self, number: usize) -> Workspace {
        name(Workspace::new, &format!("t{}", number % self.workspaces))
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

    /// Class and run time of the next job; jobs of one class share a name, as like jobs in a real cell do.
    fn run_time(&mut self, kind: JobKind) -> (u32, u64) {
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

    /// Submits a job of certain size and returns its specification.
    pub fn submit_sized(
        &mut self,
        workspace: usize,
        kind: JobKind,
        tasks: u32,
        resources: Resources,
    ) -> JobSpec {
        let number = self.next_job;
        self.next_job += 1;
        let (class, run_time_ms) = self.run_time(kind);
        let spec = JobSpec {
            id: name(JobId::new, &format!("j{number}")),
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

    /// Submits a job of one task of random workspace, kind and size.
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
        // Workspaces at their quota get no new work, so that the others decide the load.
        let workspace = rng.usize(0..self.workspaces) / QUOTA_WORKSPACES * QUOTA_WORKSPACES
            + 1
            + rng.usize(0..9);
        self.submit_sized(workspace, kind, 1, need)
    }

    /// Takes decisions and notes what runs.
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

    /// Ends a run with success and forgets its job where nothing of it is left.
    pub fn end(&mut self, at: usize) {
        let run = self.running.swap_remove(at);
        let (result, now_ms) = (TaskResult::Succeeded, self.now_ms);
        self.sched
            .record_end(&run.task, run.attempt, result, now_ms);
        self.sched.remove_job(&run.task.job);
        self.specs.remove(&run.task.job);
    }

    /// Ends a random run, and submits a job in its place.
    pub fn replace_one(&mut self) {
        self.now_ms += STEP_MS;
        let at = self.rng.usize(0..self.running.len());
        self.end(at);
        self.submit();
    }
}

/// Gives a naive scheduler the workers, workspaces, jobs and runs of another cell.
pub fn copy_to_naive<S: PoolScheduler>(from: &Cell<S>, count: usize) -> Cell<NaiveScheduler> {
    let sched = NaiveScheduler::new(name(Pool::new, "p"), Config::default());
    let mut cell = Cell::empty(sched, count, WORKSPACES);
    cell.now_ms = from.now_ms;
    cell.next_job = from.next_job;
    for share in &from.shares {
        cell.sched.upsert_workspace(share.clone());
    }
    let mut specs: Vec<&(usize, JobSpec)> = from.specs.values().collect();
    specs.sort_by_key(|(number, _)| *number);
    for (_, spec) in specs {
        let accepted = cell.sched.submit(spec.clone(), from.now_ms);
        accepted.expect("the job is acceptable");
    }
    for run in &from.running {
        cell.sched.restore_run(run.clone(), from.now_ms);
    }
    cell.running.clone_from(&from.running);
    cell
}
