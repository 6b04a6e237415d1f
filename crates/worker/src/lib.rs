//! Client for workers: the protocol, its implementation over HTTP, and a cache of the tasks that a worker reports.

mod api;
pub mod events;
mod http_client;
mod report_deserialize;
mod task_cache;

pub use {
    api::{
        HeartbeatReply, HeartbeatRequest, ReportBase, ReportedTask, StartReply, StartRequest,
        TASK_LEASE_MS, TaskCommand, TaskPhase, WorkerClient, WorkerConnector, WorkerError,
    },
    http_client::{HttpWorkerConnector, WorkerTimeouts},
    task_cache::{ReportError, TaskTable, WorkerTaskCache},
};
