//! What the daemon tells the router about a request, and what it gets back.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, ServiceName, WorkClass, Workspace, Zone},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Name of a backend server, unique in the cell.
pub type BackendId = Arc<str>;

/// What a router needs to know about its own instance.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Name of this entry instance.
    pub instance: InstanceId,
    /// Zone of this entry instance; only backend servers of this zone get requests.
    pub zone: Zone,
    /// Most requests that may wait at this instance, over all workspaces.
    pub max_queued: usize,
    /// Seed of the jitter in retry and probe times.
    pub seed: u64,
    /// Run time from which work counts as long, in ms.
    pub long_run_ms: u64,
}

impl RouterConfig {
    /// Most requests that may wait at an instance, if the daemon sets no other bound.
    pub const MAX_QUEUED: usize = 4_096;

    /// Run time from which work counts as long, if the daemon sets no other bound, in ms.
    pub const LONG_RUN_MS: u64 = 1_000;

    /// Defaults for an instance in a zone.
    #[must_use]
    pub fn new(instance: InstanceId, zone: Zone, seed: u64) -> Self {
        Self {
            instance,
            zone,
            max_queued: Self::MAX_QUEUED,
            seed,
            long_run_ms: Self::LONG_RUN_MS,
        }
    }
}

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Name, unique in the cell.
    pub id: BackendId,
    /// Its zone.
    pub zone: Zone,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Service that it answers for.
    pub service: ServiceName,
    /// Whether it is to be removed and gets nothing new.
    pub draining: bool,
}

/// Load of another entry instance, as its heartbeat tells.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceLoad {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: Zone,
    /// Number of the report; slots that were suggested since an unchanged one stay counted as taken.
    pub report_number: u64,
    /// Round trip to it, in ms.
    pub round_trip_ms: f64,
    /// Its free slots by workspace and service.
    pub free_slots: BTreeMap<(Workspace, ServiceName), u32>,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Service that is called.
    pub service: ServiceName,
    /// Workspace that pays: its rate limit, queue bound and weight apply. Usually the same as `workspace`.
    pub caller: Workspace,
    /// Route within the service, such as a method and the first path segment. Run times are learned by route.
    pub route: Arc<str>,
    /// Declared class; `None` takes the class of the service's settings.
    pub class: Option<WorkClass>,
    /// Run time that the caller expects, in ms; used until run times of the route are learned.
    pub cost_hint_ms: Option<u64>,
    /// Time on the router's clock at which an answer loses its value, in ms.
    pub deadline_ms: u64,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// The workspace or the instance already has the most requests waiting.
    #[display("queue-full")]
    QueueFull,
    /// The deadline would pass before the answer.
    #[display("deadline")]
    Deadline,
    /// The workspace sends more requests a second than its settings allow.
    #[display("rate-limit")]
    RateLimit,
    /// No backend server of the service in this zone can take requests.
    #[display("no-backend")]
    NoBackend,
    /// The instance's slot lease does not hold.
    #[display("no-lease")]
    NoLease,
    /// The instance is stopping.
    #[display("stopping")]
    Stopping,
}

/// Proof that a request did not run, with advice when to send it again.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("request refused ({reason}), retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which the request may be sent again, in ms; jittered, so that callers do not return together.
    pub retry_after_ms: u64,
}

/// How a request on a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The backend server answered completely; its status may be any below 500.
    Answered,
    /// The backend server answered that it failed (5xx).
    ServerError,
    /// The connection failed, was silent or broke.
    ConnectionFailed,
    /// The deadline passed without an answer. It counts against the backend server only when the request ran longer than
    /// its route usually does.
    TimedOut,
    /// The caller went away or the request was given up for another reason that says nothing about the backend server.
    Abandoned,
}
