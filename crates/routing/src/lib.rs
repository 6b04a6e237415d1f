//! Request routing of an entry instance: admission control, queues, slots, retries and the choice of a backend server.
//!
//! A slot is the right to have one request in flight at a backend server. The slots of a backend server are divided
//! into shares, one for each entry instance of its zone. An instance may use its shares while it holds a slot lease,
//! and forwards a request to another instance that can respond sooner. A [`Permit`] is a slot in use by one request.
//!
//! Long work consists of the requests that are declared, estimated or observed to run for at least
//! [`RouterConfig::long_run_ms`], short work of all others. Long work may use only a part of the slots.
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
