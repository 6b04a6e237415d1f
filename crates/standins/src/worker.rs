//! Stand-in for workers.

mod fleet;
mod history;
mod machine;
mod server;

pub use {
    fleet::{FakeFleet, FakeWorker, NoWorkerAnswer, WorkerAnswer, WorkerCall},
    history::{RunHistory, RunRecord, Violation},
    machine::{CommandKind, Fenced, SimulatedRun, WorkerCounts, WorkerSpec},
    server::serve_worker,
};
