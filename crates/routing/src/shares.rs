//! Shares of the slots of backend servers.

use {crate::BackendId, std::collections::BTreeMap};

/// What one entry instance may use of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight at once.
    pub slots: u32,
    /// Of `slots`, those that long work may use.
    pub long_slots: u32,
    /// Open connections, idle ones included.
    pub connections: u32,
}

/// What this instance may use of each backend server, and until when.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotShares {
    /// Share of each backend server; a missing one has none.
    pub by_backend: BTreeMap<BackendId, Share>,
    /// End of the lease on the router's clock, in ms; checked at the moment of use.
    pub valid_until_ms: u64,
}
