//! Worker protocol: requests, replies, errors and the client trait.
//!
//! Every command carries the ownership epoch of the pool as a fencing token: a worker rejects an epoch lower than the
//! highest it has seen. A heartbeat renews the lease of all tasks of the worker. The new lease starts at the worker's
//! own clock value that the heartbeat echoes, so a delayed heartbeat never extends a lease beyond what the owner
//! assumes.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_model::{
        Assignment, Attempt, Epoch, Pool, Resources, TaskId, TaskResult, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Duration of a lease in ms: how long a worker runs tasks after the last renewal.
pub const TASK_LEASE_MS: u64 = 10_000;

/// Identifies a report that the owner has processed; the next report may contain only the changes since then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBase {
    /// Incarnation of the worker that sent the report.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub number: u64,
}

/// Request that renews the leases of a worker's tasks and asks for a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// Clock value of the worker's last report to this owner, in ms; absent in the first heartbeat.
    pub echo_ms: Option<u64>,
    /// Ended runs of earlier reports that the owner has recorded; the worker may discard them.
    pub acknowledged: Vec<(TaskId, Attempt)>,
    /// Last report that the sender has processed under this epoch; absent to request a complete report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ReportBase>,
}

/// Execution phase of a run in a worker's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum TaskPhase {
    /// The run is in progress.
    Running,
    /// The run has ended; the worker reports it until the owner acknowledges it.
    Ended {
        /// Result of the run.
        result: TaskResult,
    },
}

/// One run of a task in a worker's report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportedTask {
    /// Task that is run.
    pub task: TaskId,
    /// Sequence number of the run.
    pub attempt: Attempt,
    /// Resources reserved for the run.
    pub reserved: Resources,
    /// Resources that the run used recently; measured with a delay.
    pub used: Resources,
    /// Execution phase of the run.
    pub phase: TaskPhase,
}

/// A worker's report on its tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HeartbeatReply {
    /// Worker that sends the report.
    pub worker: WorkerId,
    /// Number that changes when the worker restarts.
    pub incarnation: u64,
    /// Reading of the worker's own clock in ms, to be echoed in the next heartbeat.
    pub clock_ms: u64,
    /// Sequence number of this report, which never decreases within an incarnation; absent when the worker sends only
    /// complete reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
    /// Number of the base report, when this report lists only the changes since then; absent when it is complete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since: Option<u64>,
    /// Runs that the worker has discarded since the base report; empty in a complete report.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub forgotten: Vec<(TaskId, Attempt)>,
    /// All runs on the worker, or those that changed since the base report.
    pub tasks: Vec<ReportedTask>,
}

/// Request to start runs; the worker accepts or rejects each run separately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// Clock value of the worker's last report to this owner, in ms. The lease is renewed from it; when that lease has
    /// already expired, the request was delayed and the worker rejects its new runs.
    pub echo_ms: u64,
    /// Runs to start, each with the payload of its job.
    pub runs: Vec<(Assignment, Arc<str>)>,
}

/// Reply to a [`StartRequest`], in the order of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartReply {
    /// Whether each run was accepted; a run that was accepted by an earlier request counts as accepted.
    pub taken: Vec<bool>,
}

/// Request to stop, checkpoint or throttle one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Pool that the worker belongs to.
    pub pool: Pool,
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// Task whose run the command applies to.
    pub task: TaskId,
    /// Sequence number of the run.
    pub attempt: Attempt,
}

/// Error of a call to a worker.
#[derive(Debug, Clone, Display, Error)]
pub enum WorkerError {
    /// The worker rejected the call because it has seen a higher epoch: the sender no longer owns the pool.
    #[display("{step} at worker {peer}: epoch {epoch} is fenced, the worker has seen {seen}")]
    Fenced {
        /// Name of the operation, such as `heartbeat`.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// Epoch of the sender.
        epoch: Epoch,
        /// Highest epoch that the worker has seen.
        seen: Epoch,
    },
    /// The call certainly had no effect.
    #[display("{step} at worker {peer}: not done: {problem}")]
    NotDone {
        /// Name of the operation, such as `heartbeat`.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// Cause of the failure.
        problem: Arc<str>,
    },
    /// The call may or may not have taken effect.
    #[display("{step} at worker {peer}: outcome unknown: {problem}")]
    Unknown {
        /// Name of the operation, such as `heartbeat`.
        step: &'static str,
        /// Address of the worker.
        peer: SocketAddr,
        /// Cause of the failure.
        problem: Arc<str>,
    },
}

/// Client of one worker.
#[async_trait]
pub trait WorkerClient: Send + Sync {
    /// Renews the worker's leases and returns its report: `POST /v1/heartbeat`.
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError>;
    /// Starts runs of tasks: `POST /v1/start`.
    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError>;
    /// Stops a run, which ends as [`TaskResult::Stopped`]: `POST /v1/stop`.
    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError>;
    /// Saves a run's progress and stops the run, which ends as [`TaskResult::Checkpointed`]: `POST /v1/checkpoint`.
    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError>;
    /// Limits a run to its reserved resources: `POST /v1/throttle`.
    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError>;
}

/// Factory of [`WorkerClient`]s.
pub trait WorkerConnector: Send + Sync {
    /// Creates a client for the worker at an address; connections are opened on first use.
    fn connect(&self, address: SocketAddr) -> Arc<dyn WorkerClient>;
}
