//! The interface between a pool's owner and its scheduler.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobSpec, Rack, Resources, TaskId, TaskResult, WaitReason,
        WorkerId, Workspace,
    },
    serde::{Deserialize, Serialize},
};

/// A worker and what it can hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Rack that it stands in.
    pub rack: Rack,
    /// Everything that it has.
    pub capacity: Resources,
}

/// Whether a worker may be given tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerState {
    /// Takes new tasks.
    Ready,
    /// Keeps its tasks and takes no new ones.
    Draining,
    /// Does not answer; its tasks may still run.
    Silent,
}

/// What a workspace may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceShare {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// Weight relative to other workspaces.
    pub weight: u32,
    /// Most resources that its tasks in this pool may hold at once.
    pub quota: Resources,
}

/// One decision; the caller makes it durable before it acts on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a task; its resources are reserved from now on.
    Start(Assignment),
    /// Start all tasks of a gang, all or nothing.
    StartGang(Vec<Assignment>),
    /// Checkpoint a best-effort task to make room; it returns to the queue when [`PoolScheduler::record_end`] is called.
    Checkpoint(Assignment),
}

/// A job that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SubmitError {
    /// A job with the same identifier but another specification exists.
    #[display("job {job} exists with another specification")]
    Conflict {
        /// Identifier of the job.
        #[error(not(source))]
        job: JobId,
    },
    /// The workspace is not known.
    #[display("workspace {workspace} is not known")]
    UnknownWorkspace {
        /// Name of the workspace.
        #[error(not(source))]
        workspace: Workspace,
    },
    /// The queue of the pool is full.
    #[display("the queue of the pool is full at {limit} tasks")]
    QueueFull {
        /// Most tasks in the queue.
        limit: usize,
    },
}

/// Figures of a pool for metrics and summaries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStats {
    /// Sum over all workers that answer.
    pub capacity: Resources,
    /// Sum of all reservations.
    pub reserved: Resources,
    /// Tasks that wait.
    pub queued: u64,
    /// Tasks that run.
    pub running: u64,
    /// Workers that are set aside because they fail what they start.
    pub quarantined: u64,
}

/// Scheduler of one pool.
pub trait PoolScheduler: Send {
    /// Adds a worker, or changes its capacity.
    fn upsert_worker(&mut self, spec: WorkerSpec, now_ms: u64);
    /// Changes whether a worker takes tasks.
    fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState);
    /// Removes a worker whose tasks are proven to have ended; the tasks return to the queue and are listed.
    fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment>;
    /// Adds or changes a workspace.
    fn upsert_workspace(&mut self, share: WorkspaceShare);
    /// Queues a job; a repeat with the same specification is accepted and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns why the job cannot be accepted.
    fn submit(&mut self, spec: JobSpec, now_ms: u64) -> Result<(), SubmitError>;
    /// Records a run that was found alive, or in the journal, after a change of owner. Must follow `submit` of its job.
    fn restore_run(&mut self, assignment: Assignment, now_ms: u64);
    /// Records after a change of owner that a task succeeded before; it is not queued again.
    fn restore_succeeded(&mut self, task: &TaskId);
    /// Records after a change of owner the highest attempt number that a queued task has used.
    fn restore_attempt(&mut self, task: &TaskId, attempt: Attempt);
    /// Takes up to `limit` decisions.
    fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<Decision>;
    /// Records that a worker took a start.
    fn record_start(&mut self, task: &TaskId, attempt: Attempt, now_ms: u64);
    /// Records that a run ended; resources are free again, and the task is done or queued again by its result.
    fn record_end(&mut self, task: &TaskId, attempt: Attempt, result: TaskResult, now_ms: u64);
    /// Records the usage that a worker reported for a task.
    fn record_usage(&mut self, task: &TaskId, attempt: Attempt, used: Resources);
    /// Cancels a job; its queued tasks are dropped, and the runs to be stopped are returned.
    fn cancel(&mut self, job: &JobId, now_ms: u64) -> Vec<Assignment>;
    /// Forgets a job of which nothing is queued or running.
    fn remove_job(&mut self, job: &JobId);
    /// Why tasks of the job wait; `None` when none does or the job is not known.
    fn explain(&self, job: &JobId, now_ms: u64) -> Option<WaitReason>;
    /// Figures for metrics.
    fn stats(&self) -> PoolStats;
}
