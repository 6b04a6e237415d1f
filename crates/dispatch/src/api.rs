//! The interfaces between the cell and what it talks to.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_model::WorkerId,
    ragwortreel_workflow::{EndedRun, QueuePolicy, RunningTask, TaskKey, WorkerSpec},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// A worker and where to reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedWorker {
    /// What it can hold.
    pub spec: WorkerSpec,
    /// Address for orders.
    pub address: SocketAddr,
}

/// Failure of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum WorkerError {
    /// Another life of a worker answers at the address.
    #[display("{step} at {worker}: another life of the worker answers")]
    OtherIncarnation {
        /// What was attempted.
        step: &'static str,
        /// The worker that was meant.
        worker: WorkerId,
    },
    /// The worker has seen a higher fence: another instance leads.
    #[display("{step} at {worker}: a later leader was here")]
    Fenced {
        /// What was attempted.
        step: &'static str,
        /// The worker.
        worker: WorkerId,
    },
    /// The worker certainly did nothing.
    #[display("{step} at {worker}: not done: {problem}")]
    NotDone {
        /// What was attempted.
        step: &'static str,
        /// The worker.
        worker: WorkerId,
        /// What went wrong.
        problem: Arc<str>,
    },
    /// The start's ticket was not accepted; the worker did nothing.
    #[display("{step} at {worker}: the ticket was refused")]
    TicketRefused {
        /// What was attempted.
        step: &'static str,
        /// The worker.
        worker: WorkerId,
    },
    /// The call may have been carried out, or may be later.
    #[display("{step} at {worker}: outcome unknown: {problem}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// The worker.
        worker: WorkerId,
        /// What went wrong.
        problem: Arc<str>,
    },
}

/// Where an order goes, and under which term.
#[derive(Debug, Clone)]
pub struct WorkerEndpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Fence of the sender.
    pub fencing_token: u64,
}

/// Question what a worker runs; it also keeps everything there alive.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatRequest {
    /// Time on the worker's clock until which everything may run on; `None` before that clock is known.
    pub lease_expires_ms: Option<u64>,
    /// Number of the last end that is stored and need not be listed again.
    pub acked_end: u64,
    /// Longest time that the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// What a worker runs.
#[derive(Debug, Clone, Default)]
pub struct HeartbeatResponse {
    /// The worker's clock when it answered, in ms.
    pub clock_ms: u64,
    /// Time of the worker's start; differs between two lives under one name.
    pub started_ms: u64,
    /// Runs that are alive.
    pub running: Vec<RunningTask>,
    /// Runs that ended.
    pub ended: Vec<EndedRun>,
    /// Number of the last end that is listed.
    pub last_end: u64,
}

/// Start of a task.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Text for the worker.
    pub payload: Arc<str>,
    /// Saved progress; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service.
    pub ticket: Option<Arc<str>>,
    /// Time on the worker's clock until which it may run; a start that arrives later is refused.
    pub lease_expires_ms: u64,
}

/// Calls to workers.
#[async_trait]
pub trait WorkerClient: Send + Sync {
    /// Asks what a worker runs, and keeps it running.
    async fn heartbeat(
        &self,
        to: &WorkerEndpoint,
        order: HeartbeatRequest,
    ) -> Result<HeartbeatResponse, WorkerError>;
    /// Starts a task; a repeat of a run that is there succeeds.
    async fn start(&self, to: &WorkerEndpoint, start: &TaskStart) -> Result<(), WorkerError>;
    /// Stops a run; a run that is not there yet is refused when it comes.
    async fn stop(&self, to: &WorkerEndpoint, task: &TaskKey, run: u32) -> Result<(), WorkerError>;
}

/// Failure of a call to the advice service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("advice about {step}: {problem}")]
pub struct AdviceError {
    /// The step.
    pub step: Arc<str>,
    /// What went wrong.
    pub problem: Arc<str>,
}

/// The advice service, which knows the workers that may run a step.
#[async_trait]
pub trait AdviceClient: Send + Sync {
    /// Asks which of the workers may run a step; returns those with their tickets.
    async fn advise(
        &self,
        step: &str,
        workers: &[WorkerId],
        limit: Duration,
    ) -> Result<Vec<(WorkerId, Arc<str>)>, AdviceError>;
}

/// A queue and the requests that it takes.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host that requests name.
    pub host: Arc<str>,
    /// Prefix of their paths.
    pub path_prefix: Arc<str>,
    /// How its jobs are treated.
    pub policy: QueuePolicy,
}

/// The operators' configuration of a cell.
#[derive(Debug, Clone, Default)]
pub struct CellRoutes {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
}

impl CellRoutes {
    /// Makes a configuration.
    #[must_use]
    pub fn new(version: u64, all: impl IntoIterator<Item = Route>) -> Self {
        let mut routes: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in all {
            let of_host = routes.entry(Arc::clone(&route.host)).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, routes }
    }

    /// The route with the longest prefix of a path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }
}

/// What the platform tells about workers and configuration.
#[async_trait]
pub trait CellSource: Send + Sync {
    /// Reads the list of workers; entries that name no usable worker are left out.
    async fn workers(&self) -> Result<Vec<ListedWorker>, ragwortreel_platform::PlatformError>;
    /// Reads the configuration, with the version of the store from which changes can be followed.
    async fn routes(
        &self,
    ) -> Result<(Option<CellRoutes>, u64), ragwortreel_platform::PlatformError>;
    /// Waits for a change of the configuration after a version of the store.
    async fn next_routes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<(Option<CellRoutes>, u64), ragwortreel_platform::FeedError>;
}
