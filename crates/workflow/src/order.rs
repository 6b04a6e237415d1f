//! Order in which waiting steps are tried.
//!
//! The load is a shortage of workers: more steps wait than there is room for, and some of them are already too late.
//! Steps whose job can still meet its objective come first, then those that can only earn the reduced value of a late
//! job, then those of jobs beyond the share of their workspace, and last those whose job can no longer earn anything.
//! What counts is the end of the job, not the present time: a step that needs 6 s is late when less than 6 s are left.
//! Within a class, steps are ordered by the priority of their queue and by the latest time at which they must start.
//! The keys of a step change only when its class does, so the order of the waiting steps is stable. Endless steps are never
//! late by their job; they are ordered by the time since which their tasks wait.

use crate::{
    JobRequest, Scheduler, Step, StepKey,
    job_state::{Job, StepState},
};

/// Largest part of a service's capacity that gangs may gather, in percent (see `gang_room`). With 10 to 20 percent, wide
/// gangs earn less in a burst; without a bound, homework loses 5% of its value in an overload (`docs/design/order.md`).
const MAX_GATHERED_PERCENT: u64 = 30;

/// Class of a waiting step; a lower one is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RankClass {
    /// The job can end within its objective.
    InTime,
    /// The job will miss its objective, but its result can have some value.
    Late,
    /// The job is beyond the share of its workspace.
    OverShare,
    /// The result can have no value any more.
    NoValue,
}

/// Position of a step in the queue of waiting steps; the lowest one is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) class: RankClass,
    /// Priority of the queue; 0 is the most important.
    pub(crate) priority: u32,
    /// Time by which the step must start for the job to meet its objective, by the leader's clock in ms.
    pub(crate) latest_start_ms: u64,
}

/// Rules of the order; the defaults suit all cells, other ones serve comparisons.
#[derive(Debug, Clone, Copy)]
pub struct OrderRules {
    /// Expected duration of a step from its start, in ms.
    pub expected_ms: fn(&Step) -> u64,
    /// Largest part of a service's capacity that gangs may gather, in percent.
    pub max_gathered_percent: u64,
}

impl Default for OrderRules {
    fn default() -> Self {
        Self {
            expected_ms: |step| step.estimate_ms,
            max_gathered_percent: MAX_GATHERED_PERCENT,
        }
    }
}

/// Expected time from the start of each step to the end of the job, in ms.
pub(crate) fn remaining_ms(request: &JobRequest, expected_ms: fn(&Step) -> u64) -> Vec<u64> {
    let mut remaining = vec![0; request.steps.len()];
    // Steps depend only on earlier ones, so the entry of a step is complete when the loop reaches it.
    for (index, step) in request.steps.iter().enumerate().rev() {
        remaining[index] += expected_ms(step);
        for &before in &step.after {
            let before = before as usize;
            remaining[before] = remaining[index].max(remaining[before]);
        }
    }
    remaining
}

/// Rank of an endless step, whose job has no end that could be late: what counts is the time since which its tasks wait. A
/// step whose tasks fail before they are at work, as often as the attempts of its queue allow, counts as late, so that it
/// does not keep other steps from starting.
pub(crate) fn endless_rank(
    request: &JobRequest,
    over_share: bool,
    step: &StepState,
    now_ms: u64,
) -> Rank {
    let policy = &request.policy;
    let tasks = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
    let class = if over_share {
        RankClass::OverShare
    } else if step.failures.count() >= policy.attempts.saturating_mul(tasks) {
        RankClass::Late
    } else {
        RankClass::InTime
    };
    Rank {
        class,
        priority: policy.priority,
        latest_start_ms: step.waiting_since_ms.unwrap_or(now_ms) + policy.slack_ms,
    }
}

impl Job {
    /// Rank of a step of the job.
    pub(crate) fn rank(&self, key: &StepKey, now_ms: u64) -> Rank {
        match self.step(key).filter(|_| self.spec(key).endless) {
            Some(step) => endless_rank(&self.request, self.over_share, step, now_ms),
            None => self.finite_rank(key.step, now_ms),
        }
    }

    /// Rank of a step by the end of the job.
    pub(crate) fn finite_rank(&self, step: u32, now_ms: u64) -> Rank {
        let remaining_ms = self.remaining_ms.get(step as usize).copied().unwrap_or(0);
        let end_ms = now_ms + remaining_ms;
        let class = if end_ms > self.no_value_ms {
            RankClass::NoValue
        } else if self.over_share {
            RankClass::OverShare
        } else if end_ms > self.deadline_ms {
            RankClass::Late
        } else {
            RankClass::InTime
        };
        Rank {
            class,
            priority: self.request.policy.priority,
            latest_start_ms: self.deadline_ms.saturating_sub(remaining_ms),
        }
    }
}

impl Scheduler {
    /// Number of waiting steps whose job will miss its objective, and of those whose job can earn nothing any more.
    #[must_use]
    pub fn late_step_counts(&self) -> (usize, usize) {
        let (mut late, mut hopeless) = (0, 0);
        for (_, key) in self.waiting_steps.iter() {
            let job = self.jobs.get(&key.job);
            match job.map(|job| job.rank(key, self.now_ms).class) {
                Some(RankClass::Late) => late += 1,
                Some(RankClass::NoValue) => hopeless += 1,
                _ => {}
            }
        }
        (late, hopeless)
    }

    /// Replaces the rules of the order; to be called before the first job is accepted.
    pub fn set_order_rules(&mut self, rules: OrderRules) {
        self.order_rules = rules;
    }
}
