//! Which jobs are refused, and when their callers should come back.
//!
//! The load that this answers is more work than the workers can do: then a job that waits ends after its objective,
//! when it is worth little or nothing to its caller, and takes the room of one that could still be in time. A job is
//! refused at once when the work ahead of it would keep it waiting past that point. Only work that waits for room counts:
//! a job that waits for the advice service would be refused while workers are free.

use {
    crate::JobRequest,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Multiple of its slack and expected duration that a job may wait before it is hopeless.
///
/// Completion up to three times the objective still has a fifth of its worth, but costs the same room.
const HOPELESS_FACTOR: f64 = 1.0;
/// Shortest time after which a refused caller is asked to come back, in ms.
const MIN_RETRY_MS: u64 = 500;
/// Longest such time, in ms.
const MAX_RETRY_MS: u64 = 5_000;
/// Age from which a published load says nothing about the present, in ms.
const MAX_LOAD_AGE_MS: u64 = 3_000;

/// Work that waits, as the leader publishes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Work of waiting tasks by service and priority, in seconds of the service's whole capacity.
    pub ahead_s: BTreeMap<Arc<str>, BTreeMap<u32, f64>>,
    /// Jobs without a started task, by queue; scheduled ones are not counted.
    pub pending: BTreeMap<Arc<str>, u64>,
    /// Time for which the leader may not have heard of new jobs, in ms.
    #[serde(default)]
    pub age_ms: u64,
}

/// A job that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the caller may try again, in ms.
    pub retry_after_ms: u64,
}

/// Admission by the last published load.
#[derive(Debug, Default)]
pub struct Admission {
    load: Load,
    updated_ms: u64,
}

impl Admission {
    /// Replaces the load.
    pub fn update(&mut self, load: Load, now_ms: u64) {
        self.load = load;
        self.updated_ms = now_ms;
    }

    /// Decides about a job.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the job would be hopeless.
    pub fn admit(&self, job: &JobRequest, now_ms: u64) -> Result<(), Refusal> {
        if now_ms.saturating_sub(self.updated_ms) > MAX_LOAD_AGE_MS || job.schedule.is_some() {
            return Ok(());
        }
        let Some(ahead) = self.load.ahead_s.get(&job.policy.service) else {
            return Ok(());
        };
        let before = ahead.range(..=job.policy.priority);
        let wait_ms = before.map(|(_, seconds)| seconds * 1_000.0).sum::<f64>();
        #[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
        let allowed_ms =
            (job.objective_ms().saturating_sub(job.critical_path_ms())) as f64 * HOPELESS_FACTOR;
        if wait_ms <= allowed_ms {
            return Ok(());
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the difference is positive, and a float beyond the range saturates"
        )]
        let excess_ms = (wait_ms - allowed_ms) as u64;
        Err(Refusal {
            retry_after_ms: excess_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS),
        })
    }
}
