//! Connection pools to backend servers.
//!
//! A [`BackendPool`] holds the connections to one backend server, at most this instance's share of the 64 that the
//! server allows. Each connection has its own task and carries one request at a time. Urgent and short work share one
//! set of idle connections, and long work has another. A [`SendResult`] says whether the request was answered,
//! certainly did not run, or may have run.
//!
//! A connection is silent if it transfers no bytes although a response is due. Open connections can become permanently
//! silent while new ones work. If a request makes no progress for a time that is derived from the latencies of its
//! class, the pool reports its outcome as unknown and replaces all idle connections. Idle connections without recent
//! activity are replaced before use, or verified by probes if the service has a target for them.

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
