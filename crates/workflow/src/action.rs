//! What the scheduler asks its driver to do.

use {
    crate::{StepKey, TaskKey},
    ragwortreel_model::WorkerId,
    std::sync::Arc,
};

/// Start of a task on a worker; its room is reserved from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Where it starts.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of this run; the same for all members of a gang.
    pub run: u32,
    /// Text handed to the worker unchanged.
    pub payload: Arc<str>,
    /// Saved progress to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service, where the queue needs one.
    pub ticket: Option<Arc<str>>,
}

/// Stop of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopOrder {
    /// Where it runs, or may run.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// Question which of the named workers may run a step.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// Whether room is kept for the answer.
    pub has_reservation: bool,
    /// The step.
    pub step: StepKey,
    /// Workers that are asked about.
    pub workers: Vec<WorkerId>,
    /// Priority of the step's queue; 0 comes first.
    pub priority: u32,
    /// Time that the service will take, in ms.
    pub cost_ms: f64,
}

/// One thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a start, once the job's changed progress is stored.
    Start(StartOrder),
    /// Send a stop until the worker confirms it.
    Stop(StopOrder),
    /// Ask the advice service.
    RequestAdvice(AdviceRequest),
}
