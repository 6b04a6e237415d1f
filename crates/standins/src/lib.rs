//! Stand-ins for the platform, workers and backend servers.
//!
//! Each stand-in works in process for fast tests and behind a real socket. Both forms share one implementation and
//! the same fault switches.

mod faults;
pub mod platform;
pub mod worker;

pub use {
    faults::{FaultSwitch, Faults, Outage, Verdict},
    platform::{Counts, Limits, MemoryPlatform, MemoryTable},
    worker::{FakeFleet, FakeWorker, RunHistory, Violation, WorkerSpec},
};
