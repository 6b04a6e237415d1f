//! Scheduling of jobs made of dependent steps on all workers of a cell.
//!
//! The crate is synchronous and does no I/O: each call passes the current time. The leader of a cell drives one
//! [`Scheduler`]: it passes in new jobs, heartbeats of workers and answers of the advice service, and carries out the
//! [`Action`]s that [`Scheduler::decide`] returns. Workers do not enforce their capacity, so only the accounting of the
//! scheduler prevents overcommitment.
//!
//! # Terms
//!
//! - *Cell*: a group of instances and workers. One instance leads it at a time; its period of leadership is a *term*.
//! - *Step*: a part of a job that consists of identical *tasks*. The tasks of a *gang* step start and run together.
//! - *Occurrence*: one execution of the steps of a job. A job with a schedule has several; each is *opened* when it is
//!   due, which creates its tasks.
//! - *Objective*: the time after its acceptance within which a job is to be completed.
//! - *Run*: one execution of a task on a worker. It is *active* from its start on the worker until its end.
//! - *Lease*: the time for which a worker may execute runs without a renewal by the leader.
//! - *Advice service*: decides which workers may run a step, for queues that require it. For each allowed worker it
//!   issues a *ticket*, which is sent with the start order and expires after a fixed time.

mod action;
mod admission;
mod advice;
mod advice_broker;
mod advice_requests;
mod backlog;
mod changes;
mod evacuation;
mod fair_share;
mod gang_room;
mod incarnations;
mod job;
mod job_state;
mod limit_backfill;
mod order;
mod placement;
mod progress;
mod quarantine;
mod recovery;
mod reservations;
mod restart_slots;
mod room_forecast;
mod run_ends;
mod run_times;
mod scheduler;
mod segments;
mod stalls;
mod unplaceable;
mod waiting;
mod worker;
mod workspaces;

pub use {
    action::{Action, AdviceRequest, StartOrder, StopOrder},
    admission::{Admission, FreeWorkers, Load, Refusal, RefusalReason},
    advice_broker::{AdviceBroker, AssignedCall},
    evacuation::{MoveReason, MovedRuns},
    fair_share::WorkspaceLoad,
    incarnations::Incarnation,
    job::{
        AdviceCost, JobError, JobRequest, QueuePolicy, Schedule, Step, StepKey, TaskKey,
        WorkspacePolicy,
    },
    job_state::JobOrigin,
    order::OrderRules,
    progress::{JobChange, PlacedTasks, Progress, StepProgress, TaskFailures},
    quarantine::QuarantineNotice,
    run_times::{QueueRow, RunTimesRow},
    scheduler::Scheduler,
    segments::{SEGMENT_TASKS, Segments},
    stalls::{StallEvidence, StuckRun},
    unplaceable::{UnplaceableReason, UnplaceableStep},
    worker::{EndCause, EndedRun, HeartbeatReport, RunningTask, StartOutcome, WorkerSpec},
    workspaces::{LimitError, WorkspaceNotice, WorkspaceSummary},
};
