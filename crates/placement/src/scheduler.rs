//! The scheduler of a pool: its state, and the rules that set the state and rank of job classes.

use {
    crate::{
        Config, Decision, PoolScheduler, PoolStats, SubmitError, WorkerSpec, WorkerState,
        WorkspaceShare,
        arena::Arena,
        estimate::{EstimateKey, Estimates, round_run_time},
        jobs::{Job, Run},
        policy::Policies,
        preemption::Preemptions,
        queue::{ClassKey, ClassState, Queue, Rank, ShapeKey},
        reservation::Reservation,
        workers::{RunKey, Workers},
        workspaces::Workspaces,
    },
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobKind, JobSpec, Pool, Priority, Resources, TaskId,
        TaskResult, WaitReason, WorkerId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Weighted share that a wait of 1 ms offsets in [`Rank::score`]. A wait of one minute offsets a share of one percent
/// of the pool at weight 100.
const AGING_PER_MS: u64 = 1_667;
/// Maximum number of freed workers that are compared with the blocked shapes one by one; with more, all shapes that may
/// fit are unblocked.
const MAX_FREED_COMPARED: usize = 8;
/// Additional wait after which a best-effort job class ranks like a normal one, in ms.
const BEST_EFFORT_DELAY_MS: u64 = 600_000;
/// Run time assumed for services, in ms (100 years); they end only on request.
const SERVICE_RUN_TIME_MS: u64 = 3_155_760_000_000;

/// Scheduler of one pool, with fair shares, reservations, preemption, size estimates and worker health.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) pool: Pool,
    pub(crate) cfg: Config,
    pub(crate) policies: Policies,
    pub(crate) workers: Workers,
    pub(crate) workspaces: Workspaces,
    pub(crate) queue: Queue,
    pub(crate) jobs: Arena<Job>,
    pub(crate) job_ids: BTreeMap<JobId, u32>,
    pub(crate) estimates: Estimates,
    pub(crate) classes_by_estimate: BTreeMap<EstimateKey, BTreeSet<u32>>,
    /// Runs by estimated end in ms.
    pub(crate) runs_by_end: BTreeSet<(u64, RunKey)>,
    /// Jobs in backoff, by its end in ms.
    pub(crate) backoffs: BTreeSet<(u64, u32)>,
    /// Backfilled runs by the time in ms at which they must leave their reserved worker.
    pub(crate) backfill_deadlines: BTreeSet<(u64, RunKey)>,
    /// Gangs with both running and queued tasks.
    pub(crate) partial_gangs: BTreeSet<u32>,
    /// Workers whose free resources may suffice for blocked shapes.
    pub(crate) freed_workers: BTreeSet<u32>,
    /// Shapes for which a search failed since resources were last freed.
    pub(crate) searched_shapes: BTreeSet<u32>,
    pub(crate) preemptions: Preemptions,
    pub(crate) reservation: Option<Reservation>,
    /// Time of the next regular plan of the reservation, in ms.
    pub(crate) next_plan_ms: u64,
    /// Earliest time of the next plan after planning failed because the job fits at no time, in ms.
    pub(crate) retry_plan_ms: u64,
    /// Submission number of the last submitted job.
    pub(crate) sequence: u64,
    pub(crate) queued: u64,
    pub(crate) running: u64,
    /// Whether worker sizes changed since the job classes were last checked against them.
    pub(crate) worker_sizes_changed: bool,
    /// Capacity to which the shares of workspaces are relative.
    pub(crate) total_capacity: Resources,
    pub(crate) now_ms: u64,
}

impl Scheduler {
    /// Creates a scheduler without workers, workspaces and jobs.
    #[must_use]
    pub fn new(pool: Pool, cfg: Config) -> Self {
        Self {
            policies: Policies::new(cfg.headroom_ppm),
            pool,
            cfg,
            workers: Workers::default(),
            workspaces: Workspaces::default(),
            queue: Queue::default(),
            jobs: Arena::default(),
            job_ids: BTreeMap::new(),
            estimates: Estimates::default(),
            classes_by_estimate: BTreeMap::new(),
            runs_by_end: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            backfill_deadlines: BTreeSet::new(),
            partial_gangs: BTreeSet::new(),
            freed_workers: BTreeSet::new(),
            searched_shapes: BTreeSet::new(),
            preemptions: Preemptions::default(),
            reservation: None,
            next_plan_ms: 0,
            retry_plan_ms: 0,
            sequence: 0,
            queued: 0,
            running: 0,
            worker_sizes_changed: false,
            total_capacity: Resources::ZERO,
            now_ms: 0,
        }
    }

