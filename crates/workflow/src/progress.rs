//! Progress of jobs in its stored form, from which a new leader recovers.

use {
    crate::Segments,
    ragwortreel_model::{JobId, JobState, WorkerId, Workspace},
    serde::{Deserialize, Serialize},
    std::{ops::Not, sync::Arc},
};

/// Failed runs of a task, or of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailures {
    /// Index of the task in its step; always 0 for a gang.
    #[serde(rename = "i")]
    pub index: u32,
    /// Count of failed runs.
    #[serde(rename = "n")]
    pub failures: u32,
    /// Run number that the next run must exceed.
    #[serde(rename = "r")]
    pub run: u32,
}

/// Runs of a step's tasks that may be active on one worker; stored before their starts are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedTasks {
    /// Worker on which the runs may be active.
    #[serde(rename = "w")]
    pub worker: WorkerId,
    /// Run number, the same for all of these tasks.
    #[serde(rename = "r")]
    pub run: u32,
    /// Indices of the tasks in the step.
    #[serde(rename = "i")]
    pub tasks: Vec<u32>,
}

/// Progress of one occurrence of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Number of the occurrence, from 0.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// Index of the step in the job.
    #[serde(rename = "s")]
    pub step: u32,
    /// Indices of the tasks that are done.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks with failed runs.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<TaskFailures>,
    /// Runs that may be active.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedTasks>,
    /// Latest checkpoints of tasks that are not done, by task index.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, Arc<str>)>,
}

/// Progress of a job; empty for a job of which nothing was started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Steps with a placed, done or failed task, or a checkpoint.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
    /// Ranges of finished occurrences that `steps` leaves out, each with its first number and its length.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<(u32, u32)>,
    /// Whether the steps are stored in segments of their own.
    #[serde(rename = "g", default, skip_serializing_if = "Not::not")]
    pub is_segmented: bool,
}

impl Progress {
    /// The placed runs without all else.
    pub(crate) fn into_placed(self) -> Self {
        let steps = (self.steps.into_iter()).filter(|step| !step.placed.is_empty());
        let placed = steps.map(|step| StepProgress {
            occurrence: step.occurrence,
            step: step.step,
            placed: step.placed,
            ..StepProgress::default()
        });
        Self {
            steps: placed.collect(),
            ..Self::default()
        }
    }

    /// Size of the stored form, in bytes.
    pub(crate) fn stored_bytes(&self) -> usize {
        // Serialization does not fail: the fields are numbers, strings and lists.
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }
}

/// Change of a job's state or progress that the driver must store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobChange {
    /// Identifier of the job.
    pub job: JobId,
    /// New state.
    pub state: JobState,
    /// Workspace that the job belongs to.
    pub workspace: Option<Workspace>,
    /// Name of the job's queue.
    pub queue: Arc<str>,
    /// Priority of the queue; 0 is the most important.
    pub priority: u32,
    /// Time since the job was accepted, in ms.
    pub age_ms: u64,
    /// New progress in the row of the state; once the state is final, only the runs that may still be active.
    pub progress: Progress,
    /// New progress that is stored in rows of its own.
    pub segments: Segments,
}
