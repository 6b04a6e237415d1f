//! Admission control: refuses jobs that cannot end while they have value, with a retry delay for the caller.
//!
//! The load is a backlog that takes longer than callers wait. A job is refused when both hold:
//!
//! - The free capacity does not suffice for the steps that the job begins with: a gang of 120 tasks needs the room of
//!   120, any other step that of one task. A narrow job may be admitted where a wide gang is refused.
//! - The backlog ahead of it takes so long that the job cannot end before its result has no value. A job that will
//!   only be late is admitted: it runs after those that can be in time, so it costs them nothing.
//!
//! A job of a workspace at its limit is refused when the work that the limit holds back takes longer than the slack of
//! its objective, also while there is free capacity.
//!
//! A job that needs more than the present limit of its workspace is refused, too, and may be repeated: the operators may
//! raise the limit.
//!
//! The backlog counts only work that waits for worker capacity; work that waits for the advice service is left out,
//! because counting it would refuse jobs while workers are idle.

use {
    crate::{JobRequest, Step, WorkspaceLoad, job_state::NO_VALUE_FACTOR, worker::slots_in},
    derive_more::Display,
    ragwortreel_model::{Resources, Workspace},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Lower bound of the retry delay, in ms.
const MIN_RETRY_MS: u64 = 500;
/// Shortest time over which the retries of callers that are refused together are spread, in ms. Delays are rounded up to
/// whole seconds for callers, so they spread over at least three of them.
const MIN_SPREAD_MS: u64 = 3_000;
/// Upper bound of the retry delay, in ms.
const MAX_RETRY_MS: u64 = 5_000;
/// Age beyond which a published load is ignored and all jobs are admitted, in ms.
const MAX_LOAD_AGE_MS: u64 = 3_000;

/// Workers with equal free resources; stored as an array of cores, memory, accelerators and workers to keep the row small.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub struct FreeWorkers {
    /// Resources of each worker that no task uses, rounded down.
    pub free: Resources,
    /// Number of workers.
    pub workers: u64,
}

impl From<[u64; 4]> for FreeWorkers {
    fn from([milli_cores, memory_mib, accelerators, workers]: [u64; 4]) -> Self {
        Self {
            free: Resources::new(milli_cores, memory_mib, accelerators),
            workers,
        }
    }
}

impl From<FreeWorkers> for [u64; 4] {
    fn from(FreeWorkers { free, workers }: FreeWorkers) -> Self {
        [
            free.milli_cores,
            free.memory_mib,
            free.accelerators,
            workers,
        ]
    }
}

/// Backlog of the cell, published by the leader to all instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Work of waiting tasks by service and priority, in seconds that all workers of the service need for it.
    pub ahead_s: BTreeMap<Arc<str>, BTreeMap<u32, f64>>,
    /// Workers with free resources, by service; absent in rows of former versions, whose instances ignore it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub free: BTreeMap<Arc<str>, Vec<FreeWorkers>>,
    /// Number of jobs without a started task, by queue; jobs with a schedule are not counted.
    pub pending: BTreeMap<Arc<str>, u64>,
    /// Upper bound of the time since the leader last read the new jobs, in ms.
    #[serde(default)]
    pub age_ms: u64,
    /// Workspaces with a backlog; empty in a cell without workspaces.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<Workspace, WorkspaceLoad>,
}

/// Reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// There is no room, and the job would wait until its result has no value.
    #[display("there is no room, and the work ahead takes longer than the job has value")]
    Backlog,
    /// The job would wait for the limit of its workspace past its objective.
    #[display("too much work waits for the workspace's limit")]
    Limit,
    /// The workspace sends more than its share while its work waits.
    #[display("the workspace is over its share")]
    Share,
    /// The job needs more than the limit of its workspace.
    #[display("the job needs more than the limit of its workspace")]
    BeyondLimit,
}

impl RefusalReason {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Backlog => "backlog",
            Self::Limit => "limit",
            Self::Share => "share",
            Self::BeyondLimit => "beyond-limit",
        }
    }
}

/// Refusal of a job by admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Delay before the caller may retry, in ms.
    pub retry_after_ms: u64,
    /// Reason for the log.
    pub reason: RefusalReason,
    /// Time that the work ahead of the job takes, in ms; 0 if the job does not wait for other work.
    pub wait_ms: u64,
}