    /// Returns the index of a job.
    pub(crate) fn find_job(&self, id: &JobId) -> Option<u32> {
        self.job_ids.get(id).copied()
    }

    /// Returns the job index and the run of a task, if the attempt is the current one.
    pub(crate) fn find_run(&self, task: &TaskId, attempt: Attempt) -> Option<(u32, &Run)> {
        let job = self.find_job(&task.job)?;
        let run = self.jobs[job].runs.get(&task.index)?;
        (run.attempt == attempt).then_some((job, run))
    }

    /// Returns the assignment of a run, as reported to the owner of the pool.
    pub(crate) fn assignment(&self, (job, index): RunKey) -> Assignment {
        let job = &self.jobs[job];
        let run = &job.runs[&index];
        job.assignment(index, run, &self.workers.get(run.worker).spec)
    }

    /// Returns the key of the size and run-time estimates of a job.
    pub(crate) fn estimate_key(&self, job: u32) -> EstimateKey {
        let class = &self.queue.class(self.jobs[job].class).key;
        (class.workspace, class.name.clone())
    }

    /// Updates a job class's need and run time from the estimates.
    pub(crate) fn refresh_estimate(&mut self, ix: u32) {
        let class = self.queue.class(ix);
        let key = (class.key.workspace, class.key.name.clone());
        let declared = class.key.declared;
        let mut need = self.estimates.size(&key, &declared, &self.cfg);
        // An estimate must not make a job unschedulable that is schedulable with its declared size.
        if self.unschedulable_reason(&class.key, &need).is_some() {
            need = declared;
        }
        let run_time_ms = match class.key.kind {
            JobKind::Service => SERVICE_RUN_TIME_MS,
            JobKind::Batch | JobKind::Gang => {
                let declared = (class.key.declared_ms > 0).then_some(class.key.declared_ms);
                let estimated = self.estimates.run_time_ms(&key);
                let run_time_ms = estimated.or(declared);
                round_run_time(run_time_ms.unwrap_or(self.cfg.default_run_time_ms))
            }
        };
        let shape = ShapeKey {
            need,
            run_time_ms,
            ..class.shape
        };
        self.queue.set_shape(ix, shape);
    }

    /// Returns why no task of size `need` can start with the current worker sizes and quotas, even in an empty pool.
    fn unschedulable_reason(&self, key: &ClassKey, need: &Resources) -> Option<WaitReason> {
        let mut sizes = self.workers.sizes().keys();
        if !sizes.any(|size| need.fits_in(size)) {
            let largest = self.workers.sizes().keys().next_back().copied();
            return Some(WaitReason::NoWorkerLargeEnough {
                need: *need,
                largest: largest.unwrap_or_default(),
            });
        }
        let quota = self.workspaces.get(key.workspace).share.quota;
        let tasks = key.gang_tasks;
        let total_need = need.checked_mul(u64::from(tasks.max(1)));
        if !total_need.is_some_and(|total_need| total_need.fits_in(&quota)) {
            return Some(WaitReason::LargerThanQuota { quota });
        }
        let possible = self.workers.max_tasks_when_empty(need, tasks);
        (possible < tasks).then(|| WaitReason::PoolTooSmall {
            pool: self.pool.clone(),
            possible,
            tasks,
        })
    }

    /// Returns the rank of a job class, and the time in ms from which its first job may get the reservation; `None` if
    /// no job is queued.
    fn rank(&self, ix: u32) -> Option<(Rank, u64)> {
        let class = self.queue.class(ix);
        let &(oldest_ms, _, first) = class.jobs.first()?;
        let workspace = self.workspaces.get(class.key.workspace);
        let waiting_since_ms = class.virtual_time_ms.max(oldest_ms);
        // The wait counts from the last start of the workspace, so that a workspace with a long backlog cannot displace
        // others while its jobs start regularly. For a best-effort class only its own starts matter, so that it is
        // eventually served although normal jobs of the same workspace start all the time.
        let aging_since_ms = match class.key.priority {
            Priority::BestEffort => waiting_since_ms + BEST_EFFORT_DELAY_MS,
            Priority::Normal | Priority::Urgent => workspace.last_start_ms.max(oldest_ms),
        };
        let share = workspace.weighted_share(&self.total_capacity);
        let rank = Rank {
            cannot_preempt: !self.jobs[first].may_preempt(),
            score: share.saturating_add(aging_since_ms.saturating_mul(AGING_PER_MS)),
            waiting_since_ms,
        };
        let delay_ms = match class.key.kind {
            JobKind::Gang => 0,
            JobKind::Service | JobKind::Batch => self.cfg.reserve_after_ms,
        };
        Some((rank, oldest_ms.saturating_add(delay_ms)))
    }

