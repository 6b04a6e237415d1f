//! The scheduler of a pool: its state, and the rules that decide where a lane waits.

use {
    crate::{
        Config, Decision, PoolScheduler, PoolStats, SubmitError, WorkerSpec, WorkerState,
        WorkspaceShare,
        arena::Arena,
        estimate::{EstimateKey, Estimates, round_run_time},
        gather::Reservation,
        jobs::{Job, Run},
        policy::Policies,
        queue::{LaneKey, Place, Queue, Rank, ShapeKey},
        reclaim::Claims,
        workers::{RunKey, Workers},
        workspaces::Workspaces,
    },
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobKind, JobSpec, Pool, Priority, Resources, TaskId,
        TaskResult, WaitReason, WorkerId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Weighted share that a wait of one millisecond is worth. A minute equals one percent of the pool at weight 100.
const AGING_PER_MS: u64 = 1_667;
/// Freed workers that are compared with the closed shapes one by one; with more, all shapes that fit are opened.
const MAX_FREED: usize = 8;
/// Wait that puts a best-effort lane level with a normal one, in ms.
const BEST_EFFORT_DELAY_MS: u64 = 600_000;
/// Run time assumed for services, in ms (100 years); they end only on request.
const SERVICE_RUN_TIME_MS: u64 = 3_155_760_000_000;

/// Scheduler of one pool.
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
    pub(crate) lanes_of: BTreeMap<EstimateKey, BTreeSet<u32>>,
    /// Runs by estimated end.
    pub(crate) ends: BTreeSet<(u64, RunKey)>,
    /// Jobs that are backed off, by the end of the wait.
    pub(crate) back_offs: BTreeSet<(u64, u32)>,
    /// Runs that must leave a held worker, by the latest time.
    pub(crate) leave_by: BTreeSet<(u64, RunKey)>,
    /// Gangs of which some tasks run and others do not.
    pub(crate) partial_gangs: BTreeSet<u32>,
    /// Workers with room that may suffice for closed shapes.
    pub(crate) freed: BTreeSet<u32>,
    /// Shapes for which a search failed since room was last freed.
    pub(crate) tried: BTreeSet<u32>,
    pub(crate) claims: Claims,
    pub(crate) reservation: Option<Reservation>,
    /// Time of the next regular plan, in ms.
    pub(crate) next_plan_ms: u64,
    /// Time before which no plan is made after one that found no room, in ms.
    pub(crate) retry_plan_ms: u64,
    pub(crate) sequence: u64,
    pub(crate) queued: u64,
    pub(crate) running: u64,
    /// Whether worker sizes changed since lanes were last checked against them.
    pub(crate) sizes_changed: bool,
    /// Capacity by which shares are computed.
    pub(crate) total: Resources,
    pub(crate) now_ms: u64,
}

