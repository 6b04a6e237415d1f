//! What must survive a change of leader: what has ended, and what was saved.

use {
    ragwortreel_model::{JobId, JobState, WorkerId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Failed runs of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailures {
    /// Number of the task in its step; for a gang always 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// Number of failed runs.
    #[serde(rename = "n")]
    pub failures: u32,
    /// Highest run that has ended.
    #[serde(rename = "r")]
    pub run: u32,
}

/// Runs of a step on one worker that may be alive; stored before their starts are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedTasks {
    /// Where they run.
    #[serde(rename = "w")]
    pub worker: WorkerId,
    /// Number of the run, the same for all of them.
    #[serde(rename = "r")]
    pub run: u32,
    /// Numbers of the tasks in the step.
    #[serde(rename = "i")]
    pub tasks: Vec<u32>,
}

/// Progress of one occurrence of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Number of the occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Tasks that are done.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks with failed runs.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<TaskFailures>,
    /// Runs that may be alive.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedTasks>,
    /// Saved progress of tasks that wait.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, Arc<str>)>,
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Steps of which something has ended.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}

/// Rough size of a worker's name with the tasks that run on it, in bytes of JSON.
const PLACED_BYTES: usize = 64;
/// The same for a saved progress.
const SAVED_BYTES: usize = 64;
/// The same for everything else of a step, but for numbers of tasks.
const STEP_BYTES: usize = 64;
/// The same for the number of a task.
const NUMBER_BYTES: usize = 6;

impl Progress {
    /// Rough size of the stored form, in bytes; on the large side.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let of_step = |step: &StepProgress| {
            let placed = step
                .placed
                .iter()
                .map(|it| PLACED_BYTES + NUMBER_BYTES * it.tasks.len());
            STEP_BYTES
                + placed.sum::<usize>()
                + NUMBER_BYTES * step.done.len()
                + STEP_BYTES * step.failures.len()
                + SAVED_BYTES * step.checkpoints.len()
        };
        STEP_BYTES + self.steps.iter().map(of_step).sum::<usize>()
    }
}

/// A job whose stored state is to be replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobChange {
    /// The job.
    pub job: JobId,
    /// Its state.
    pub state: JobState,
    /// The job's queue.
    pub queue: Arc<str>,
    /// Order of importance; 0 comes first.
    pub priority: u32,
    /// Time since its acceptance, in ms.
    pub age_ms: u64,
    /// Its progress; empty once the state is final.
    pub progress: Progress,
}
