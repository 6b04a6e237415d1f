//! Rows of the store: their tables, keys and values.
//!
//! | row | part | written by | holds |
//! |---|---|---|---|
//! | `jobs`, ID | by the identifier's hash | the instance that accepts the job | the job; emptied when its final state is stored |
//! | `jobs`, ID`.cancel` | the same | the instance that takes the cancellation | a mark |
//! | `state`, ID | `main` | the leader | state and progress, from the first start on |
//! | `leader`, `leader` | `main` | the leader | who leads, in which term |
//! | `leader`, `load` | `main` | the leader | waiting work and jobs, for admission and callers |
//! | `workers`, bucket | `main` | the leader | workers that may run something, with their addresses |
//! | `members`, INSTANCE | `main` | each instance | its address for other instances, and whether it can lead |
//!
//! The store runs the transactions of a part one after the other. When it is slow, a part takes only a few a second, so
//! callers' jobs are spread over parts of their own and the leader's journal has one for itself.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId},
    ragwortreel_workflow::Progress,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Table of jobs that are not finished.
pub const JOBS: &str = "jobs";
/// Table of the states of jobs.
pub const STATE: &str = "state";
/// Table of the instances of the cell.
pub const MEMBERS: &str = "members";
/// Table of what the leader publishes, which all instances follow.
pub const LEADERS: &str = "leader";
/// Row of the leader.
pub const LEADER: &str = "leader";
/// Row of the load.
pub const LOAD: &str = "load";
/// Table of the known workers.
pub const WORKERS: &str = "workers";
/// Rows that the known workers are divided into. A row holds 64 KB, which is about 1,100 workers.
pub const WORKER_ROWS: u64 = 16;
/// Ending of a cancellation mark.
const CANCEL: &str = ".cancel";

/// Value of a cancellation mark.
pub const CANCEL_MARK: &str = "1";
/// Part of everything that is not spread.
pub const MAIN: &str = "main";
/// Parts that jobs are spread over. A store that is fifty times slower than usual runs six transactions a second in
/// each, which carries the design size of 40 jobs a second.
pub const JOB_PARTS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

/// Number of the part that holds a job.
#[must_use]
pub fn job_part(job: &JobId) -> usize {
    let hash = xxh3_64(job.as_str().as_bytes());
    usize::try_from(hash % JOB_PARTS.len() as u64).unwrap_or(0)
}

/// Key of a row in the main part.
#[must_use]
pub fn key(table: &str, name: &str) -> Arc<str> {
    format!("{table}/{MAIN}/{name}").into()
}

/// Key of a job.
#[must_use]
pub fn job_key(job: &JobId) -> Arc<str> {
    format!("{JOBS}/{}/{job}", JOB_PARTS[job_part(job)]).into()
}

/// Key of a job's cancellation mark.
#[must_use]
pub fn cancel_key(job: &JobId) -> Arc<str> {
    format!("{JOBS}/{}/{}", JOB_PARTS[job_part(job)], cancel_name(job)).into()
}

/// Name of the row that holds a worker's address.
#[must_use]
pub fn worker_row(worker: &WorkerId) -> String {
    let hash = xxh3_64(worker.as_str().as_bytes());
    worker_row_name(hash % WORKER_ROWS)
}

/// Name of a row of known workers by its number.
#[must_use]
pub fn worker_row_name(number: u64) -> String {
    format!("{number:02}")
}

/// Name of a job's cancellation mark in its part.
#[must_use]
pub fn cancel_name(job: &JobId) -> String {
    format!("{job}{CANCEL}")
}

/// The job that a cancellation mark is about.
#[must_use]
pub fn cancelled_job(name: &str) -> Option<JobId> {
    JobId::new(name.strip_suffix(CANCEL)?).ok()
}

/// JSON of a row's value.
pub(crate) fn json(row: &impl Serialize) -> String {
    // Serializing fails only for maps whose keys are not text, which no row has.
    serde_json::to_string(row).expect("rows hold numbers, text, lists and maps by text")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// The leader.
    pub instance: InstanceId,
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Number that distinguishes one life of an instance from the next.
    pub life: u64,
    /// Number of the term, from 1; workers refuse orders of lower ones.
    pub term: u32,
    /// Number of the renewal in the term.
    pub renewal: u64,
    /// Whether the leader has given up.
    pub released: bool,
}

/// An instance of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Whether it can do all of a leader's work.
    pub can_lead: bool,
}

/// The value of an instance's row.
#[must_use]
pub fn encode_member(row: &MemberRow) -> Arc<str> {
    json(row).into()
}

/// Workers that may run something, with their addresses.
pub type WorkersRow = BTreeMap<WorkerId, SocketAddr>;

/// State of a job as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StateRow {
    /// The state.
    pub state: JobState,
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
    /// The value of the row: a letter for the state, then the progress.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        let letter = letter(self.state);
        let rest = if self.progress.steps.is_empty() {
            String::new()
        } else {
            json(&self.progress)
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
        let mut progress = Progress::default();
        if !rest.is_empty() {
            progress = serde_json::from_str(rest).map_err(|err| StateRowError {
                problem: err.to_string(),
            })?;
        }
        Ok(Self { state, progress })
    }
}

/// Letter that a job's stored value begins with.
#[must_use]
pub const fn letter(state: JobState) -> char {
    match state {
        JobState::Queued => 'q',
        JobState::Running => 'r',
        JobState::Succeeded => 's',
        JobState::Failed => 'f',
        JobState::Cancelled => 'x',
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
