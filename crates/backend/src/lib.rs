//! Connections to backend servers.
//!
//! A [`BackendPool`] holds the connections to one backend server, at most this instance's share of the 64. Each
//! connection has its own task and carries one request at a time; urgent and short work share one set of idle
//! connections, and long work has another. A result tells what is known about the request: answered, proof that it
//! did not run, or unknown.
//!
//! Open connections can go permanently silent while new ones work. A request without progress for longer than its
//! class can explain ends as unknown, and all idle connections are then replaced. Idle connections without a recent
//! sign of life are replaced before use, or kept alive by probes where the service offers a target for them.

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
