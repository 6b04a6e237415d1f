//! Rows of the store: tables, keys and values.
//!
//! | row | partition | written by | content |
//! |---|---|---|---|
//! | `jobs`, ID | by the hash of ID | the accepting instance | the job; emptied when its final state is stored |
//! | `jobs`, ID`.cancel` | the same | the instance that takes the cancellation | a cancellation marker |
//! | `state`, ID | `main` | the leader | state and progress, from the first start on |
//! | `state`, ID`:`N | `main` | the leader | segment N of the progress of a wide or long job |
//! | `leader`, `leader` | `main` | the leader | the leading instance and its term |
//! | `leader`, `load` | `main` | the leader | waiting work and jobs, for admission and callers |
//! | `workers`, bucket | `main` | the leader | workers that may have runs, with their addresses |
//! | `workers`, `leases` | `main` | the leader | ends of the leases of workers that do not answer |
//! | `members`, INSTANCE | `main` | each instance | its address for other instances, and whether it can lead |
//!
//! The store runs the transactions of a partition one after the other. When it is slow, a partition takes only a few a
//! second, so callers' jobs are distributed over partitions of their own, and the leader's journal has the main
//! partition to itself.

use {
    crate::{LeaderCapacity, Timing},
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId, Workspace},
    ragwortreel_workflow::{Progress, StepProgress},
    serde::{Deserialize, Serialize},
    std::{borrow::Cow, collections::BTreeMap, net::SocketAddr, ops::Not, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Table of jobs and cancellation markers.
pub const JOBS_TABLE: &str = "jobs";
/// Table of the states of started jobs.
pub const STATES_TABLE: &str = "state";
/// Table of the instances of the cell.
pub const MEMBERS_TABLE: &str = "members";
/// Table of the rows that the leader publishes and all instances follow.
pub const LEADER_TABLE: &str = "leader";
/// Name of the row that identifies the leader.
pub const LEADER_ROW: &str = "leader";
/// Name of the row with the load.
pub const LOAD_ROW: &str = "load";
/// Name of the row with the learned speeds of workers and run times of queues.
pub const RUN_TIMES_ROW: &str = "run-times";
/// Table of the workers that may have runs, with their addresses.
pub const WORKERS_TABLE: &str = "workers";
/// Name of the row in that table with the leases of workers that do not answer.
pub const LEASES_ROW: &str = "leases";
/// Number of rows that the workers are distributed over. A row holds 64 KB, which is about 1,100 workers.
pub const WORKER_BUCKETS: u64 = 16;
/// Largest value of a row, in bytes; a limit of the store.
pub const MAX_ROW_BYTES: usize = 65_536;
/// Separator of a job and the number of a segment in the name of the segment's row. Names of jobs do not contain it.
const SEGMENT_SEPARATOR: char = ':';
/// Suffix of the row name of a cancellation marker.
const CANCEL_SUFFIX: &str = ".cancel";

/// Value of a cancellation marker.
pub const CANCEL_VALUE: &str = "1";
/// Partition of all tables that are not distributed.
pub const MAIN_PARTITION: &str = "main";
/// Number of partitions that jobs are distributed over. A store that is sixty times slower than usual runs five
/// transactions a second in each, so these suffice for 300 instances that each store one batch of jobs a second.
pub const JOB_PARTITIONS: usize = 64;

/// Name of a job partition, by its number.
#[must_use]
pub fn job_partition_name(number: usize) -> String {
    format!("{number:02}")
}

/// Number of the partition that holds a job.
#[must_use]
pub fn job_partition(job: &JobId) -> usize {
    let hash = xxh3_64(job.as_str().as_bytes());
    usize::try_from(hash % JOB_PARTITIONS as u64).unwrap_or(0)
}

/// Key of a row in the main partition.
#[must_use]
pub fn main_key(table: &str, name: &str) -> Arc<str> {
    format!("{table}/{MAIN_PARTITION}/{name}").into()
}

/// Key of a job's row.
#[must_use]
pub fn job_key(job: &JobId) -> Arc<str> {
    format!(
        "{JOBS_TABLE}/{}/{job}",
        job_partition_name(job_partition(job))
    )
    .into()
}

/// Key of a job's cancellation marker.
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

/// Name of a row of worker addresses, by its bucket number.
#[must_use]
pub fn bucket_row_name(number: u64) -> String {
    format!("{number:02}")
}

/// Key of a job's state row.
#[must_use]
pub fn state_key(job: &JobId) -> Arc<str> {
    main_key(STATES_TABLE, job.as_str())
}

/// Key of the row of a segment of a job's progress.
#[must_use]
pub fn segment_key(job: &JobId, number: u64) -> Arc<str> {
    main_key(STATES_TABLE, &format!("{job}{SEGMENT_SEPARATOR}{number}"))
}

/// Job and number of a segment; `None` if the row is not one of a segment.
#[must_use]
pub fn parse_segment_row_name(name: &str) -> Option<(JobId, u64)> {
    let (job, number) = name.split_once(SEGMENT_SEPARATOR)?;
    Some((JobId::new(job).ok()?, number.parse().ok()?))
}

/// Row name of a job's cancellation marker.
#[must_use]
pub fn cancel_row_name(job: &JobId) -> String {
    format!("{job}{CANCEL_SUFFIX}")
}

/// Job that a cancellation marker refers to; `None` if the row is not a marker.
#[must_use]
pub fn parse_cancel_row_name(name: &str) -> Option<JobId> {
    JobId::new(name.strip_suffix(CANCEL_SUFFIX)?).ok()
}

/// Encodes a row's value as JSON.
pub(crate) fn to_json(row: &impl Serialize) -> String {
    // Serialization fails only for maps whose keys are not strings, which no row has.
    serde_json::to_string(row)
        .expect("rows hold only numbers, strings, lists and maps with string keys")
}

/// Row of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// Instance that leads.
    pub instance: InstanceId,
    /// Address at which other instances reach the leader.
    pub address: SocketAddr,
    /// Number that identifies the incarnation of the leader's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the term, from 1; workers refuse orders of lower terms.
    pub term: u32,
    /// Number of the renewal within the term.
    pub renewal: u64,
    /// Whether the leader has released leadership.
    pub released: bool,
    /// Whether the leader had stopped to extend leases before it released leadership. Earlier versions ignore it, and did not.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub extends_no_leases: bool,
    /// Capacity of the leader; an instance with as much capacity does not delay its takeover in favor of others.
    #[serde(default, rename = "strength")]
    pub leader_capacity: LeaderCapacity,
    /// Time without a change of this row after which another instance takes over, in ms. The leader starts tasks for a
    /// shorter time after a renewal, so it may use a longer value only once that is stored.
    #[serde(default = "max_takeover_ms")]
    pub takeover_ms: u64,
}