    /// Updates the state and rank of a job class after a change of its jobs, estimates, quota or worker sizes.
    pub(crate) fn update_class(&mut self, ix: u32) {
        let class = self.queue.class(ix);
        let workspace = self.workspaces.get_mut(class.key.workspace);
        workspace.waiting.remove(&ix);
        workspace.quota_blocked.remove(&ix);
        workspace.unschedulable.remove(&ix);
        let Some((rank, reserve_from_ms)) = self.rank(ix) else {
            self.queue.set_state(ix, ClassState::Empty);
            return;
        };
        // Worker sizes and quotas may have changed while the class was empty.
        if self.queue.class(ix).state == ClassState::Empty {
            self.refresh_estimate(ix);
        }
        let class = self.queue.class(ix);
        if let Some(reason) = self.unschedulable_reason(&class.key, &class.shape.need) {
            let workspace = self.workspaces.get_mut(class.key.workspace);
            workspace.unschedulable.insert(ix);
            self.queue.set_state(ix, ClassState::Unschedulable(reason));
            return;
        }
        let total_need = class.total_need();
        let workspace = self.workspaces.get_mut(class.key.workspace);
        if workspace.has_quota(&total_need) {
            workspace.waiting.insert(ix);
            self.queue.enqueue(ix, rank, reserve_from_ms);
        } else {
            workspace.quota_blocked.insert(ix);
            self.queue.set_state(ix, ClassState::QuotaBlocked);
        }
    }

    /// Updates the ranks of a workspace's waiting job classes after its usage changed, and blocks those whose next
    /// start would exceed the quota.
    pub(crate) fn update_waiting_classes(&mut self, workspace: u32) {
        let mut waiting = std::mem::take(&mut self.workspaces.get_mut(workspace).waiting);
        waiting.retain(|&ix| {
            let total_need = self.queue.class(ix).total_need();
            let entry = self.workspaces.get_mut(workspace);
            if !entry.has_quota(&total_need) {
                entry.quota_blocked.insert(ix);
                self.queue.set_state(ix, ClassState::QuotaBlocked);
                return false;
            }
            if let Some((rank, reserve_from_ms)) = self.rank(ix) {
                self.queue.enqueue(ix, rank, reserve_from_ms);
            }
            true
        });
        self.workspaces.get_mut(workspace).waiting = waiting;
    }

    /// Updates the states and ranks of a workspace's job classes after its usage fell.
    pub(crate) fn workspace_usage_shrank(&mut self, workspace: u32) {
        let entry = self.workspaces.get(workspace);
        let has_quota = |ix: &&u32| entry.has_quota(&self.queue.class(**ix).total_need());
        let freed: Vec<u32> = entry
            .quota_blocked
            .iter()
            .filter(has_quota)
            .copied()
            .collect();
        for ix in freed {
            self.update_class(ix);
        }
        self.update_waiting_classes(workspace);
    }

    /// Updates the estimates and states of all non-empty job classes of a workspace.
    fn update_workspace_classes(&mut self, workspace: u32) {
        let entry = self.workspaces.get(workspace);
        let waiting = entry.waiting.iter().chain(&entry.quota_blocked);
        let classes: Vec<u32> = waiting.chain(&entry.unschedulable).copied().collect();
        for ix in classes {
            self.refresh_estimate(ix);
            self.update_class(ix);
        }
    }

    /// Updates all job classes if worker sizes or the total capacity changed.
    pub(crate) fn apply_capacity_changes(&mut self) {
        let total = self.workers.capacity();
        if !std::mem::take(&mut self.worker_sizes_changed) && self.total_capacity == total {
            return;
        }
        self.total_capacity = total;
        for workspace in self.workspaces.indexes() {
            self.update_workspace_classes(workspace);
        }
    }

    /// Marks a worker whose free resources may suffice for a blocked shape, and allows another search for each shape.
    pub(crate) fn mark_freed(&mut self, worker: u32) {
        if self.workers.get(worker).accepts_tasks() {
            self.freed_workers.insert(worker);
            self.searched_shapes.clear();
        }
    }

