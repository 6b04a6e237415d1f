//! Jobs as callers declare them, and the policy of the queue that they come through.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{JobId, Resources},
    serde::{Deserialize, Serialize},
    std::{str::FromStr, sync::Arc},
};

/// What a call for advice costs the advice service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Fixed part, in ms.
    pub call_ms: f64,
    /// Part for each worker named, in ms.
    pub worker_ms: f64,
    /// Time for which a ticket is valid, in ms.
    pub ticket_ms: u64,
}

impl AdviceCost {
    /// Duration of a call that names some workers, in ms.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "at most a hundred workers")]
    pub fn call_duration_ms(&self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// How the jobs of a queue are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Service whose workers run the queue's tasks.
    pub service: Arc<str>,
    /// Order of importance; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task, or of a gang, after which the job has failed.
    pub attempts: u32,
    /// Factor on a job's longest chain of work that its objective allows.
    pub chain_factor: f64,
    /// Time that the objective allows beside, in ms.
    pub slack_ms: u64,
    /// Set when tasks may start only where the advice service allows it.
    pub advice: Option<AdviceCost>,
}

/// A step of a job: tasks that are alike.
#[expect(
    clippy::struct_excessive_bools,
    reason = "properties that callers declare independently of each other"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Need of one task.
    pub need: Resources,
    /// Rough estimate of one task's duration, in ms.
    pub estimate_ms: u64,
    /// Numbers of the steps that must be done first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether its tasks save their progress.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether all tasks must run at the same time.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether tasks are slow unless all run on one rack.
    #[serde(default, skip_serializing_if = "is_false")]
    pub one_rack: bool,
    /// Label that the worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needed_label: Option<Arc<str>>,
    /// Rack on which the tasks find their data.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run beside each other.
    #[serde(default, skip_serializing_if = "is_false")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub endless: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Times at which a job's steps run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence, in Unix ms.
    pub first_ms: u64,
    /// Time between two occurrences, in ms.
    pub period_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as its caller declares it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Identifier, chosen by the caller.
    pub id: JobId,
    /// Policy of the queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Text handed to the workers unchanged.
    pub payload: Arc<str>,
    /// Steps, in order of their numbers.
    pub steps: Vec<Step>,
    /// Set when the steps run at given times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Time of acceptance, in Unix ms.
    pub accepted_ms: u64,
}

/// Most tasks in all steps of a job, and in all of its occurrences that are open at once; bounds the memory that one
/// request can claim.
pub(crate) const MAX_TASKS: u64 = 10_000;

/// A job that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("step {step}: {problem}")]
pub struct JobError {
    /// Number of the step.
    pub step: usize,
    /// What is wrong.
    pub problem: &'static str,
}

impl JobRequest {
    /// Checks what the types alone do not exclude.
    ///
    /// # Errors
    ///
    /// Returns the first step with an impossible value.
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

    /// Number of occurrences of the steps.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Estimated length of the longest chain of steps, in ms.
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

    /// Time that the job may take within its objective, in ms.
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

/// One occurrence of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

/// One task of an occurrence of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Number of the task in the step.
    pub index: u32,
}

/// Text that names no task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} names no task")]
pub struct TaskKeyError {
    /// The refused text.
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