const fn max_takeover_ms() -> u64 {
    Timing::MAX_TAKEOVER_MS
}

/// Row of an instance of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Address at which other instances reach this one.
    pub address: SocketAddr,
    /// Whether the instance can do all of a leader's work.
    pub can_lead: bool,
}

/// Encodes the row of an instance.
#[must_use]
pub fn encode_member(row: &MemberRow) -> Arc<str> {
    to_json(row).into()
}

/// Row of workers that may have runs, with their addresses.
pub type WorkersRow = BTreeMap<WorkerId, SocketAddr>;

/// Row of the leases of workers that do not answer. Earlier versions ignore it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasesRow {
    /// Term that wrote the row; it counts for the next term only.
    pub term: u32,
    /// Times by which all leases on each worker have certainly expired, in ms of the store's clock. The worker gets no
    /// lease as long as it is listed here.
    #[serde(rename = "until")]
    pub until_ms: BTreeMap<WorkerId, u64>,
}

/// Row of a job's state.
#[derive(Debug, Clone, PartialEq)]
pub struct StateRow {
    /// State of the job.
    pub state: JobState,
    /// Progress of the steps; in a final state only the runs that may still be active.
    pub progress: Progress,
    /// Workspace that the job belongs to, if any. It is kept with the state, because the job's row is emptied when the
    /// job ends.
    pub workspace: Option<Workspace>,
}

