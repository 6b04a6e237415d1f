//! Stand-in for workers.

mod fleet;
mod history;
mod machine;

pub use {
    fleet::{FakeFleet, FakeWorker, NoWorkerAnswer, WorkerAnswer, WorkerCall},
    history::{RunHistory, RunRecord, Violation},
    machine::{CommandKind, Fenced, SimulatedRun, WorkerCounts, WorkerSpec},
};
