//! Figures for metrics.

use {
    crate::{BackendId, RefusalReason, Share},
    ragwortreel_model::{WorkClass, Workspace},
    std::collections::BTreeMap,
};

/// Figures of one class of a caller's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests that wait now.
    pub queued: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Permits given so far.
    pub admitted: u64,
    /// Refusals so far.
    pub refused: u64,
    /// Sum of the waits of all admitted requests, in ms.
    pub waited_ms: u64,
}

/// Figures of one workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkspaceMetrics {
    /// By class.
    pub classes: BTreeMap<WorkClass, ClassMetrics>,
    /// Refusals so far by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
}

/// Figures of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendMetrics {
    /// Slots that this instance may use.
    pub share: Share,
    /// Slots in use.
    pub in_use: u32,
    /// Of these, slots with long work.
    pub long_in_use: u32,
    /// Slots that health and the adaptive limit allow.
    pub limit: u32,
    /// Whether the backend server is ejected.
    pub ejected: bool,
}

/// Snapshot of the router's figures.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterMetrics {
    /// By calling workspace.
    pub workspaces: BTreeMap<Workspace, WorkspaceMetrics>,
    /// By backend server.
    pub backends: BTreeMap<BackendId, BackendMetrics>,
    /// Requests that wait now.
    pub queued: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Ejections so far.
    pub ejections: u64,
    /// Retries permitted so far.
    pub retries: u64,
    /// Retries denied so far.
    pub retries_denied: u64,
}
