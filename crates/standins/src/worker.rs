//! Worker stand-in: simulates runs of tasks, their lease and the rejection of outdated epochs, without executing
//! anything.

mod fleet;
mod history;
mod server;
mod state;

pub use {
    fleet::{FakeFleet, FakeWorker, WorkerCall, WorkerCallError, WorkerReply},
    history::{RunHistory, RunRecord, Violation},
    server::serve_worker,
    state::{CommandKind, Fenced, SimulatedRun, WorkerCounts, WorkerSpec},
};
