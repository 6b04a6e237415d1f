//! Job requests of callers, queue policies, and the keys of steps and tasks.

use {
    crate::order::remaining_ms,
    derive_more::{Display, Error},
    ragwortreel_model::{JobId, Resources, Workspace},
    serde::{Deserialize, Serialize},
    std::{ops::Not, str::FromStr, sync::Arc},
};

/// Duration of calls to the advice service, and lifetime of its tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Fixed part of a call's duration, in ms.
    pub call_ms: f64,
    /// Additional duration for each worker in the call, in ms.
    pub worker_ms: f64,
    /// Lifetime of a ticket, in ms.
    pub ticket_ms: u64,
}

impl AdviceCost {
    /// Expected duration of a call about this many workers, in ms.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "at most a hundred workers")]
    pub fn call_duration_ms(&self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// Share and limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspacePolicy {
    /// Share of the workspace when capacity is short, in jobs per second.
    pub weight: f64,
    /// Most resources that the workspace's runs may use on all workers together; 0 means no limit.
    pub limit: Resources,
}

/// Scheduling policy of a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue, unique in the cell.
    pub name: Arc<str>,
    /// Service whose workers run the queue's tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the most important.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang, after which the job fails.
    pub attempts: u32,
    /// Completion objective as a multiple of the job's critical path, to which the slack is added.
    pub chain_factor: f64,
    /// Slack of the completion objective, in ms.
    pub slack_ms: u64,
    /// Set when tasks may start only on workers that the advice service allows.
    pub advice: Option<AdviceCost>,
}

/// Step of a job: a number of identical tasks.
#[expect(
    clippy::struct_excessive_bools,
    reason = "properties that callers declare independently of each other"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that one task needs.
    pub need: Resources,
    /// Estimated duration of one task, in ms.
    pub estimate_ms: u64,
    /// Indices of the earlier steps that must be done before this one starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which starts and runs as a whole.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub gang: bool,
    /// Whether the tasks should all run on one rack, because they are slow otherwise.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub one_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needed_label: Option<Arc<str>>,
    /// Rack that holds the data of the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step that may run on one worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether several copies of a task may run concurrently.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub endless: bool,
}

impl Step {
    /// Number of tasks that must fit on the workers for the step to start.
    pub(crate) fn least_slots(&self) -> u64 {
        if self.gang { u64::from(self.tasks) } else { 1 }
    }
}

/// Periodic schedule of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in Unix ms.
    pub first_ms: u64,
    /// Time between two occurrences, in ms.
    pub period_ms: u64,
    /// Total number of occurrences.
    pub times: u32,
}

/// Job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// Policy of the job's queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Workspace that submitted the job; `None` in a cell without workspaces and in rows of former versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Workspace>,
    /// Opaque text, passed to the workers unchanged.
    pub payload: Arc<str>,
    /// Steps in order of their indices; a step may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// Set for a job that runs periodically.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Time of acceptance, in Unix ms.
    pub accepted_ms: u64,
}

/// Most tasks of a job, and most tasks that are not done in all of its open occurrences; bounds the memory that one
/// request can use.
pub(crate) const MAX_TASKS: u64 = 10_000;

/// Invalid step of a job request.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("step {step}: {problem}")]
pub struct JobError {
    /// Index of the invalid step.
    pub step: usize,
    /// Violated constraint.
    pub problem: &'static str,
}

impl JobRequest {
    /// Checks the number of steps and tasks, and that steps depend only on earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the first step that violates a constraint.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.steps.is_empty() {
            return Err(JobError {
                step: 0,
                problem: "a job needs at least one step",
            });
        }
        let mut tasks = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            tasks += u64::from(spec.tasks);
            let problem = if spec.tasks == 0 {
                "expected at least one task"
            } else if tasks > MAX_TASKS {
                "the job has more than 10000 tasks"
            } else if spec.after.iter().any(|&before| before as usize >= step) {
                "a step may only wait for earlier steps"
            } else {
                continue;
            };
            return Err(JobError { step, problem });
        }
        Ok(())
    }

    /// Total number of occurrences; 1 for a job without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Position of the first task of each step among all tasks, and the number of all tasks as the last entry.
    pub(crate) fn first_positions(&self) -> Vec<u64> {
        let mut positions = vec![0];
        let mut tasks = 0;
        for step in &self.steps {
            tasks += u64::from(step.tasks);
            positions.push(tasks);
        }
        positions
    }

    /// Estimated duration of the longest chain of dependent steps, in ms.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|&before| ends.get(before as usize));
            ends.push(begin.max().copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Estimated duration of the longest chain of steps that wait for a step, in ms, without the step itself.
    pub(crate) fn critical_path_after_ms(&self, step: usize) -> u64 {
        let chains_ms = remaining_ms(self, |step| step.estimate_ms);
        let own_ms = self.steps.get(step).map(|step| step.estimate_ms);
        (chains_ms.get(step).zip(own_ms))
            .map_or(0, |(chain_ms, own_ms)| chain_ms.saturating_sub(own_ms))
    }

    /// Time from acceptance within which the job is to be completed, in ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "estimates are far below 2^52 and the product is not negative"
    )]
    pub fn objective_ms(&self) -> u64 {
        (self.critical_path_ms() as f64 * self.policy.chain_factor) as u64 + self.policy.slack_ms
    }
}

/// Key of a step in one occurrence of a job; displayed as `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// Job of the step.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
}

/// Key of a task; displayed as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Step and occurrence of the task.
    pub step: StepKey,
    /// Index of the task in the step.
    pub index: u32,
}

/// Text that is not a task key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid task key {text:?}: expected JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskKeyError {
    /// Text that could not be parsed.
    pub text: String,
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = JobId::new(parts.next()?).ok()?;
            let step = StepKey {
                job,
                occurrence,
                step,
            };
            Some(Self { step, index })
        };
        parse().ok_or_else(|| TaskKeyError {
            text: text.to_owned(),
        })
    }
}
