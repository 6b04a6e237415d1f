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
    crate::{LeaderCapacity, Timing},
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId},
    ragwortreel_workflow::Progress,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Table of jobs that are not finished.
pub const JOBS_TABLE: &str = "jobs";
/// Table of the states of jobs.
pub const STATES_TABLE: &str = "state";
/// Table of the instances of the cell.
pub const MEMBERS_TABLE: &str = "members";
/// Table of what the leader publishes, which all instances follow.
pub const LEADER_TABLE: &str = "leader";
/// Row of the leader.
pub const LEADER_ROW: &str = "leader";
/// Row of the load.
pub const LOAD_ROW: &str = "load";
/// Table of the known workers.
pub const WORKERS_TABLE: &str = "workers";
/// Rows that the known workers are divided into. A row holds 64 KB, which is about 1,100 workers.
pub const WORKER_BUCKETS: u64 = 16;
/// Ending of a cancellation mark.
const CANCEL_SUFFIX: &str = ".cancel";

/// Value of a cancellation mark.
pub const CANCEL_VALUE: &str = "1";
/// Part of everything that is not spread.
pub const MAIN_PARTITION: &str = "main";
/// Number of parts that jobs are spread over. A store that is sixty times slower than usual runs five transactions a second
/// in each, so these carry 300 instances of which each stores one group of jobs a second.
pub const JOB_PARTITIONS: usize = 64;

/// Name of a part that holds jobs.
#[must_use]
pub fn job_partition_name(number: usize) -> String {
    format!("{number:02}")
}

/// Number of the part that holds a job.
#[must_use]
pub fn job_partition(job: &JobId) -> usize {
    let hash = xxh3_64(job.as_str().as_bytes());
    usize::try_from(hash % JOB_PARTITIONS as u64).unwrap_or(0)
}

/// Key of a row in the main part.
#[must_use]
pub fn main_key(table: &str, name: &str) -> Arc<str> {
    format!("{table}/{MAIN_PARTITION}/{name}").into()
}

/// Key of a job.
#[must_use]
pub fn job_key(job: &JobId) -> Arc<str> {
    format!(
        "{JOBS_TABLE}/{}/{job}",
        job_partition_name(job_partition(job))
    )
    .into()
}

/// Key of a job's cancellation mark.
#[must_use]
pub fn cancel_key(job: &JobId) -> Arc<str> {
    let part = job_partition_name(job_partition(job));
    format!("{JOBS_TABLE}/{part}/{}", cancel_row_name(job)).into()
}

/// Name of the row that holds a worker's address.
#[must_use]
pub fn worker_row_name(worker: &WorkerId) -> String {
    let hash = xxh3_64(worker.as_str().as_bytes());
    bucket_row_name(hash % WORKER_BUCKETS)
}

/// Name of a row of known workers by its number.
#[must_use]
pub fn bucket_row_name(number: u64) -> String {
    format!("{number:02}")
}

/// Name of a job's cancellation mark in its part.
#[must_use]
pub fn cancel_row_name(job: &JobId) -> String {
    format!("{job}{CANCEL_SUFFIX}")
}

/// The job that a cancellation mark is about.
#[must_use]
pub fn parse_cancel_row_name(name: &str) -> Option<JobId> {
    JobId::new(name.strip_suffix(CANCEL_SUFFIX)?).ok()
}

/// JSON of a row's value.
pub(crate) fn json(row: &impl Serialize) -> String {
    // Serializing fails only for maps whose keys are not text, which no row has.
    serde_json::to_string(row).expect("rows hold numbers, text, lists and maps by text")
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// The leader.
    pub instance: InstanceId,
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Number that distinguishes one life of an instance from the next.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the term, from 1; workers refuse orders of lower ones.
    pub term: u32,
    /// Number of the renewal in the term.
    pub renewal: u64,
    /// Whether the leader has given up.
    pub released: bool,
    /// How much of a leader's work it can do; instances that can do as much need not leave the lead to stronger ones.
    #[serde(default, rename = "strength")]
    pub leader_capacity: LeaderCapacity,
    /// Time without a change of this row after which another instance takes over, in ms. The leader starts tasks for a
    /// shorter time after a renewal, so it may only use a longer time once that is stored.
    #[serde(default = "max_takeover_ms")]
    pub takeover_ms: u64,
}

const fn max_takeover_ms() -> u64 {
    Timing::MAX_TAKEOVER_MS
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
        let letter = state_letter(self.state);
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
pub const fn state_letter(state: JobState) -> char {
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
