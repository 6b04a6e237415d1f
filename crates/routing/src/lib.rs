//! How an entry instance decides about requests: admission, queues, slots, retries and the choice of a backend server.
//!
//! [`Router`] is the handle that the daemon uses. All of its state is behind one mutex, because many tasks share the
//! queues and a decision must not wait for a scheduler turn; the mutex is never held over an await.

mod budget;
mod figures;
mod group;
mod health;
mod learn;
mod ledger;
pub mod naive;
mod queue;
mod request;
mod router;
mod shares;
mod state;

pub use {
    figures::{BackendFigures, QueueFigures, RouterFigures, WorkspaceFigures},
    ledger::{InUse, PEER_LEASE_MS, ReleaseReport, SLOT_LEASE_MS, ShareLedger},
    request::{
        BackendId, BackendServer, Refusal, RefusalReason, RequestInfo, RequestResult, RouterConfig,
        ZoneLoad,
    },
    router::{Permit, Router, SlotWatch},
    shares::{Share, SlotLimits, SlotShares, inherits, slot_shares},
    state::GrantId,
};
