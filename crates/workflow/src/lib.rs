//! Scheduling of jobs made of dependent steps on all workers of a cell.
//!
//! The package is synchronous and has no clock or network of its own: each call carries the time. The leader of a cell
//! drives one [`Scheduler`]: it reports what callers, workers and the advice service say, and carries out the
//! [`Action`]s that [`Scheduler::decide`] returns. Workers need not guard their own capacity, so the accounting here is what
//! keeps a worker from being overcommitted.

mod action;
mod admission;
mod advice;
mod broker;
mod job;
mod load;
mod place;
mod progress;
mod scheduler;
mod state;
mod worker;

pub use {
    action::{Action, AdviceRequest, StartOrder, StopOrder},
    admission::{Admission, Load, Refusal},
    broker::{AdviceBroker, AssignedCall},
    job::{AdviceCost, JobRequest, QueuePolicy, Schedule, Step, StepKey, TaskKey},
    progress::{JobChange, PlacedTasks, Progress, StepProgress, TaskFailures},
    scheduler::Scheduler,
    state::JobOrigin,
    worker::{EndCause, EndedRun, HeartbeatReport, RunningTask, StartOutcome, WorkerSpec},
};
