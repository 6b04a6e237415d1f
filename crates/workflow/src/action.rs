//! Actions that the scheduler returns to its driver.

use {
    crate::{Incarnation, StepKey, TaskKey},
    ragwortreel_model::WorkerId,
    std::sync::Arc,
};

/// Start of a task on a worker. The task's resources count as used as soon as the scheduler has decided on the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker that is to run the task.
    pub worker: WorkerId,
    /// Task to start.
    pub task: TaskKey,
    /// Run number, which increases with each start; the same for all members of a gang.
    pub run: u32,
    /// Opaque text of the caller, passed to the worker unchanged.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service, where the queue requires one.
    pub ticket: Option<Arc<str>>,
    /// Incarnation of the worker that the start is meant for; another one may be of another kind.
    pub incarnation: Option<Incarnation>,
}

/// Stop of a run that is or may be active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Worker on which the run may be active.
    pub worker: WorkerId,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number; other runs of the task are not affected.
    pub run: u32,
}

/// Request to the advice service: which of the named workers may run a step.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// Whether worker capacity is reserved for the step until the answer arrives.
    pub has_reservation: bool,
    /// Step whose tasks are to be placed.
    pub step: StepKey,
    /// Candidate workers.
    pub workers: Vec<WorkerId>,
    /// Priority of the step's queue; 0 is the most important.
    pub priority: u32,
    /// Expected duration of the call, in ms.
    pub cost_ms: f64,
}

/// Action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a start to the worker, but only after the job's changed progress is stored.
    Start(StartOrder),
    /// Send a stop to the worker, repeated until the worker confirms it.
    Stop(StopOrder),
    /// Call the advice service.
    RequestAdvice(AdviceRequest),
}
