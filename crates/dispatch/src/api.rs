//! Traits and types of the calls to workers, the advice service and the platform.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_model::{WorkerId, Workspace},
    ragwortreel_workflow::{
        EndedRun, Incarnation, QueuePolicy, RunningTask, TaskKey, WorkerSpec, WorkspacePolicy,
    },
    std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc, time::Duration},
};

/// Worker from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedWorker {
    /// Capacity, service and labels of the worker.
    pub spec: WorkerSpec,
    /// Address to which heartbeats, starts and stops are sent.
    pub address: SocketAddr,
}

/// Error of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WorkerError {
    /// Another incarnation of the worker answers at the address.
    #[display("{step} at {worker}: another incarnation of the worker answers")]
    OtherIncarnation {
        /// Operation that failed: `heartbeat`, `start` or `stop`.
        step: &'static str,
        /// Worker that the call was meant for.
        worker: WorkerId,
    },
    /// The worker has seen a higher fencing token, so another instance leads.
    #[display("{step} at {worker}: the worker has seen a later leader")]
    Fenced {
        /// Operation that failed: `heartbeat`, `start` or `stop`.
        step: &'static str,
        /// Worker that the call is addressed to.
        worker: WorkerId,
    },
    /// The worker did not carry out the call.
    #[display("{step} at {worker}: not done: {problem}")]
    NotDone {
        /// Operation that failed: `heartbeat`, `start` or `stop`.
        step: &'static str,
        /// Worker that the call is addressed to.
        worker: WorkerId,
        /// Cause of the failure.
        problem: Arc<str>,
    },
    /// The worker rejected the ticket of a start and did nothing.
    #[display("{step} at {worker}: the ticket was refused")]
    TicketRefused {
        /// Operation that failed: `heartbeat`, `start` or `stop`.
        step: &'static str,
        /// Worker that the call is addressed to.
        worker: WorkerId,
    },
    /// The outcome is unknown: the worker may have carried out the call, or may do so later.
    #[display("{step} at {worker}: outcome unknown: {problem}")]
    Unknown {
        /// Operation that failed: `heartbeat`, `start` or `stop`.
        step: &'static str,
        /// Worker that the call is addressed to.
        worker: WorkerId,
        /// Cause of the failure.
        problem: Arc<str>,
    },
}

/// Destination of a call to a worker, with the fencing token of the caller.
#[derive(Debug, Clone)]
pub struct WorkerEndpoint {
    /// Worker that the call is addressed to.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Term number of the calling leader; a worker rejects calls with a lower token than it has seen.
    pub fencing_token: u64,
}

/// Request for the runs of a worker, which also extends their lease.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatRequest {
    /// Lease expiry on the worker's clock, in ms; `None` does not extend the lease, because the worker's clock is
    /// unknown or its last heartbeat failed.
    pub lease_expires_ms: Option<u64>,
    /// Sequence number of the last end of a run that is stored; the worker need not report it and earlier ones again.
    pub acked_end: u64,
    /// Longest time that the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// Runs of a worker.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatResponse {
    /// Worker's clock when it answered, in ms.
    pub clock_ms: u64,
    /// Incarnation that answers; `None` if it does not tell.
    pub incarnation: Option<Incarnation>,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Ended runs that are not acknowledged yet; the first ones if there are many.
    pub ended: Vec<EndedRun>,
    /// Whether further ends may follow those in `ended`.
    pub has_more_ends: bool,
    /// Sequence number of the last reported end; 0 for none.
    pub last_end: u64,
}

/// Request to start a run of a task.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run, which distinguishes attempts at the same task.
    pub run: u32,
    /// Job payload for the worker.
    pub payload: Arc<str>,
    /// Checkpoint that the run resumes from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service for this worker, if the step requires one.
    pub ticket: Option<Arc<str>>,
    /// Lease expiry on the worker's clock, in ms; the worker refuses a start that arrives later.
    pub lease_expires_ms: u64,
}

