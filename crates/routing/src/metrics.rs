//! Snapshot of the router's counters and gauges for metrics.

use {
    crate::{BackendId, RefusalReason, Share},
    ragwortreel_model::{WorkClass, Workspace},
    std::collections::BTreeMap,
};

/// Metrics of one request class of a calling workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests waiting at the time of the snapshot.
    pub queued: u64,
    /// Requests in flight at the time of the snapshot.
    pub in_flight: u64,
    /// Total permits granted.
    pub admitted: u64,
    /// Total refusals.
    pub refused: u64,
    /// Total time that admitted requests waited, in ms.
    pub waited_ms: u64,
}

/// Metrics of one calling workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkspaceMetrics {
    /// Metrics by request class.
    pub classes: BTreeMap<WorkClass, ClassMetrics>,
    /// Total refusals by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
}

/// Metrics of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendMetrics {
    /// Share that this instance may use.
    pub share: Share,
    /// Slots in use.
    pub in_use: u32,
    /// Slots in use by long work.
    pub long_in_use: u32,
    /// Slots allowed by health and the adaptive limit; 0 while draining.
    pub limit: u32,
    /// Whether the backend server is ejected after consecutive failures.
    pub ejected: bool,
}

/// Metrics of a router at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterMetrics {
    /// Metrics by calling workspace.
    pub workspaces: BTreeMap<Workspace, WorkspaceMetrics>,
    /// Metrics by backend server.
    pub backends: BTreeMap<BackendId, BackendMetrics>,
    /// Requests waiting over all workspaces.
    pub queued: u64,
    /// Requests in flight over all workspaces.
    pub in_flight: u64,
    /// Total ejections of backend servers, without repeated ones after failed probes.
    pub ejections: u64,
    /// Total retries permitted.
    pub retries: u64,
    /// Total retries denied.
    pub retries_denied: u64,
}
