//! Runtime of an instance: leader election, the journal and worker monitoring around the workflow scheduler.
//!
//! A cell is the set of instances that share a store and schedule jobs on the same workers. Every instance runs a
//! [`Cell`], its part of the cell. It follows the rows that the leader publishes, admits and stores callers' jobs on
//! its own, gets the states of jobs from the leader or the store, and takes part in leader election. The leader places
//! the tasks of all jobs on all workers; its term number is the fencing token that workers check. Durable state is in
//! the platform's store; see `docs/platform.md` for rows and failures.

mod access;
mod advice;
pub mod api;
mod cell;
mod cell_view;
mod commit_copies;
mod configuration;
mod election;
pub mod events;
mod finished_jobs;
mod health;
mod job_frontend;
mod journal;
mod key_freshness;
mod leader_capacity;
mod leader_client;
mod metrics;
mod orders;
mod outages;
mod row_writes;
pub mod rows;
pub mod stored_states;
mod term;
mod term_log;
mod term_stats;
mod timing;
mod unanswered;
mod worker_monitor;
mod workspaces;

pub use {
    access::{AccessControl, AccessError, Caller, authorize},
    cell::{Cell, CellConfig, CellDeps},
    cell_view::CellView,
    commit_copies::commit_with_copies,
    job_frontend::{CancelOutcome, JobFrontend, NewJob, StateOutcome, SubmitOutcome},
    key_freshness::{FreshnessChange, KeyFreshness},
    leader_capacity::LeaderCapacity,
    metrics::CellMetrics,
    outages::{OutageStart, OutageTracker},
    timing::Timing,
};
