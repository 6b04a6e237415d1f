//! The interface to workers.
//!
//! Every command carries the ownership epoch of the pool. A worker refuses an epoch lower than the highest it has
//! seen. Heartbeats renew the lease of all its tasks: the worker counts the lease from its own clock value that the
//! heartbeat echoes, so a delayed heartbeat never extends a lease beyond what the owner assumes.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_model::{
        Assignment, Attempt, Epoch, Pool, Resources, TaskId, TaskResult, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Time that a worker runs tasks without a renewal, in ms.
pub const TASK_LEASE_MS: u64 = 10_000;

/// A worker's report that the owner has processed; the next report may name only what changed since.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBase {
    /// Incarnation of the worker that sent it.
    pub incarnation: u64,
    /// Its number.
    pub number: u64,
}

/// Renews leases and asks for a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// The worker's clock value from its last report to this owner; absent in the first heartbeat.
    pub echo_ms: Option<u64>,
    /// Ended runs of earlier reports that the owner has recorded; the worker may forget them.
    pub acknowledged: Vec<(TaskId, Attempt)>,
    /// Last report that the sender has processed under this epoch; absent to ask for a complete report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ReportBase>,
}

/// What a task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum TaskPhase {
    /// Runs.
    Running,
    /// Ended; kept until the owner acknowledges it.
    Ended {
        /// How.
        result: TaskResult,
    },
}

/// A task in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportedTask {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: Attempt,
    /// What is reserved for it.
    pub reserved: Resources,
    /// What it used lately; lags.
    pub used: Resources,
    /// What it does.
    pub phase: TaskPhase,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeartbeatReply {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Number that changes when the worker restarts.
    pub incarnation: u64,
    /// The worker's own clock.
    pub clock_ms: u64,
    /// Number of this report, which never decreases within an incarnation; absent when the worker sends only complete
    /// reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
    /// Number of the report that this one names the changes since; absent when this report is complete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Runs that the worker has forgotten since the base; empty in a complete report.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forgotten: Vec<(TaskId, Attempt)>,
    /// All its tasks, or those that changed since the base.
    pub tasks: Vec<ReportedTask>,
}

/// Starts tasks; each is taken or refused by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// The worker's clock value from its last report to this owner.
    pub echo_ms: u64,
    /// Runs to start, with the payload of each.
    pub runs: Vec<(Assignment, Arc<str>)>,
}

/// Result of a start, in the order of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// Whether each run was taken; a repeat of a run that was taken before counts as taken.
    pub taken: Vec<bool>,
}

/// Stops, checkpoints or throttles one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: Attempt,
}

/// Failure of a call to a worker.
#[derive(Debug, Clone, Display, Error)]
pub enum WorkerError {
    /// The worker has seen a higher epoch; the sender no longer owns the pool.
    #[display("{step} at worker {peer}: epoch {epoch} is fenced, the worker has seen {seen}")]
    Fenced {
        /// What was attempted.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// Epoch of the sender.
        epoch: Epoch,
        /// Highest epoch that the worker has seen.
        seen: Epoch,
    },
    /// Nothing was done.
    #[display("{step} at worker {peer}: not done: {problem}")]
    NotDone {
        /// What was attempted.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// What went wrong.
        problem: Arc<str>,
    },
    /// The command may or may not have taken effect.
    #[display("{step} at worker {peer}: outcome unknown: {problem}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// What went wrong.
        problem: Arc<str>,
    },
}

/// Connection to one worker.
#[async_trait]
pub trait WorkerClient: Send + Sync {
    /// Renews leases and reads the report: `POST /v1/heartbeat`.
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError>;
    /// Starts tasks: `POST /v1/start`.
    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError>;
    /// Stops a run; it ends as stopped: `POST /v1/stop`.
    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError>;
    /// Saves a run's progress and stops it; it ends as checkpointed: `POST /v1/checkpoint`.
    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError>;
    /// Holds a run to its reservation: `POST /v1/throttle`.
    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError>;
}

/// Makes clients for workers.
pub trait WorkerConnector: Send + Sync {
    /// Makes a client for the worker at an address; connections are opened on use.
    fn connect(&self, address: SocketAddr) -> Arc<dyn WorkerClient>;
}
