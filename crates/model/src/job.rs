//! Jobs, their tasks and the states that they pass through.

use {
    crate::{JobId, Pool, Resources, WorkerId, Workspace, Zone},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 10_000;

/// Ownership epoch of a pool; a worker refuses commands of a lower epoch than it has seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// Number that tells one run of a process from the next at the same address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Number of a task's run, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// Kind of work, which selects the placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Long-lived tasks, spread over racks.
    #[display("service")]
    Service,
    /// Tasks that may wait, packed tightly.
    #[display("batch")]
    Batch,
    /// Tasks that all start together or not at all.
    #[display("gang")]
    Gang,
}

/// Order of importance; higher values come first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// May wait and may be interrupted.
    #[display("best-effort")]
    BestEffort,
    /// Takes its fair share.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts within seconds, if need be in place of best-effort work.
    #[display("urgent")]
    Urgent,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the task in the job, from 0.
    pub index: u32,
}

/// A job as its workspace declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier, chosen by the caller so that a repeated submission is recognised.
    pub id: JobId,
    /// Workspace that the job belongs to and is charged to.
    pub workspace: Workspace,
    /// Name shared by like jobs; sizes and run times are learned under it.
    pub name: Arc<str>,
    /// Kind of work.
    pub kind: JobKind,
    /// Order of importance.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared need of one task.
    pub resources: Resources,
    /// Declared run time of one task in ms; absent for services or when not known.
    #[serde(default)]
    pub run_time_ms: Option<u64>,
    /// Zone that the tasks must run in; absent for any.
    #[serde(default)]
    pub zone: Option<Zone>,
    /// Text handed to the worker unchanged.
    #[serde(default = "empty_payload")]
    pub payload: Arc<str>,
}

fn empty_payload() -> Arc<str> {
    Arc::from("")
}

/// A job specification that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {problem}")]
pub struct SpecError {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong and what was expected.
    pub problem: &'static str,
}

/// Longest accepted payload.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

impl JobSpec {
    /// Checks the values that the types alone do not exclude.
    ///
    /// # Errors
    ///
    /// Returns the first field with an impossible value.
    pub fn check(&self) -> Result<(), SpecError> {
        let fail = |field, problem| Err(SpecError { field, problem });
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return fail("tasks", "expected 1 to 10000");
        }
        if self.resources.milli_cores == 0 || self.resources.memory_mib == 0 {
            return fail("resources", "expected milli_cores and memory_mib above 0");
        }
        if self.resources.checked_mul(u64::from(self.tasks)).is_none() {
            return fail("resources", "the sum over all tasks is too large");
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return fail("payload", "expected at most 65536 bytes");
        }
        if self.name.is_empty() || self.name.len() > crate::MAX_NAME_BYTES {
            return fail("name", "expected 1 to 128 bytes");
        }
        if self.run_time_ms == Some(0) {
            return fail("run_time_ms", "expected above 0");
        }
        Ok(())
    }
}

/// A run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// Number of this run.
    pub attempt: Attempt,
    /// Where it runs.
    pub worker: WorkerId,
    /// What is reserved for it there.
    pub resources: Resources,
}

/// How a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskResult {
    /// It did its work.
    #[display("succeeded")]
    Succeeded,
    /// It started and failed.
    #[display("failed")]
    Failed,
    /// The worker could not start it.
    #[display("not-started")]
    NotStarted,
    /// It was stopped on request and saved its progress.
    #[display("checkpointed")]
    Checkpointed,
    /// It was stopped on request.
    #[display("stopped")]
    Stopped,
    /// Its worker was lost.
    #[display("lost")]
    Lost,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task runs yet.
    #[display("queued")]
    Queued,
    /// At least one task runs.
    #[display("running")]
    Running,
    /// All tasks succeeded.
    #[display("succeeded")]
    Succeeded,
    /// A task failed more often than allowed.
    #[display("failed")]
    Failed,
    /// Cancelled by its workspace.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the job can never change again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// Why a task of a job is not running.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum WaitReason {
    /// No worker is large enough, even when empty.
    #[display("no worker is large enough: a task needs {need}, the largest worker has {largest}")]
    NoWorkerLargeEnough {
        /// Need of one task.
        need: Resources,
        /// The largest worker.
        largest: Resources,
    },
    /// The whole pool is too small for the tasks that must start together.
    #[display("the pool {pool} can hold {possible} of {tasks} tasks that must start together")]
    PoolTooSmall {
        /// The pool.
        pool: Pool,
        /// Tasks that fit when the pool is empty.
        possible: u32,
        /// Tasks of the job.
        tasks: u32,
    },
    /// The job alone is larger than its workspace's quota.
    #[display("larger than the workspace's quota of {quota}")]
    LargerThanQuota {
        /// The quota.
        quota: Resources,
    },
    /// The workspace's quota is in use.
    #[display("the workspace's quota of {quota} is in use")]
    QuotaInUse {
        /// The quota.
        quota: Resources,
    },
    /// Waiting for room, behind others.
    #[display("waiting for room, {ahead} tasks are ahead")]
    WaitingForRoom {
        /// Number of tasks in front.
        ahead: u64,
    },
    /// Gathering room for tasks that must start together.
    #[display("room is being gathered, expected in {expected_ms} ms")]
    GatheringRoom {
        /// Estimated time until the start.
        expected_ms: u64,
    },
    /// Failed before and waits for its next attempt.
    #[display("failed {failures} times, next attempt in {wait_ms} ms")]
    BackingOff {
        /// Failures so far.
        failures: u32,
        /// Time until the next attempt.
        wait_ms: u64,
    },
    /// The table service does not take the record of the start.
    #[display("the table service is not available")]
    StoreUnavailable,
    /// An earlier run may still be alive on a worker that does not answer.
    #[display("an earlier run on {worker} may still be alive, certain in {wait_ms} ms")]
    EarlierRunMayBeAlive {
        /// The silent worker.
        worker: WorkerId,
        /// Longest time until its lease has lapsed.
        wait_ms: u64,
    },
}

/// A job with its state, as shown to its workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The declaration.
    pub spec: JobSpec,
    /// Pool that places it.
    pub pool: Pool,
    /// State of the whole job.
    pub state: JobState,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Failed runs so far.
    pub failures: u32,
    /// Why tasks wait, if any do.
    #[serde(default)]
    pub waiting: Option<WaitReason>,
}