    /// Unblocks shapes that may fit on the freed workers: the first one in rank, or all after many workers were freed.
    pub(crate) fn unblock_for_freed(&mut self) {
        let pool_free = self.workers.free();
        if self.freed_workers.len() > MAX_FREED_COMPARED {
            for worker in std::mem::take(&mut self.freed_workers) {
                let free = self.workers.get(worker).free();
                self.queue.unblock_fitting(&free, &pool_free);
            }
        }
        let mut first: Option<(Rank, u32)> = None;
        let workers = &self.workers;
        let (queue, searched_shapes) = (&self.queue, &self.searched_shapes);
        self.freed_workers.retain(|&worker| {
            let free = workers.get(worker).free();
            let best = queue.first_blocked(&free, &pool_free, searched_shapes);
            first = first.into_iter().chain(best).min();
            best.is_some()
        });
        if let Some((rank, shape)) = first {
            self.queue.unblock_if_first(rank, shape);
        }
    }

    /// Adds a job to the queue of its class or removes it, depending on its state, and updates the class.
    pub(crate) fn update_job(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        let has_queued = job.queued() > 0;
        let is_partial = job.is_gang() && !job.runs.is_empty();
        if is_partial && has_queued {
            self.partial_gangs.insert(ix);
        } else {
            self.partial_gangs.remove(&ix);
        }
        let wanted = has_queued && !is_partial && job.backoff_until_ms.is_none();
        let class = job.class;
        if job.in_queue != wanted {
            job.in_queue = wanted;
            let position = (job.submit_ms, job.sequence, ix);
            let jobs = &mut self.queue.class_mut(class).jobs;
            if wanted {
                jobs.insert(position);
            } else {
                jobs.remove(&position);
            }
            self.update_class(class);
        }
        // Preemption may make room for these jobs where none is free, so their shape is always searched.
        if wanted && self.jobs[ix].may_preempt() {
            self.queue.unblock_class(class);
        }
    }

    /// Updates the queued-task counts after a job's number of queued tasks changed from `before`.
    pub(crate) fn count_queued(&mut self, job: u32, before: u32) {
        let after = self.jobs[job].queued();
        let class = self.queue.class_mut(self.jobs[job].class);
        class.queued = class.queued + u64::from(after) - u64::from(before);
        self.queued = self.queued + u64::from(after) - u64::from(before);
    }

    fn class_key(&self, spec: &JobSpec) -> Option<ClassKey> {
        Some(ClassKey {
            workspace: self.workspaces.find(&spec.workspace)?,
            name: spec.name.clone(),
            kind: spec.kind,
            priority: spec.priority,
            declared: spec.resources,
            declared_ms: spec.run_time_ms.map_or(0, round_run_time),
            gang_tasks: match spec.kind {
                JobKind::Gang => spec.tasks,
                JobKind::Service | JobKind::Batch => 0,
            },
        })
    }

    /// Adds a member to the job class of a key, and creates the class if it is missing.
    fn join_class(&mut self, key: ClassKey) -> u32 {
        let estimate_key = (key.workspace, key.name.clone());
        let (class, is_new) = self.queue.add_member(key);
        if is_new {
            self.classes_by_estimate
                .entry(estimate_key)
                .or_default()
                .insert(class);
            self.refresh_estimate(class);
        }
        class
    }

    /// Removes a member from a job class, and all references to the class with its last member.
    pub(crate) fn leave_class(&mut self, class: u32) {
        let Some(key) = self.queue.remove_member(class) else {
            return;
        };
        let workspace = self.workspaces.get_mut(key.workspace);
        workspace.waiting.remove(&class);
        workspace.quota_blocked.remove(&class);
        workspace.unschedulable.remove(&class);
        let estimate_key = (key.workspace, key.name);
        if let Some(classes) = self.classes_by_estimate.get_mut(&estimate_key) {
            classes.remove(&class);
            if classes.is_empty() {
                self.classes_by_estimate.remove(&estimate_key);
            }
        }
    }
}

impl PoolScheduler for Scheduler {
    fn upsert_worker(&mut self, spec: WorkerSpec, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let existing = self.workers.find(&spec.id);
        let moved = existing.filter(|&ix| self.workers.get(ix).spec.rack != spec.rack);
        if let Some(ix) = moved {
            self.count_racks(ix, false);
        }
        let (ix, changed) = self.workers.upsert(spec);
        if moved.is_some() {
            self.count_racks(ix, true);
        }
        if changed {
            self.worker_sizes_changed = true;
            self.mark_freed(ix);
        }
    }

    fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState) {
        if let Some(ix) = self.workers.find(worker) {
            self.workers.set_state(ix, state);
            self.mark_freed(ix);
        }
    }

    fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment> {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(ix) = self.workers.find(worker) else {
            return Vec::new();
        };
        // Keeps tasks from being placed on the worker while its runs are ended one by one.
        self.workers.set_state(ix, WorkerState::Silent);
        let runs: Vec<RunKey> = self.workers.get(ix).runs.iter().copied().collect();
        let mut lost = Vec::with_capacity(runs.len());
        for run in runs {
            lost.push(self.assignment(run));
            self.end_run(run, TaskResult::Lost);
        }
        self.unreserve_worker(ix);
        self.freed_workers.remove(&ix);
        self.workers.remove(ix);
        self.worker_sizes_changed = true;
        lost
    }

    fn upsert_workspace(&mut self, share: WorkspaceShare) {
        let ix = self.workspaces.upsert(share);
        self.update_workspace_classes(ix);
    }

    fn submit(&mut self, spec: JobSpec, now_ms: u64) -> Result<(), SubmitError> {
        self.now_ms = self.now_ms.max(now_ms);
        if let Some(job) = self.find_job(&spec.id) {
            if self.jobs[job].spec == spec {
                return Ok(());
            }
            return Err(SubmitError::Conflict { job: spec.id });
        }
        let Some(key) = self.class_key(&spec) else {
            return Err(SubmitError::UnknownWorkspace {
                workspace: spec.workspace,
            });
        };
        let limit = self.cfg.max_queued_tasks;
        if self.queued + u64::from(spec.tasks) > limit as u64 {
            return Err(SubmitError::QueueFull { limit });
        }
        let class = self.join_class(key);
        self.sequence += 1;
        let id = spec.id.clone();
        let job = self
            .jobs
            .insert(Job::new(spec, class, now_ms, self.sequence));
        self.job_ids.insert(id, job);
        self.count_queued(job, 0);
        self.update_job(job);
        Ok(())
    }

    fn restore_run(&mut self, assignment: Assignment, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        self.apply_restored_run(&assignment);
    }

    fn restore_succeeded(&mut self, task: &TaskId) {
        let Some(ix) = self.find_job(&task.job) else {
            return;
        };
        let before = self.jobs[ix].queued();
        self.jobs[ix].take_task(task.index);
        self.count_queued(ix, before);
        self.update_job(ix);
    }

    fn restore_attempt(&mut self, task: &TaskId, attempt: Attempt) {
        if let Some(ix) = self.find_job(&task.job) {
            self.jobs[ix].raise_attempt(task.index, attempt);
        }
    }

    fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<Decision> {
        self.now_ms = self.now_ms.max(now_ms);
        self.take_decisions(limit)
    }

    fn record_start(&mut self, task: &TaskId, attempt: Attempt, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if let Some((_, run)) = self.find_run(task, attempt) {
            let worker = run.worker;
            self.workers.start_succeeded(worker);
            self.mark_freed(worker);
        }
    }

    fn record_end(&mut self, task: &TaskId, attempt: Attempt, result: TaskResult, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if let Some((job, _)) = self.find_run(task, attempt) {
            self.end_run((job, task.index), result);
        }
    }

    fn record_usage(&mut self, task: &TaskId, attempt: Attempt, used: Resources) {
        let Some((job, run)) = self.find_run(task, attempt) else {
            return;
        };
        let allocated = run.size;
        let key = self.estimate_key(job);
        if self.estimates.record_usage(&key, &allocated, &used) {
            self.refresh_classes(&key);
        }
    }

    fn cancel(&mut self, job: &JobId, now_ms: u64) -> Vec<Assignment> {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(ix) = self.find_job(job) else {
            return Vec::new();
        };
        let before = self.jobs[ix].queued();
        let job = &mut self.jobs[ix];
        job.cancelled = true;
        job.drop_queued();
        if let Some(until) = job.backoff_until_ms.take() {
            self.backoffs.remove(&(until, ix));
        }
        let runs: Vec<u32> = job.runs.keys().copied().collect();
        self.count_queued(ix, before);
        self.update_job(ix);
        let runs = runs.into_iter();
        runs.map(|index| self.assignment((ix, index))).collect()
    }

    fn remove_job(&mut self, job: &JobId) {
        let Some(ix) = self.find_job(job) else {
            return;
        };
        if self.jobs[ix].queued() > 0 || !self.jobs[ix].runs.is_empty() {
            return;
        }
        self.job_ids.remove(job);
        if let Some(job) = self.jobs.remove(ix) {
            self.leave_class(job.class);
        }
    }

    fn explain(&self, job: &JobId, now_ms: u64) -> Option<WaitReason> {
        self.wait_reason(self.find_job(job)?, now_ms)
    }

    fn stats(&self) -> PoolStats {
        PoolStats {
            capacity: self.workers.capacity(),
            reserved: self.workers.allocated(),
            queued: self.queued,
            running: self.running,
            quarantined: self.workers.quarantined() as u64,
        }
    }
}
