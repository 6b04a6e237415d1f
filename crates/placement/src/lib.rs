//! Placement of tasks on the workers of one pool.
//!
//! The crate does no I/O, starts no threads and reads no clock: each call carries the current time in ms. The instance
//! that owns a pool drives one [`PoolScheduler`]: it reports changes of workers, workspaces, jobs and runs, and calls
//! [`PoolScheduler::decide`] for decisions.

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
