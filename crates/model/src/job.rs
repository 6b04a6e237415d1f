//! Jobs, their tasks, job states and the reasons why a task waits.

use {
    crate::{JobId, Pool, Resources, WorkerId, Workspace, Zone},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 10_000;

/// Ownership epoch of a pool, a fencing token: a worker rejects commands with an epoch lower than the highest it has
/// seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// Number that distinguishes a process from earlier processes at the same address.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Sequence number of a run of a task, starting at 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
pub struct Attempt(pub u32);

/// Kind of work, which selects the placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Long-lived tasks, spread across racks.
    #[display("service")]
    Service,
    /// Tasks that may be queued, packed densely onto workers.
    #[display("batch")]
    Batch,
    /// Tasks that all start together or not at all.
    #[display("gang")]
    Gang,
}

/// Scheduling priority; a higher value is scheduled first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// May be queued and may be preempted.
    #[display("best-effort")]
    BestEffort,
    /// Scheduled within the workspace's fair share.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts within seconds and may preempt best-effort tasks to do so.
    #[display("urgent")]
    Urgent,
}

/// Identifier of a task: its job and its index in the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

/// Specification of a job, as submitted by its workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier, chosen by the caller so that a repeated submission can be deduplicated.
    pub id: JobId,
    /// Workspace that owns the job and whose quota it counts against.
    pub workspace: Workspace,
    /// Name shared by similar jobs; resource and run time estimates are kept for each name.
    pub name: Arc<str>,
    /// Kind of work, which selects the placement policy.
    pub kind: JobKind,
    /// Scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Resources requested for each task.
    pub resources: Resources,
    /// Expected run time of each task in ms, above 0; absent for services or when unknown.
    #[serde(default)]
    pub run_time_ms: Option<u64>,
    /// Availability zone that the tasks must run in; absent for any zone.
    #[serde(default)]
    pub zone: Option<Zone>,
    /// Text that is passed to the worker unchanged, at most 64 KiB.
    #[serde(default = "empty_payload")]
    pub payload: Arc<str>,
}

fn empty_payload() -> Arc<str> {
    Arc::from("")
}

/// An invalid job specification.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{field}: {problem}")]
pub struct SpecError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Expected value or violated limit.
    pub problem: &'static str,
}

/// Maximum length of a job's payload.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

impl JobSpec {
    /// Validates the value ranges that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is out of range.
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

/// Assignment of one run of a task to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Task to run.
    pub task: TaskId,
    /// Sequence number of this run of the task.
    pub attempt: Attempt,
    /// Worker that executes the run.
    pub worker: WorkerId,
    /// Resources reserved for the run on the worker.
    pub resources: Resources,
}

/// Result of a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskResult {
    /// The task completed its work.
    #[display("succeeded")]
    Succeeded,
    /// The task started and failed.
    #[display("failed")]
    Failed,
    /// The worker could not start the task.
    #[display("not-started")]
    NotStarted,
    /// The task was stopped on request after it saved its progress.
    #[display("checkpointed")]
    Checkpointed,
    /// The task was stopped on request without saving its progress.
    #[display("stopped")]
    Stopped,
    /// The worker was removed or no longer reports the run, so the result is not known.
    #[display("lost")]
    Lost,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task is running yet.
    #[display("queued")]
    Queued,
    /// At least one task is running.
    #[display("running")]
    Running,
    /// All tasks succeeded.
    #[display("succeeded")]
    Succeeded,
    /// A task exceeded the allowed number of failed runs.
    #[display("failed")]
    Failed,
    /// Cancelled by its workspace.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the state is terminal, so that the job cannot change any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// Why a task of a job is not running.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum WaitReason {
    /// A task needs more than the total capacity of any worker.
    #[display("no worker is large enough: a task needs {need}, the largest worker has {largest}")]
    NoWorkerLargeEnough {
        /// Resources requested for one task.
        need: Resources,
        /// Capacity of the largest worker.
        largest: Resources,
    },
    /// The gang has more tasks than fit into the whole pool at once.
    #[display("the pool {pool} can hold {possible} of {tasks} tasks that must start together")]
    PoolTooSmall {
        /// Pool that is too small.
        pool: Pool,
        /// Number of tasks that fit into the pool when it is empty.
        possible: u32,
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// The job alone exceeds its workspace's quota.
    #[display("larger than the workspace's quota of {quota}")]
    LargerThanQuota {
        /// Quota of the workspace.
        quota: Resources,
    },
    /// Running tasks of the workspace use up its quota.
    #[display("the workspace's quota of {quota} is in use")]
    QuotaInUse {
        /// Quota of the workspace.
        quota: Resources,
    },
    /// The task is queued for free capacity behind other tasks.
    #[display("waiting for room, {ahead} tasks are ahead")]
    WaitingForRoom {
        /// Number of tasks ahead in the queue.
        ahead: u64,
    },
    /// Capacity is being reserved until all tasks of the gang can start together.
    #[display("room is being gathered, expected in {expected_ms} ms")]
    GatheringRoom {
        /// Estimated time until the start, in ms.
        expected_ms: u64,
    },
    /// The task failed and is retried after a backoff delay.
    #[display("failed {failures} times, next attempt in {wait_ms} ms")]
    BackingOff {
        /// Number of failed runs so far.
        failures: u32,
        /// Time until the next attempt, in ms.
        wait_ms: u64,
    },
    /// The start cannot be recorded because the table service is not available.
    #[display("the table service is not available")]
    StoreUnavailable,
    /// An earlier run may still be running on an unresponsive worker whose lease has not expired.
    #[display("an earlier run on {worker} may still be alive, certain in {wait_ms} ms")]
    EarlierRunMayBeAlive {
        /// Unresponsive worker.
        worker: WorkerId,
        /// Longest time until the worker's lease expires, in ms.
        wait_ms: u64,
    },
}

/// Specification and current state of a job, as returned to its workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Pool whose workers run the job.
    pub pool: Pool,
    /// State of the job as a whole.
    pub state: JobState,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of failed runs of all tasks so far.
    pub failures: u32,
    /// Why a task of the job is not running; absent when no task waits.
    #[serde(default)]
    pub waiting: Option<WaitReason>,
}