/// Part of a [`StateRow`] after the letter of the state: the fields of [`Progress`] and the workspace. Earlier versions
/// ignore all fields but the steps.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StateRowBody<'a> {
    #[serde(rename = "p", default, skip_serializing_if = "<[_]>::is_empty")]
    steps: Cow<'a, [StepProgress]>,
    #[serde(rename = "o", default, skip_serializing_if = "<[_]>::is_empty")]
    finished: Cow<'a, [(u32, u32)]>,
    #[serde(rename = "g", default, skip_serializing_if = "Not::not")]
    is_segmented: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    workspace: Option<Workspace>,
}

/// Part of a [`StateRow`] or of a job's row that names the workspace of the job.
#[derive(Debug, Default, Deserialize)]
struct OwnerOnly {
    #[serde(default)]
    workspace: Option<Workspace>,
}

/// State of a job and the workspace that it belongs to, if any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedState {
    /// State of the job.
    pub state: JobState,
    /// Workspace that the job belongs to.
    pub workspace: Option<Workspace>,
}

impl OwnedState {
    /// Encodes the state for an instance that asks the leader: the letter of the state, followed by the workspace.
    /// Earlier versions read only the letter.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::from(state_letter(self.state));
        text.push_str(self.workspace.as_ref().map_or("", Workspace::as_str));
        text
    }

    /// Decodes the text of [`encode`](Self::encode); one without a workspace is of a job that has none.
    ///
    /// # Errors
    ///
    /// Returns an error when the text does not begin with the letter of a state, or the rest is not a workspace.
    pub fn decode(text: &str) -> Result<Self, StateRowError> {
        let state = decode_state(text)?;
        let workspace = match &text[1..] {
            "" => None,
            name => Some(Workspace::new(name).map_err(|err| StateRowError {
                problem: err.to_string(),
            })?),
        };
        Ok(Self { state, workspace })
    }

    /// Decodes the value of a state row without the progress.
    ///
    /// # Errors
    ///
    /// Returns an error when the text does not begin with the letter of a state, or the rest is not valid.
    pub fn decode_row(text: &str) -> Result<Self, StateRowError> {
        let state = decode_state(text)?;
        let workspace = match &text[1..] {
            "" => None,
            json => decode_owner(json)?,
        };
        Ok(Self { state, workspace })
    }
}

/// Workspace that a job belongs to, by the value of the job's row.
///
/// # Errors
///
/// Returns an error when the value is not valid JSON.
pub fn decode_owner(json: &str) -> Result<Option<Workspace>, StateRowError> {
    let owner: OwnerOnly = serde_json::from_str(json).map_err(|err| StateRowError {
        problem: err.to_string(),
    })?;
    Ok(owner.workspace)
}

/// Error of decoding a job's state row.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid state of a job: {problem}")]
pub struct StateRowError {
    /// Cause of the error.
    pub problem: String,
}

impl StateRow {
    /// Encodes the row: a letter for the state, followed by the progress as JSON, if any.
    #[must_use]
    pub fn encode(&self) -> Arc<str> {
        let letter = state_letter(self.state);
        let rest = if self.progress == Progress::default() && self.workspace.is_none() {
            String::new()
        } else {
            to_json(&StateRowBody {
                steps: Cow::Borrowed(&self.progress.steps),
                finished: Cow::Borrowed(&self.progress.finished),
                is_segmented: self.progress.is_segmented,
                workspace: self.workspace.clone(),
            })
        };
        format!("{letter}{rest}").into()
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error when the text does not begin with the letter of a state or the progress is invalid.
    pub fn decode(text: &str) -> Result<Self, StateRowError> {
        let state = decode_state(text)?;
        let rest = &text[1..];
        let mut body = StateRowBody::default();
        if !rest.is_empty() {
            body = serde_json::from_str(rest).map_err(|err| StateRowError {
                problem: err.to_string(),
            })?;
        }
        Ok(Self {
            state,
            progress: Progress {
                steps: body.steps.into_owned(),
                finished: body.finished.into_owned(),
                is_segmented: body.is_segmented,
            },
            workspace: body.workspace,
        })
    }
}

/// Letter of a state, with which the value of its row begins.
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

/// Decodes only the state, which is all that callers see of a row.
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
                problem: format!("expected the letter of a state at the beginning of {text:?}"),
            });
        }
    })
}
