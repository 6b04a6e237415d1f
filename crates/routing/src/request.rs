//! Types of the router's interface: configuration, backend servers, requests, refusals and results.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, ServiceName, WorkClass, Workspace, Zone},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Name of a backend server, unique in the cell.
pub type BackendId = Arc<str>;

/// Configuration of a router.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Name of this entry instance.
    pub instance: InstanceId,
    /// Zone of this entry instance; only backend servers of this zone get requests.
    pub zone: Zone,
    /// Maximum number of requests that wait at this instance, over all workspaces.
    pub max_queued: usize,
    /// Seed of the jitter in retry and probe times.
    pub seed: u64,
    /// Run time at and above which a request counts as long work, in ms.
    pub long_run_ms: u64,
}

impl RouterConfig {
    /// Default of [`RouterConfig::max_queued`].
    pub const MAX_QUEUED: usize = 4_096;

    /// Default of [`RouterConfig::long_run_ms`], in ms.
    pub const LONG_RUN_MS: u64 = 1_000;

    /// A configuration with the default limits.
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
    /// Availability zone of the backend server.
    pub zone: Zone,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Whether it gets no new requests because it is about to be removed.
    pub draining: bool,
}

/// Load of another entry instance, from its last heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceLoad {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Sequence number of the report. A slot counts as taken once
    /// [`Router::forward_target`](crate::Router::forward_target) has chosen this instance, until a report with another
    /// number arrives.
    pub report_number: u64,
    /// Round-trip time to the instance, in ms.
    pub round_trip_ms: f64,
    /// Free slots of the instance by workspace and service.
    pub free_slots: BTreeMap<(Workspace, ServiceName), u32>,
}

/// A request for a slot of a backend server.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Service that is called.
    pub service: ServiceName,
    /// Workspace charged for the request: its rate limit, queue limit and weight apply. Usually the same as
    /// `workspace`.
    pub caller: Workspace,
    /// Route within the service, such as a method and the first path segment. Run times are measured by route.
    pub route: Arc<str>,
    /// Declared class; `None` takes the class of the service's settings.
    pub class: Option<WorkClass>,
    /// Run time that the caller expects, in ms; used until run times of the route have been measured.
    pub cost_hint_ms: Option<u64>,
    /// Deadline of the response on the router's clock, in ms.
    pub deadline_ms: u64,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// Reason for the refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// The workspace or the instance has reached its limit of waiting requests.
    #[display("queue-full")]
    QueueFull,
    /// The deadline has passed or would pass before the response.
    #[display("deadline")]
    Deadline,
    /// The workspace sends more requests per second than its settings allow.
    #[display("rate-limit")]
    RateLimit,
    /// No backend server of the service in this zone can take requests.
    #[display("no-backend")]
    NoBackend,
    /// The instance has no valid slot lease.
    #[display("no-lease")]
    NoLease,
    /// The instance is stopping.
    #[display("stopping")]
    Stopping,
}

/// Refusal of a request: it did not run and may be sent again after a delay.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("request refused ({reason}), retry after {retry_after_ms} ms")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the request may be sent again, in ms; jittered, so that callers do not retry simultaneously.
    pub retry_after_ms: u64,
}

/// Result of a request that held a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The backend server sent a complete response with a status below 500.
    Answered,
    /// The backend server responded with a 5xx status.
    ServerError,
    /// The connection could not be opened, made no progress for too long, or broke.
    ConnectionFailed,
    /// The deadline passed without a response. It counts as a failure of the backend server only when the request ran
    /// longer than is usual for its route.
    TimedOut,
    /// The caller disconnected, or the request was cancelled for another reason unrelated to the backend server.
    Abandoned,
}