impl Scheduler {
    /// Makes a scheduler without workers, workspaces or jobs.
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
            lanes_of: BTreeMap::new(),
            ends: BTreeSet::new(),
            back_offs: BTreeSet::new(),
            leave_by: BTreeSet::new(),
            partial_gangs: BTreeSet::new(),
            freed: BTreeSet::new(),
            tried: BTreeSet::new(),
            claims: Claims::default(),
            reservation: None,
            next_plan_ms: 0,
            retry_plan_ms: 0,
            sequence: 0,
            queued: 0,
            running: 0,
            sizes_changed: false,
            total: Resources::ZERO,
            now_ms: 0,
        }
    }

    /// Index of a job by its identifier.
    pub(crate) fn find_job(&self, id: &JobId) -> Option<u32> {
        self.job_ids.get(id).copied()
    }

    /// The run of a task, if the attempt is the current one.
    pub(crate) fn find_run(&self, task: &TaskId, attempt: Attempt) -> Option<(u32, &Run)> {
        let job = self.find_job(&task.job)?;
        let run = self.jobs[job].runs.get(&task.index)?;
        (run.attempt == attempt).then_some((job, run))
    }

    /// A run as the owner of the pool knows it.
    pub(crate) fn assignment(&self, (job, index): RunKey) -> Assignment {
        let job = &self.jobs[job];
        let run = &job.runs[&index];
        job.assignment(index, run, &self.workers.get(run.worker).spec)
    }

    /// Key under which sizes and run times of a job are learned.
    pub(crate) fn estimate_key(&self, job: u32) -> EstimateKey {
        let lane = &self.queue.lane(self.jobs[job].lane).key;
        (lane.workspace, lane.name.clone())
    }

    /// Brings a lane's need and run time up to date with what was learned.
    pub(crate) fn refresh_estimate(&mut self, ix: u32) {
        let lane = self.queue.lane(ix);
        let key = (lane.key.workspace, lane.key.name.clone());
        let declared = lane.key.declared;
        let mut need = self.estimates.size(&key, &declared, &self.cfg);
        // A learned size never makes work impossible that is possible as declared.
        if self.impossible(&lane.key, &need).is_some() {
            need = declared;
        }
        let run_time_ms = match lane.key.kind {
            JobKind::Service => SERVICE_RUN_TIME_MS,
            JobKind::Batch | JobKind::Gang => {
                let declared = (lane.key.declared_ms > 0).then_some(lane.key.declared_ms);
                let learned = self.estimates.run_time_ms(&key);
                let known = learned.or(declared);
                round_run_time(known.unwrap_or(self.cfg.default_run_time_ms))
            }
        };
        let shape = ShapeKey {
            need,
            run_time_ms,
            ..lane.shape
        };
        self.queue.set_shape(ix, shape);
    }

    /// Why no task of a lane can ever start with the present sizes and quotas, if it needs `need`.
    fn impossible(&self, key: &LaneKey, need: &Resources) -> Option<WaitReason> {
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
        let whole = need.checked_mul(u64::from(tasks.max(1)));
        if !whole.is_some_and(|whole| whole.fits_in(&quota)) {
            return Some(WaitReason::LargerThanQuota { quota });
        }
        let possible = self.workers.empty_slots(need, tasks);
        (possible < tasks).then(|| WaitReason::PoolTooSmall {
            pool: self.pool.clone(),
            possible,
            tasks,
        })
    }

    /// Rank of a lane, and the time from which its first job may gather room.
    fn rank(&self, ix: u32) -> Option<(Rank, u64)> {
        let lane = self.queue.lane(ix);
        let &(oldest_ms, _, first) = lane.jobs.first()?;
        let workspace = self.workspaces.get(lane.key.workspace);
        let since_ms = lane.served_until_ms.max(oldest_ms);
        // A workspace that is served regularly does not age, so its backlog cannot displace other workspaces. A best-effort lane
        // ages by its own starts, so that it is served in the end beside the same workspace's normal work.
        let aged_ms = match lane.key.priority {
            Priority::BestEffort => since_ms + BEST_EFFORT_DELAY_MS,
            Priority::Normal | Priority::Urgent => workspace.last_start_ms.max(oldest_ms),
        };
        let share = workspace.weighted_share(&self.total);
        let rank = Rank {
            not_urgent: !self.jobs[first].may_reclaim(),
            score: share.saturating_add(aged_ms.saturating_mul(AGING_PER_MS)),
            since_ms,
        };
        let delay_ms = match lane.key.kind {
            JobKind::Gang => 0,
            JobKind::Service | JobKind::Batch => self.cfg.reserve_after_ms,
        };
        Some((rank, oldest_ms.saturating_add(delay_ms)))
    }

    /// Puts a lane where it belongs.
    pub(crate) fn settle(&mut self, ix: u32) {
        let lane = self.queue.lane(ix);
        let workspace = self.workspaces.get_mut(lane.key.workspace);
        workspace.listed.remove(&ix);
        workspace.quota_blocked.remove(&ix);
        workspace.parked.remove(&ix);
        let Some((rank, gather_ms)) = self.rank(ix) else {
            self.queue.set_place(ix, Place::Idle);
            return;
        };
        // Sizes and quotas may have changed while the lane was idle.
        if self.queue.lane(ix).place == Place::Idle {
            self.refresh_estimate(ix);
        }
        let lane = self.queue.lane(ix);
        if let Some(reason) = self.impossible(&lane.key, &lane.shape.need) {
            let workspace = self.workspaces.get_mut(lane.key.workspace);
            workspace.parked.insert(ix);
            self.queue.set_place(ix, Place::Parked(reason));
            return;
        }
        let whole = lane.whole();
        let workspace = self.workspaces.get_mut(lane.key.workspace);
        if workspace.has_quota(&whole) {
            workspace.listed.insert(ix);
            self.queue.list(ix, rank, gather_ms);
        } else {
            workspace.quota_blocked.insert(ix);
            self.queue.set_place(ix, Place::QuotaBlocked);
        }
    }

    /// Brings the ranks of a workspace's lanes up to date after its usage grew.
    pub(crate) fn workspace_grew(&mut self, workspace: u32) {
        let mut listed = std::mem::take(&mut self.workspaces.get_mut(workspace).listed);
        listed.retain(|&ix| {
            let whole = self.queue.lane(ix).whole();
            let entry = self.workspaces.get_mut(workspace);
            if !entry.has_quota(&whole) {
                entry.quota_blocked.insert(ix);
                self.queue.set_place(ix, Place::QuotaBlocked);
                return false;
            }
            if let Some((rank, gather_ms)) = self.rank(ix) {
                self.queue.list(ix, rank, gather_ms);
            }
            true
        });
        self.workspaces.get_mut(workspace).listed = listed;
    }

    /// Brings the ranks of a workspace's lanes up to date after its usage fell.
    pub(crate) fn workspace_shrank(&mut self, workspace: u32) {
        let entry = self.workspaces.get(workspace);
        let has_quota = |ix: &&u32| entry.has_quota(&self.queue.lane(**ix).whole());
        let freed: Vec<u32> = entry
            .quota_blocked
            .iter()
            .filter(has_quota)
            .copied()
            .collect();
        for ix in freed {
            self.settle(ix);
        }
        self.workspace_grew(workspace);
    }

    /// Settles all lanes of a workspace again.
    fn settle_workspace(&mut self, workspace: u32) {
        let entry = self.workspaces.get(workspace);
        let listed = entry.listed.iter().chain(&entry.quota_blocked);
        let lanes: Vec<u32> = listed.chain(&entry.parked).copied().collect();
        for ix in lanes {
            self.refresh_estimate(ix);
            self.settle(ix);
        }
    }

    /// Checks lanes against changed sizes and shares against the changed total.
    pub(crate) fn apply_size_changes(&mut self) {
        let total = self.workers.capacity();
        if !std::mem::take(&mut self.sizes_changed) && self.total == total {
            return;
        }
        self.total = total;
        for workspace in self.workspaces.indexes() {
            self.settle_workspace(workspace);
        }
    }

    /// Notes that a worker may have room for work that found none.
    pub(crate) fn room_freed(&mut self, worker: u32) {
        if self.workers.get(worker).takes_tasks() {
            self.freed.insert(worker);
            self.tried.clear();
        }
    }

    /// Opens the shapes that the freed workers may have room for: the first one in rank, or all after a large change.
    pub(crate) fn open_for_freed(&mut self) {
        let pool_free = self.workers.free();
        if self.freed.len() > MAX_FREED {
            for worker in std::mem::take(&mut self.freed) {
                let free = self.workers.get(worker).free();
                self.queue.open_fitting(&free, &pool_free);
            }
        }
        let mut first: Option<(Rank, u32)> = None;
        let workers = &self.workers;
        let (queue, tried) = (&self.queue, &self.tried);
        self.freed.retain(|&worker| {
            let free = workers.get(worker).free();
            let best = queue.best_closed(&free, &pool_free, tried);
            first = first.into_iter().chain(best).min();
            best.is_some()
        });
        if let Some((rank, shape)) = first {
            self.queue.open_if_first(rank, shape);
        }
    }

    /// Puts a job into its lane or takes it out, and settles the lane.
    pub(crate) fn update_job(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        let has_queued = job.queued() > 0;
        let is_partial = job.is_gang() && !job.runs.is_empty();
        if is_partial && has_queued {
            self.partial_gangs.insert(ix);
        } else {
            self.partial_gangs.remove(&ix);
        }
        let wanted = has_queued && !is_partial && job.back_off_until.is_none();
        let lane = job.lane;
        if job.listed != wanted {
            job.listed = wanted;
            let position = (job.submit_ms, job.sequence, ix);
            let jobs = &mut self.queue.lane_mut(lane).jobs;
            if wanted {
                jobs.insert(position);
            } else {
                jobs.remove(&position);
            }
            self.settle(lane);
        }
        // Room may be made for such work even where none is free, so it is always tried.
        if wanted && self.jobs[ix].may_reclaim() {
            self.queue.reopen(lane);
        }
    }

    /// Counts queued tasks of a job that were added or taken.
    pub(crate) fn count_queued(&mut self, job: u32, before: u32) {
        let after = self.jobs[job].queued();
        let lane = self.queue.lane_mut(self.jobs[job].lane);
        lane.queued = lane.queued + u64::from(after) - u64::from(before);
        self.queued = self.queued + u64::from(after) - u64::from(before);
    }

    fn lane_key(&self, spec: &JobSpec) -> Option<LaneKey> {
        Some(LaneKey {
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

    /// Adds a member to the lane of a key.
    fn join_lane(&mut self, key: LaneKey) -> u32 {
        let learned = (key.workspace, key.name.clone());
        let (lane, is_new) = self.queue.join(key);
        if is_new {
            self.lanes_of.entry(learned).or_default().insert(lane);
            self.refresh_estimate(lane);
        }
        lane
    }

    /// Removes a member from a lane.
    pub(crate) fn leave_lane(&mut self, lane: u32) {
        let Some(key) = self.queue.leave(lane) else {
            return;
        };
        let workspace = self.workspaces.get_mut(key.workspace);
        workspace.listed.remove(&lane);
        workspace.quota_blocked.remove(&lane);
        workspace.parked.remove(&lane);
        let learned = (key.workspace, key.name);
        if let Some(lanes) = self.lanes_of.get_mut(&learned) {
            lanes.remove(&lane);
            if lanes.is_empty() {
                self.lanes_of.remove(&learned);
            }
        }
    }
}

impl PoolScheduler for Scheduler {
    fn upsert_worker(&mut self, spec: WorkerSpec, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let known = self.workers.find(&spec.id);
        let moved = known.filter(|&ix| self.workers.get(ix).spec.rack != spec.rack);
        if let Some(ix) = moved {
            self.count_racks(ix, false);
        }
        let (ix, changed) = self.workers.upsert(spec);
        if moved.is_some() {
            self.count_racks(ix, true);
        }
        if changed {
            self.sizes_changed = true;
            self.room_freed(ix);
        }
    }

    fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState) {
        if let Some(ix) = self.workers.find(worker) {
            self.workers.set_state(ix, state);
            self.room_freed(ix);
        }
    }

    fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment> {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(ix) = self.workers.find(worker) else {
            return Vec::new();
        };
        // The worker takes no task while its runs end one by one.
        self.workers.set_state(ix, WorkerState::Silent);
        let runs: Vec<RunKey> = self.workers.get(ix).runs.iter().copied().collect();
        let mut lost = Vec::with_capacity(runs.len());
        for run in runs {
            lost.push(self.assignment(run));
            self.end_run(run, TaskResult::Lost);
        }
        self.drop_hold(ix);
        self.freed.remove(&ix);
        self.workers.remove(ix);
        self.sizes_changed = true;
        lost
    }

    fn upsert_workspace(&mut self, share: WorkspaceShare) {
        let ix = self.workspaces.upsert(share);
        self.settle_workspace(ix);
    }

    fn submit(&mut self, spec: JobSpec, now_ms: u64) -> Result<(), SubmitError> {
        self.now_ms = self.now_ms.max(now_ms);
        if let Some(job) = self.find_job(&spec.id) {
            if self.jobs[job].spec == spec {
                return Ok(());
            }
            return Err(SubmitError::Conflict { job: spec.id });
        }
        let Some(key) = self.lane_key(&spec) else {
            return Err(SubmitError::UnknownWorkspace {
                workspace: spec.workspace,
            });
        };
        let limit = self.cfg.max_queued_tasks;
        if self.queued + u64::from(spec.tasks) > limit as u64 {
            return Err(SubmitError::QueueFull { limit });
        }
        let lane = self.join_lane(key);
        self.sequence += 1;
        let id = spec.id.clone();
        let job = self
            .jobs
            .insert(Job::new(spec, lane, now_ms, self.sequence));
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
        self.jobs[ix].take(task.index);
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
            self.room_freed(worker);
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
        let granted = run.size;
        let key = self.estimate_key(job);
        if self.estimates.record_use(&key, &granted, &used) {
            self.refresh_lanes(&key);
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
        if let Some(until) = job.back_off_until.take() {
            self.back_offs.remove(&(until, ix));
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
            self.leave_lane(job.lane);
        }
    }

    fn explain(&self, job: &JobId, now_ms: u64) -> Option<WaitReason> {
        self.wait_reason(self.find_job(job)?, now_ms)
    }

    fn stats(&self) -> PoolStats {
        PoolStats {
            capacity: self.workers.capacity(),
            reserved: self.workers.reserved(),
            queued: self.queued,
            running: self.running,
            quarantined: self.workers.quarantined() as u64,
        }
    }
}