impl Refusal {
    /// Refusal of a job that cannot start until the limit of its workspace is raised.
    #[must_use]
    pub fn beyond_limit(job: &JobRequest, now_ms: u64) -> Self {
        Self {
            retry_after_ms: retry_delay_ms(job, MAX_RETRY_MS, MAX_RETRY_MS, now_ms),
            reason: RefusalReason::BeyondLimit,
            wait_ms: 0,
        }
    }
}

/// Admission control based on the last published load.
#[derive(Debug, Default)]
pub struct Admission {
    load: Load,
    updated_ms: u64,
}

impl Admission {
    /// Replaces the load; `now_ms` is the time at which it was received.
    pub fn update(&mut self, load: Load, now_ms: u64) {
        self.load = load;
        self.updated_ms = now_ms;
    }

    /// Admits a job unless it has no room and the backlog ahead of it leaves it no value, its workspace exceeds its share
    /// while work waits, or the limit of its workspace delays it past its objective.
    ///
    /// Jobs with a schedule are always admitted, and so are all jobs when the load is outdated.
    ///
    /// # Errors
    ///
    /// Returns the retry delay of a refused job.
    pub fn admit(&self, job: &JobRequest, now_ms: u64) -> Result<(), Refusal> {
        if now_ms.saturating_sub(self.updated_ms) > MAX_LOAD_AGE_MS || job.schedule.is_some() {
            return Ok(());
        }
        let workspace = job.workspace.as_ref();
        let workspace = workspace.and_then(|it| self.load.workspaces.get(it));
        if let Some(load) = workspace.filter(|it| it.refuses(job) && !self.has_room(job)) {
            let wait_ms = to_ms(load.backlog_s);
            return Err(Refusal {
                retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
                wait_ms,
                reason: RefusalReason::Share,
            });
        }
        let wait_ms = |ahead: Option<&BTreeMap<u32, f64>>| {
            let ahead_of_job = ahead.map(|ahead| ahead.range(..=job.policy.priority));
            let seconds = ahead_of_job
                .into_iter()
                .flatten()
                .map(|(_, seconds)| seconds);
            to_ms(seconds.sum::<f64>())
        };
        let refuse = |reason, wait_ms: u64, allowed_ms: u64| Refusal {
            retry_after_ms: retry_delay_ms(job, wait_ms - allowed_ms, wait_ms, now_ms),
            reason,
            wait_ms,
        };
        let (objective_ms, work_ms) = (job.objective_ms(), job.critical_path_ms());
        // Free capacity is of no use to a workspace whose limit holds back its work.
        let held_ms = wait_ms(workspace.map(|it| &it.held_s));
        let slack_ms = objective_ms.saturating_sub(work_ms);
        if held_ms > slack_ms {
            return Err(refuse(RefusalReason::Limit, held_ms, slack_ms));
        }
        let ahead_ms = wait_ms(self.load.ahead_s.get(&job.policy.service));
        let value_ms = NO_VALUE_FACTOR.saturating_mul(objective_ms);
        let allowed_ms = value_ms.saturating_sub(work_ms);
        if ahead_ms <= allowed_ms || self.has_room(job) {
            return Ok(());
        }
        Err(refuse(RefusalReason::Backlog, ahead_ms, allowed_ms))
    }

    /// Whether the free capacity suffices for each step that the job begins with: for all tasks of a gang, otherwise for
    /// one task.
    fn has_room(&self, job: &JobRequest) -> bool {
        let groups = self.load.free.get(&job.policy.service);
        let fits = |step: &Step| {
            let slots = groups.into_iter().flatten().map(|group| {
                let slots = slots_in(&step.need, &group.free, step.tasks);
                group.workers.saturating_mul(u64::from(slots))
            });
            slots.sum::<u64>() >= u64::from(step.least_tasks())
        };
        let mut first = job.steps.iter().filter(|step| step.after.is_empty());
        first.all(fits)
    }
}

/// Delay before the retry of a refused job: from the time at which it could be admitted, spread over the time in which
/// the backlog drains. A hash of the job and the time spreads it, so that callers do not return in the same second.
fn retry_delay_ms(job: &JobRequest, excess_ms: u64, wait_ms: u64, now_ms: u64) -> u64 {
    let from_ms = excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS - MIN_SPREAD_MS);
    let to_ms = wait_ms.clamp(from_ms + MIN_SPREAD_MS, MAX_RETRY_MS);
    let mut hasher = DefaultHasher::new();
    (&job.id, now_ms).hash(&mut hasher);
    from_ms + hasher.finish() % (to_ms - from_ms + 1)
}

fn to_ms(seconds: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the time is not negative, and a float beyond the range saturates"
    )]
    let ms = (seconds * 1_000.0) as u64;
    ms
}
