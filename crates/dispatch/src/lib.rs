//! The running cell: leadership, journal and worker loops that drive the workflow scheduler.
//!
//! Every instance runs a [`Cell`]. It follows the stored state of all jobs, so that each instance answers its callers by
//! itself, and stands for leadership. The leader places the tasks of all jobs on all workers; its term number is the
//! fence that workers check. What must last is in the platform's store; see `docs/platform.md` for rows and failures.

mod advice;
pub mod api;
mod board;
mod cell;
mod desk;
pub mod events;
mod figures;
mod finished;
mod health;
mod journal;
mod leader_link;
mod leadership;
mod metrics;
mod orders;
mod outages;
pub mod rows;
mod strength;
mod term;
mod timing;
mod worker_loop;

pub use {
    board::Board,
    cell::{Cell, CellConfig, CellParts},
    desk::{CancelOutcome, JobDesk, NewJob, StateAnswer, SubmitOutcome},
    metrics::CellMetrics,
    outages::{Began, Outages},
    strength::Strength,
    timing::Timing,
};
