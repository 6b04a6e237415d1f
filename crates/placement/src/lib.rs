//! Placement of tasks on the workers of one pool.
//!
//! The crate does no I/O, starts no threads and reads no clock: each call carries the current time in ms. The instance
//! that owns a pool drives one [`PoolScheduler`]: it reports changes of workers, workspaces, jobs and runs, and calls
//! [`PoolScheduler::decide`] for decisions.
//!
//! A job consists of tasks. A service has long-lived tasks that are spread over racks, a batch job has independent
//! tasks that may wait, and the tasks of a gang start together or not at all. A run is one attempt to execute a task on
//! a worker.
//!
//! - A *reservation* keeps chosen workers for one job that does not fit yet. *Backfilling* starts tasks of other jobs
//!   on these workers if they do not delay the job.
//! - A worker whose starts fail is *quarantined* for a time. It is then on *probation*: it gets one task, the probe,
//!   whose start shows whether the worker is healthy again.
//! - A *job class* is a set of jobs that are placed in the same way; the scheduler ranks classes, not single jobs.

mod api;
mod arena;
mod capacity;
mod config;
mod decide;
mod estimate;
mod explain;
mod jobs;
pub mod naive;
mod policy;
mod preemption;
mod queue;
mod reservation;
mod runs;
mod scheduler;
mod workers;
mod workspaces;

pub use {
    api::{
        Decision, PoolScheduler, PoolStats, SubmitError, WorkerSpec, WorkerState, WorkspaceShare,
    },
    capacity::SearchOrder,
    config::Config,
    policy::{Candidate, PlacementPolicy},
    scheduler::Scheduler,
};
