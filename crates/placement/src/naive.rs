//! Reference scheduler: first come, first served, by full scans.
//!
//! It is the reference model of the differential tests and the baseline of the benchmarks. It has no fair shares,
//! reservations, size estimates or worker health. It starts the oldest job that fits, on the worker that is left with
//! the least free capacity.

use {
    crate::{
        Config, Decision, PoolScheduler, PoolStats, SubmitError, WorkerSpec, WorkerState,
        WorkspaceShare,
    },
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobKind, JobSpec, Pool, Resources, TaskId, TaskResult,
        WaitReason, WorkerId, Workspace,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A worker with its allocated resources.
#[derive(Debug, Clone)]
struct Worker {
    spec: WorkerSpec,
    state: WorkerState,
    allocated: Resources,
}

/// A job with the state of its tasks.
#[derive(Debug, Clone)]
struct Job {
    spec: JobSpec,
    queued: BTreeSet<u32>,
    running: BTreeMap<u32, Assignment>,
    attempts: BTreeMap<u32, u32>,
    cancelled: bool,
}

/// Scheduler that scans all jobs and workers for each decision.
#[derive(Debug, Clone)]
pub struct NaiveScheduler {
    pool: Pool,
    cfg: Config,
    workers: BTreeMap<WorkerId, Worker>,
    workspaces: BTreeMap<Workspace, WorkspaceShare>,
    used: BTreeMap<Workspace, Resources>,
    jobs: BTreeMap<JobId, Job>,
    submission_order: Vec<JobId>,
}

impl NaiveScheduler {
    /// Creates a scheduler without workers, workspaces and jobs.
    #[must_use]
    pub const fn new(pool: Pool, cfg: Config) -> Self {
        Self {
            pool,
            cfg,
            workers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            used: BTreeMap::new(),
            jobs: BTreeMap::new(),
            submission_order: Vec::new(),
        }
    }

    /// Iterates over all runs, ordered by job and task.
    pub fn runs(&self) -> impl Iterator<Item = &Assignment> {
        self.jobs.values().flat_map(|job| job.running.values())
    }

    /// Returns whether the allocated resources of every worker fit into its capacity, and those of every workspace into
    /// its quota.
    #[must_use]
    pub fn is_within_bounds(&self) -> bool {
        let workers = self.workers.values();
        let mut workspaces = self.workspaces.values();
        workers
            .clone()
            .all(|worker| worker.allocated.fits_in(&worker.spec.capacity))
            && workspaces.all(|share| self.workspace_used(&share.workspace).fits_in(&share.quota))
    }

    fn workspace_used(&self, workspace: &Workspace) -> Resources {
        self.used.get(workspace).copied().unwrap_or_default()
    }

    fn queued_tasks(&self) -> usize {
        self.jobs.values().map(|job| job.queued.len()).sum()
    }

    fn allocate(&mut self, run: &Assignment, workspace: &Workspace) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.allocated += run.resources;
        }
        *self.used.entry(workspace.clone()).or_default() += run.resources;
    }

    fn release(&mut self, run: &Assignment, workspace: &Workspace) {
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.allocated = worker.allocated.saturating_sub(&run.resources);
        }
        if let Some(used) = self.used.get_mut(workspace) {
            *used = used.saturating_sub(&run.resources);
        }
    }

    fn best_fit(&self, need: &Resources) -> Option<WorkerId> {
        let ready = |worker: &&Worker| worker.state == WorkerState::Ready;
        let room = |worker: &Worker| worker.spec.capacity.saturating_sub(&worker.allocated);
        self.workers
            .values()
            .filter(ready)
            .filter(|worker| need.fits_in(&room(worker)))
            .min_by_key(|worker| {
                room(worker)
                    .saturating_sub(need)
                    .dominant_share_ppm(&worker.spec.capacity)
            })
            .map(|worker| worker.spec.id.clone())
    }

    fn start(&mut self, id: &JobId, index: u32) -> Option<Assignment> {
        let job = self.jobs.get(id)?;
        let (workspace, need) = (job.spec.workspace.clone(), job.spec.resources);
        let quota = self.workspaces.get(&workspace)?.quota;
        if !(self.workspace_used(&workspace) + need).fits_in(&quota) {
            return None;
        }
        let worker = self.best_fit(&need)?;
        let job = self.jobs.get_mut(id)?;
        let attempt = job.attempts.entry(index).or_default();
        *attempt += 1;
        let run = Assignment {
            task: TaskId {
                job: id.clone(),
                index,
            },
            attempt: Attempt(*attempt),
            worker,
            resources: need,
        };
        job.queued.remove(&index);
        job.running.insert(index, run.clone());
        self.allocate(&run, &workspace);
        Some(run)
    }

    fn undo_start(&mut self, run: &Assignment) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        job.running.remove(&run.task.index);
        job.queued.insert(run.task.index);
        job.attempts
            .insert(run.task.index, run.attempt.0.saturating_sub(1));
        let workspace = job.spec.workspace.clone();
        self.release(run, &workspace);
    }

    fn start_gang(&mut self, id: &JobId) -> Option<Decision> {
        let job = self.jobs.get(id)?;
        if !job.running.is_empty() {
            return None;
        }
        let mut started = Vec::new();
        for index in job.queued.clone() {
            let Some(run) = self.start(id, index) else {
                for run in started.iter().rev() {
                    self.undo_start(run);
                }
                return None;
            };
            started.push(run);
        }
        Some(Decision::StartGang(started))
    }

    fn next_decision(&mut self) -> Option<Decision> {
        for id in self.submission_order.clone() {
            let job = &self.jobs[&id];
            let Some(&first) = job.queued.first() else {
                continue;
            };
            let decision = match job.spec.kind {
                JobKind::Gang => self.start_gang(&id),
                JobKind::Service | JobKind::Batch => self.start(&id, first).map(Decision::Start),
            };
            if decision.is_some() {
                return decision;
            }
        }
        None
    }
}

