//! Interface between the instance that owns a pool (the caller) and the pool's scheduler.
//!
//! All times `now_ms` come from one clock of the caller, in ms.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobSpec, Rack, Resources, TaskId, TaskResult, WaitReason,
        WorkerId, Workspace,
    },
    serde::{Deserialize, Serialize},
};

/// A worker with its location and capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Identifier, unique in the pool.
    pub id: WorkerId,
    /// Failure domain over which the tasks of a service are spread.
    pub rack: Rack,
    /// Total resources for tasks, including those that are in use.
    pub capacity: Resources,
}

/// Whether a worker accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// Accepts new tasks.
    Ready,
    /// Keeps running its tasks and accepts no new ones.
    Draining,
    /// Does not respond; accepts no new tasks, and its tasks may still run.
    Silent,
}

/// Fair-share weight and quota of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceShare {
    /// Workspace to which the limits apply.
    pub workspace: Workspace,
    /// Fair-share weight relative to other workspaces; 0 counts as 1.
    pub weight: u32,
    /// Maximum resources that may be allocated to the workspace's tasks in this pool at a time.
    pub quota: Resources,
}

/// A scheduling decision. The caller must persist it before acting on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a task. Its resources are already allocated when the decision is returned.
    Start(Assignment),
    /// Start all unfinished tasks of a gang together.
    StartGang(Vec<Assignment>),
    /// Checkpoint a run and stop it, to free its resources, or to restart a gang of which only some tasks still run.
    /// The task is queued again when the caller reports the end with [`PoolScheduler::record_end`].
    Checkpoint(Assignment),
}

/// Reason why a job is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// A job with the same identifier and another specification exists.
    #[display("job {job} exists with another specification")]
    Conflict {
        /// Identifier of both jobs.
        #[error(not(source))]
        job: JobId,
    },
    /// The workspace of the job was not added with [`PoolScheduler::upsert_workspace`].
    #[display("workspace {workspace} is not known")]
    UnknownWorkspace {
        /// Workspace of the job.
        #[error(not(source))]
        workspace: Workspace,
    },
    /// The tasks of the job would exceed the limit of queued tasks.
    #[display("the queue of the pool is full at {limit} tasks")]
    QueueFull {
        /// Maximum number of queued tasks in the pool.
        limit: usize,
    },
}

/// Resource totals and task counts of a pool, for metrics and summaries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStats {
    /// Total capacity of all workers that are not silent.
    pub capacity: Resources,
    /// Resources allocated to runs.
    pub reserved: Resources,
    /// Number of queued tasks.
    pub queued: u64,
    /// Number of running tasks, including those whose start was only decided.
    pub running: u64,
    /// Number of workers in quarantine after repeated start failures.
    pub quarantined: u64,
}

/// Scheduler of one pool.
pub trait PoolScheduler: Send {
    /// Adds a worker, or changes the rack and capacity of a known one. A new worker is ready.
    fn upsert_worker(&mut self, spec: WorkerSpec, now_ms: u64);
    /// Sets the state of a worker; does nothing if the worker is unknown.
    fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState);
    /// Removes a worker and returns its runs, whose tasks are queued again.
    ///
    /// The caller must have proof that the tasks no longer run.
    fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment>;
    /// Adds a workspace, or changes its weight and quota.
    fn upsert_workspace(&mut self, share: WorkspaceShare);
    /// Queues a job. Submitting the same specification again is accepted and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] if the identifier is taken by another specification, the workspace is unknown or the
    /// queue is full.
    fn submit(&mut self, spec: JobSpec, now_ms: u64) -> Result<(), SubmitError>;
    /// Restores a run that a previous owner of the pool started, for example one that the new owner read from the
    /// journal. Its job must have been submitted before. An attempt that is not newer than the known one is ignored.
    fn restore_run(&mut self, assignment: Assignment, now_ms: u64);
    /// Removes from the queue a task that succeeded under a previous owner of the pool.
    fn restore_succeeded(&mut self, task: &TaskId);
    /// Restores the highest attempt number that a previous owner of the pool used for a task, so that later attempts
    /// get higher numbers.
    fn restore_attempt(&mut self, task: &TaskId, attempt: Attempt);
    /// Makes at most `limit` decisions. Their effects on resources and queues are already applied when the call
    /// returns.
    fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<Decision>;
    /// Records that a worker started a task; other attempts than the current one are ignored.
    fn record_start(&mut self, task: &TaskId, attempt: Attempt, now_ms: u64);
    /// Records that a run ended and frees its resources. The task is finished after a success and queued again after
    /// any other result, unless its job was cancelled. Other attempts than the current one are ignored.
    fn record_end(&mut self, task: &TaskId, attempt: Attempt, result: TaskResult, now_ms: u64);
    /// Records the resource usage of a run, from which the sizes of later tasks are estimated.
    fn record_usage(&mut self, task: &TaskId, attempt: Attempt, used: Resources);
    /// Cancels a job: removes its queued tasks and returns its runs, which the caller must stop.
    fn cancel(&mut self, job: &JobId, now_ms: u64) -> Vec<Assignment>;
    /// Removes a job that has no queued and no running tasks; does nothing otherwise.
    fn remove_job(&mut self, job: &JobId);
    /// Returns why tasks of a job wait, or `None` if none is queued or the job is unknown.
    fn explain(&self, job: &JobId, now_ms: u64) -> Option<WaitReason>;
    /// Returns the current totals of the pool.
    fn stats(&self) -> PoolStats;
}
