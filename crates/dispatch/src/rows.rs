//! Rows of the store: their tables, keys and values.
//!
//! | row | written by | holds |
//! |---|---|---|
//! | `jobs/ID` | the instance that accepts the job | the job; removed when its final state is stored |
//! | `jobs/ID.cancel` | the instance that takes the cancellation | a mark; removed with the job |
//! | `state/ID` | that instance, then the leader | state and progress |
//! | `state/!leader` | the leader | who leads, in which term |
//! | `state/!workers` | the leader | workers that may run something, with their addresses |
//! | `state/!load` | the leader | waiting work, for admission |
//! | `members/INSTANCE` | each instance | its address for other instances |

use {
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId},
    ragwortreel_workflow::Progress,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Table of jobs that are not finished.
pub const JOBS: &str = "jobs";
/// Table of the states of jobs, and of what the leader tells all instances.
pub const STATE: &str = "state";
/// Table of the instances of the cell.
pub const MEMBERS: &str = "members";
/// Row of the leader; `!` sorts before all identifiers and cannot stand in one.
pub const LEADER: &str = "!leader";
/// Row of the known workers.
pub const WORKERS: &str = "!workers";
/// Row of the load.
pub const LOAD: &str = "!load";
/// Ending of a cancellation mark.
const CANCEL: &str = ".cancel";

/// Key of a row.
#[must_use]
pub fn key(table: &str, name: &str) -> Arc<str> {
    format!("{table}/{name}").into()
}

/// Key of a job's cancellation mark.
#[must_use]
pub fn cancel_key(job: &JobId) -> Arc<str> {
    format!("{JOBS}/{job}{CANCEL}").into()
}

/// The job that a cancellation mark is about.
#[must_use]
pub fn cancelled_job(name: &str) -> Option<JobId> {
    JobId::new(name.strip_suffix(CANCEL)?).ok()
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// The leader.
    pub instance: InstanceId,
    /// Number that tells one life of an instance from the next.
    pub life: u64,
    /// Number of the term, from 1; workers refuse orders of lower ones.
    pub term: u32,
    /// Number of the renewal in the term.
    pub renewal: u64,
    /// Whether the leader has given up.
    pub released: bool,
}

/// Workers that may run something, with their addresses.
pub type WorkersRow = BTreeMap<WorkerId, SocketAddr>;

/// State of a job as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StateRow {
    /// The state.
    pub state: JobState,
    /// The job's queue; present while the job waits for its first start.
    pub queue: Option<Arc<str>>,
    /// Progress; empty for final states.
    pub progress: Progress,
}

/// A value that is not a job's state.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("not a job's state: {problem}")]
pub struct StateRowError {
    /// What is wrong.
    pub problem: String,
}

impl StateRow {
    /// State of a job that was accepted.
    #[must_use]
    pub fn queued(queue: &Arc<str>) -> Self {
        Self {
            state: JobState::Queued,
            queue: Some(Arc::clone(queue)),
            progress: Progress::default(),
        }
    }

    /// The value of the row: a letter for the state, then the queue or the progress.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        let letter = match self.state {
            JobState::Queued => 'q',
            JobState::Running => 'r',
            JobState::Succeeded => 's',
            JobState::Failed => 'f',
            JobState::Cancelled => 'x',
        };
        let rest = match (self.state, &self.queue) {
            (JobState::Queued, Some(queue)) => queue.to_string(),
            (JobState::Running, _) if !self.progress.steps.is_empty() => {
                serde_json::to_string(&self.progress).unwrap_or_default()
            }
            _ => String::new(),
        };
        format!("{letter}{rest}").into()
    }

    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not a state.
    pub fn decode(text: &str) -> Result<Self, StateRowError> {
        let state = decode_state(text)?;
        let rest = &text[1..];
        let (mut queue, mut progress) = (None, Progress::default());
        match state {
            JobState::Queued if !rest.is_empty() => queue = Some(Arc::from(rest)),
            JobState::Running if !rest.is_empty() => {
                progress = serde_json::from_str(rest).map_err(|err| StateRowError {
                    problem: err.to_string(),
                })?;
            }
            _ => {}
        }
        Ok(Self {
            state,
            queue,
            progress,
        })
    }
}

/// Reads only the state, which is all that an instance shows.
///
/// # Errors
///
/// Returns an error when the text does not begin with the letter of a state.
pub fn decode_state(text: &str) -> Result<JobState, StateRowError> {
    Ok(match text.as_bytes().first() {
        Some(b'q') => JobState::Queued,
        Some(b'r') => JobState::Running,
        Some(b's') => JobState::Succeeded,
        Some(b'f') => JobState::Failed,
        Some(b'x') => JobState::Cancelled,
        _ => {
            return Err(StateRowError {
                problem: format!("unknown letter at the beginning of {text:?}"),
            });
        }
    })
}