impl PoolScheduler for NaiveScheduler {
    fn upsert_worker(&mut self, spec: WorkerSpec, _now_ms: u64) {
        let runs = self.runs().filter(|run| run.worker == spec.id);
        let allocated = runs.fold(Resources::ZERO, |sum, run| sum + run.resources);
        let state = WorkerState::Ready;
        let worker = self.workers.entry(spec.id.clone()).or_insert(Worker {
            spec: spec.clone(),
            state,
            allocated,
        });
        worker.spec = spec;
    }

    fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.state = state;
        }
    }

    fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment> {
        let runs: Vec<Assignment> = self
            .runs()
            .filter(|run| run.worker == *worker)
            .cloned()
            .collect();
        self.workers.remove(worker);
        for run in &runs {
            self.record_end(&run.task, run.attempt, TaskResult::Lost, now_ms);
        }
        runs
    }

    fn upsert_workspace(&mut self, share: WorkspaceShare) {
        self.workspaces.insert(share.workspace.clone(), share);
    }

    fn submit(&mut self, spec: JobSpec, _now_ms: u64) -> Result<(), SubmitError> {
        if let Some(job) = self.jobs.get(&spec.id) {
            if job.spec == spec {
                return Ok(());
            }
            return Err(SubmitError::Conflict { job: spec.id });
        }
        if !self.workspaces.contains_key(&spec.workspace) {
            return Err(SubmitError::UnknownWorkspace {
                workspace: spec.workspace,
            });
        }
        let limit = self.cfg.max_queued_tasks;
        if self.queued_tasks() + spec.tasks as usize > limit {
            return Err(SubmitError::QueueFull { limit });
        }
        self.submission_order.push(spec.id.clone());
        let job = Job {
            queued: (0..spec.tasks).collect(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            cancelled: false,
            spec: spec.clone(),
        };
        self.jobs.insert(spec.id, job);
        Ok(())
    }

    fn restore_run(&mut self, assignment: Assignment, _now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&assignment.task.job) else {
            return;
        };
        let index = assignment.task.index;
        let workspace = job.spec.workspace.clone();
        let current = job.running.get(&index).cloned();
        if current
            .as_ref()
            .is_some_and(|run| run.attempt >= assignment.attempt)
        {
            return;
        }
        job.queued.remove(&index);
        let attempt = job.attempts.entry(index).or_default();
        *attempt = (*attempt).max(assignment.attempt.0);
        job.running.insert(index, assignment.clone());
        if let Some(run) = current {
            self.release(&run, &workspace);
        }
        self.allocate(&assignment, &workspace);
    }

    fn restore_succeeded(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.queued.remove(&task.index);
        }
    }

    fn restore_attempt(&mut self, task: &TaskId, attempt: Attempt) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let current = job.attempts.entry(task.index).or_default();
            *current = (*current).max(attempt.0);
        }
    }

    fn decide(&mut self, _now_ms: u64, limit: usize) -> Vec<Decision> {
        std::iter::from_fn(|| self.next_decision())
            .take(limit)
            .collect()
    }

    fn record_start(&mut self, _task: &TaskId, _attempt: Attempt, _now_ms: u64) {}

    fn record_end(&mut self, task: &TaskId, attempt: Attempt, result: TaskResult, _now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(run) = job.running.get(&task.index).cloned() else {
            return;
        };
        if run.attempt != attempt {
            return;
        }
        job.running.remove(&task.index);
        if result != TaskResult::Succeeded && !job.cancelled {
            job.queued.insert(task.index);
        }
        let workspace = job.spec.workspace.clone();
        self.release(&run, &workspace);
    }

    fn record_usage(&mut self, _task: &TaskId, _attempt: Attempt, _used: Resources) {}

    fn cancel(&mut self, job: &JobId, _now_ms: u64) -> Vec<Assignment> {
        let Some(job) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        job.cancelled = true;
        job.queued.clear();
        job.running.values().cloned().collect()
    }

    fn remove_job(&mut self, job: &JobId) {
        let idle = |job: &Job| job.queued.is_empty() && job.running.is_empty();
        if self.jobs.get(job).is_some_and(idle) {
            self.jobs.remove(job);
            self.submission_order.retain(|id| id != job);
        }
    }

    fn explain(&self, job: &JobId, _now_ms: u64) -> Option<WaitReason> {
        let job = self.jobs.get(job)?;
        if job.queued.is_empty() {
            return None;
        }
        let need = job.spec.resources;
        let quota = self.workspaces.get(&job.spec.workspace)?.quota;
        let capacities = self.workers.values().map(|worker| worker.spec.capacity);
        if !capacities.clone().any(|capacity| need.fits_in(&capacity)) {
            let largest = capacities.max().unwrap_or_default();
            return Some(WaitReason::NoWorkerLargeEnough { need, largest });
        }
        let total_need = match job.spec.kind {
            JobKind::Gang => need.checked_mul(job.spec.tasks.into())?,
            JobKind::Service | JobKind::Batch => need,
        };
        if !total_need.fits_in(&quota) {
            return Some(WaitReason::LargerThanQuota { quota });
        }
        if job.spec.kind == JobKind::Gang {
            let tasks_that_fit = |capacity: Resources| {
                let mut count = 0;
                while need
                    .checked_mul(u64::from(count) + 1)
                    .is_some_and(|sum| sum.fits_in(&capacity))
                {
                    count += 1;
                }
                count
            };
            let possible = capacities.map(tasks_that_fit).sum();
            let tasks = job.spec.tasks;
            if possible < tasks {
                let pool = self.pool.clone();
                return Some(WaitReason::PoolTooSmall {
                    pool,
                    possible,
                    tasks,
                });
            }
        }
        if !(self.workspace_used(&job.spec.workspace) + total_need).fits_in(&quota) {
            return Some(WaitReason::QuotaInUse { quota });
        }
        let before = self
            .submission_order
            .iter()
            .take_while(|id| **id != job.spec.id);
        let ahead = before.map(|id| self.jobs[id].queued.len() as u64).sum();
        Some(WaitReason::WaitingForRoom { ahead })
    }

    fn stats(&self) -> PoolStats {
        let responding = self.workers.values();
        let responding = responding.filter(|worker| worker.state != WorkerState::Silent);
        PoolStats {
            capacity: responding.fold(Resources::ZERO, |sum, worker| sum + worker.spec.capacity),
            reserved: self
                .runs()
                .fold(Resources::ZERO, |sum, run| sum + run.resources),
            queued: self.queued_tasks() as u64,
            running: self.runs().count() as u64,
            quarantined: 0,
        }
    }
}
