//! Scheduling of jobs made of dependent steps on all workers of a cell.
//!
//! The crate is synchronous and does no I/O: each call passes the current time. The leader of a cell drives one
//! [`Scheduler`]: it passes in new jobs, heartbeats of workers and answers of the advice service, and carries out the
//! [`Action`]s that [`Scheduler::decide`] returns. Workers do not enforce their capacity, so only the accounting of the
//! scheduler prevents overcommitment.

mod action;
mod admission;
mod advice;
mod advice_broker;
mod backlog;
mod job;
mod job_state;
mod placement;
mod progress;
mod scheduler;
mod worker;

pub use {
    action::{Action, AdviceRequest, StartOrder, StopOrder},
    admission::{Admission, Load, Refusal},
    advice_broker::{AdviceBroker, AssignedCall},
    job::{AdviceCost, JobRequest, QueuePolicy, Schedule, Step, StepKey, TaskKey},
    job_state::JobOrigin,
    progress::{JobChange, PlacedTasks, Progress, StepProgress, TaskFailures},
    scheduler::Scheduler,
    worker::{EndCause, EndedRun, HeartbeatReport, RunningTask, StartOutcome, WorkerSpec},
};
