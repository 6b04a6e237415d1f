//! Placement of tasks on the workers of one pool.
//!
//! The package is synchronous and has no clock of its own: each call carries the time. The owner of a pool drives one
//! [`PoolScheduler`]: it reports what workers and workspaces do, and asks for decisions.

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
