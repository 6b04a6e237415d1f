//! Placement of tasks on the workers of one pool.
//!
//! The package is synchronous and has no clock of its own: each call carries the time. The owner of a pool drives one
//! [`PoolScheduler`]: it reports what workers and teams do, and asks for decisions.

mod api;
mod config;
pub mod naive;
mod scheduler;

pub use {
    api::{Decision, PoolScheduler, PoolStats, SubmitError, TeamShare, WorkerSpec, WorkerState},
    config::Config,
    scheduler::Scheduler,
};
