//! Request routing of an entry instance: admission control, queues, slots, retries and the choice of a backend server.
//!
//! [`Router`] is the handle that the daemon uses. All of its state is behind one mutex, because many tasks share the
//! queues and a decision must not wait until another task is scheduled; the mutex is never held across an await.

mod health;
mod metrics;
pub mod naive;
mod queue;
mod request;
mod router;
mod run_times;
mod service;
mod share_tracker;
mod shares;
mod state;
mod token_bucket;

pub use {
    metrics::{BackendMetrics, ClassMetrics, RouterMetrics, WorkspaceMetrics},
    request::{
        BackendId, BackendServer, InstanceLoad, Refusal, RefusalReason, RequestInfo, RequestResult,
        RouterConfig,
    },
    router::{Permit, Router, SlotWatch},
    share_tracker::{BackendUsage, PEER_LEASE_MS, ReleaseReport, SLOT_LEASE_MS, ShareTracker},
    shares::{Share, SlotLimits, SlotShares, inherited_shares, slot_shares},
    state::GrantId,
};