/// Client of the workers.
#[async_trait]
pub trait WorkerClient: Send + Sync {
    /// Returns the runs of a worker and extends their lease.
    async fn heartbeat(
        &self,
        to: &WorkerEndpoint,
        req: HeartbeatRequest,
    ) -> Result<HeartbeatResponse, WorkerError>;
    /// Starts a run of a task; succeeds if the worker already has this run.
    async fn start(&self, to: &WorkerEndpoint, start: &TaskStart) -> Result<(), WorkerError>;
    /// Stops a run; the worker refuses a start of this run that arrives later.
    async fn stop(&self, to: &WorkerEndpoint, task: &TaskKey, run: u32) -> Result<(), WorkerError>;
}

/// Error of a call to the advice service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("advice about {step}: {problem}")]
pub struct AdviceError {
    /// Step that the call was about.
    pub step: Arc<str>,
    /// Cause of the failure.
    pub problem: Arc<str>,
}

/// Client of the advice service, which determines the workers that may run a step.
#[async_trait]
pub trait AdviceClient: Send + Sync {
    /// Returns those of the workers that may run a step, with their tickets; `limit` is the timeout.
    async fn advise(
        &self,
        step: &str,
        workers: &[WorkerId],
        limit: Duration,
    ) -> Result<Vec<(WorkerId, Arc<str>)>, AdviceError>;
}

/// Route of HTTP requests to a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host name that requests must have.
    pub host: Arc<str>,
    /// Prefix that request paths must have.
    pub base_path: Arc<str>,
    /// Policy of the queue that takes the requests.
    pub policy: QueuePolicy,
    /// Whether callers need no key.
    pub public: bool,
}

/// Routes of a cell, as configured by its operators.
#[derive(Clone, Default, PartialEq)]
pub struct CellRoutes {
    /// Version of the configuration; a higher one replaces a lower one, and 0 means that none was read.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Shares and limits of the workspaces; `None` if the cell has no workspaces.
    pub workspaces: Option<BTreeMap<Workspace, WorkspacePolicy>>,
    /// Workspaces by the digest of each of their keys; see [`ragwortreel_model::token_digest`].
    pub keys: BTreeMap<String, Workspace>,
}

/// Leaves out the digests of keys.
impl fmt::Debug for CellRoutes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellRoutes")
            .field("version", &self.version)
            .field("routes", &self.routes)
            .field("workspaces", &self.workspaces)
            .finish_non_exhaustive()
    }
}

/// What a read of the configuration found.
#[derive(Debug, Clone)]
pub enum ConfigRead {
    /// The configuration has not changed since the last read.
    Unchanged,
    /// This configuration.
    Readable(CellRoutes),
    /// A configuration that cannot be parsed, or none.
    Unreadable,
}

/// Response to a read of the configuration.
#[derive(Debug, Clone)]
pub struct ConfigResponse {
    /// What the response contains.
    pub read: ConfigRead,
    /// Version of the store after which changes can be followed.
    pub store_version: u64,
    /// Version of the configuration's row; 0 if the response does not contain it.
    pub row_version: u64,
    /// Number of changes of the operators' rows that the response left out because the same row changed again.
    pub superseded: usize,
    /// Size of the configuration; 0 if the response does not contain it.
    pub bytes: usize,
    /// Bytes received for this read, by all copies of its calls.
    pub received_bytes: u64,
}

impl CellRoutes {
    /// Builds a configuration from routes in any order.
    #[must_use]
    pub fn new(version: u64, all: impl IntoIterator<Item = Route>) -> Self {
        let mut routes: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in all {
            let of_host = routes.entry(Arc::clone(&route.host)).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.base_path.len()));
        }
        Self {
            version,
            routes,
            workspaces: None,
            keys: BTreeMap::new(),
        }
    }

    /// Returns the route of a host with the longest prefix of a path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(&*route.base_path))
    }
}

/// Source of the worker list and the configuration.
#[async_trait]
pub trait CellSource: Send + Sync {
    /// Reads the list of workers; skips invalid entries.
    async fn workers(&self) -> Result<Vec<ListedWorker>, ragwortreel_platform::PlatformError>;
    /// Reads the configuration.
    async fn routes(&self) -> Result<ConfigResponse, ragwortreel_platform::PlatformError>;
    /// Waits up to `wait` for a change of the configuration after a version of the store.
    async fn next_routes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<ConfigResponse, ragwortreel_platform::FeedError>;
}
