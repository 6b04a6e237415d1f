//! Client for workers.

mod api;

pub use api::{
    HeartbeatReply, HeartbeatRequest, ReportedTask, StartReply, StartRequest, TASK_LEASE_MS,
    TaskCommand, TaskPhase, WorkerClient, WorkerConnector, WorkerError,
};
