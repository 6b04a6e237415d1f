//! Connection pools to backend servers.
//!
//! A [`BackendPool`] holds the connections to one backend server, at most this instance's share of the 64 that the
//! server allows. Each connection has its own task and carries one request at a time. Urgent and short work share one
//! set of idle connections, and long work has another. A [`SendResult`] says whether the request was answered,
//! certainly did not run, or may have run.
//!
//! Open connections can become permanently silent while new ones work. A request that makes no progress for longer than
//! the latencies of its class explain ends as unknown, and all idle connections are then replaced. Idle connections
//! without recent activity are replaced before use, or verified by probes if the service has a target for them.

pub mod events;
mod latency;
mod limits;
mod outcome;
mod pool;
mod slot;
mod socket;
mod state;
mod task;

pub use limits::{PoolLimits, Probe, SendOptions};
pub use outcome::{NotRunReason, SendResult, UnknownReason};
pub use pool::BackendPool;
pub use slot::Slot;
pub use state::PoolStats;
