//! Failed runs and standstills as evidence against a worker, or against a step.
//!
//! The load is two faults that look alike at first: a worker on which everything fails, and a step whose tasks fail on
//! every worker. The first one must not use up the attempts of one job after the other; the second one must not take
//! sound workers from other jobs. Therefore:
//!
//! - A worker that fails [`QUARANTINE_FAILURES`] runs in a row, or stands still, is in *quarantine*: it gets no new runs
//!   for [`QUARANTINE_MS`]. Afterwards it is on *probation*: runs start one at a time until one completes. A gang starts
//!   on all its workers or on none, so this limit does not hold for gangs.
//! - A step that fails on most of the workers that it is placed on, while none of its tasks completes, is *at fault*. Its
//!   failures do not put workers into quarantine. Only the step itself avoids those that it failed on repeatedly, and
//!   then starts one task on each, until its failures are [`FORGET_MS`] old.
//! - A worker that fails runs of [`QUARANTINE_FAILURES`] jobs in a row is put into quarantine in any case: jobs that run
//!   on failing workers only seem to be at fault.

use {
    crate::{
        Scheduler, StepKey, TaskKey,
        job_state::{Placement, StepState},
    },
    ragwortreel_model::{JobId, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
    },
};

/// Failures in a row after which a worker is quarantined. A single failure may be the fault of the task.
const QUARANTINE_FAILURES: u32 = 3;
/// Duration of a worker's quarantine, in ms.
pub(crate) const QUARANTINE_MS: u64 = 5_000;
/// Time after the last failure of a step from which its failures no longer limit its starts, in ms: that of a quarantine
/// and of a probation in which no run fails.
const FORGET_MS: u64 = 2 * QUARANTINE_MS;
/// Fewest workers that a step at fault has failed on.
const MIN_FAILED_WORKERS: usize = 2;

/// Worker that is quarantined, or step that is found to be at fault, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineNotice {
    /// The worker gets no new runs for some seconds.
    Worker {
        /// Worker in quarantine.
        worker: WorkerId,
        /// Jobs whose runs failed on it since the last run that completed; empty if the worker stands still.
        jobs: Vec<JobId>,
    },
    /// The failures of the step no longer count against its workers.
    Step {
        /// Step at fault.
        step: StepKey,
        /// Number of workers that it failed on.
        workers: usize,
    },
}

/// Failed runs of one job on a worker.
#[derive(Debug, Default)]
struct JobFailures {
    runs: u32,
    /// Whether a step of the job is at fault.
    is_excused: bool,
}

/// Failures of a worker since the last run that completed there.
#[derive(Debug, Default)]
pub(crate) struct WorkerFailures {
    /// Failed runs of the first [`QUARANTINE_FAILURES`] jobs.
    jobs: BTreeMap<JobId, JobFailures>,
    /// Failed runs of further jobs, and standstills.
    others: u32,
    /// End of the quarantine, in ms.
    quarantined_until_ms: u64,
}

impl WorkerFailures {
    /// Number of all failures, whoever is at fault.
    pub(crate) fn count(&self) -> u32 {
        self.jobs.values().map(|it| it.runs).sum::<u32>() + self.others
    }

    /// Number of failures that count against the worker.
    fn evidence(&self) -> u32 {
        let is_by_several_jobs = self.jobs.len() >= QUARANTINE_FAILURES as usize;
        let counted = self
            .jobs
            .values()
            .filter(|it| is_by_several_jobs || !it.is_excused);
        counted.map(|it| it.runs).sum::<u32>() + self.others
    }

    pub(crate) fn is_quarantined(&self, now_ms: u64) -> bool {
        now_ms < self.quarantined_until_ms
    }

    /// Time from which the worker is on probation, in ms; `None` if it is not.
    pub(crate) fn probation_ms(&self) -> Option<u64> {
        (self.evidence() >= QUARANTINE_FAILURES).then_some(self.quarantined_until_ms)
    }

    /// Records a failed run of a job, which is excused if one of its steps is at fault; returns whether the worker is put
    /// into quarantine, or stays there for longer.
    fn record_failure(&mut self, job: &JobId, is_excused: bool, now_ms: u64) -> bool {
        if self.jobs.len() < QUARANTINE_FAILURES as usize || self.jobs.contains_key(job) {
            let failures = self.jobs.entry(job.clone()).or_default();
            failures.runs += 1;
            failures.is_excused |= is_excused;
        } else {
            self.others += 1;
        }
        let is_quarantined = self.evidence() >= QUARANTINE_FAILURES;
        if is_quarantined {
            self.quarantined_until_ms = now_ms + QUARANTINE_MS;
        }
        is_quarantined
    }

    /// Records that a gang stood still and the worker may be the cause.
    pub(crate) fn record_gang_stall(&mut self) {
        self.others += 1;
    }

    /// Records that the worker stands still; returns whether it is put into quarantine.
    fn record_standstill(&mut self, now_ms: u64) -> bool {
        if self.is_quarantined(now_ms) {
            return false;
        }
        self.others = QUARANTINE_FAILURES.max(self.others + 1);
        self.quarantined_until_ms = now_ms + QUARANTINE_MS;
        true
    }

    /// Forgets the failures, because a run on the worker completed or is at work.
    pub(crate) fn clear(&mut self) {
        self.jobs.clear();
        self.others = 0;
    }

    /// Ends the quarantine if it rests on the failures of a job that is at fault.
    fn excuse(&mut self, job: &JobId) {
        if let Some(failures) = self.jobs.get_mut(job) {
            failures.is_excused = true;
        }
        if self.evidence() < QUARANTINE_FAILURES {
            self.quarantined_until_ms = 0;
        }
    }
}

/// Failed runs of a step on one worker.
#[derive(Debug, Default)]
struct FailedRuns {
    runs: u32,
    /// Time of the last failure, in ms.
    last_ms: u64,
}

/// Failures of a step since the last run that completed.
#[derive(Debug, Default)]
pub(crate) struct StepFailures {
    workers: BTreeMap<WorkerId, FailedRuns>,
    is_at_fault: bool,
}

impl StepFailures {
    /// Number of failed runs.
    pub(crate) fn count(&self) -> u32 {
        self.workers.values().map(|it| it.runs).sum()
    }

    /// Whether the step may start only some tasks on workers that it failed on.
    pub(crate) fn limits_starts(&self) -> bool {
        self.is_at_fault
    }

    /// Most tasks that the step may start on a worker, beside those that are placed there.
    pub(crate) fn max_new_runs(&self, worker: &WorkerId, placed: u32, now_ms: u64) -> u32 {
        let failed = self.workers.get(worker);
        let failed = failed.filter(|it| self.is_at_fault && it.runs >= QUARANTINE_FAILURES);
        match failed.map(|it| now_ms.saturating_sub(it.last_ms)) {
            Some(age_ms) if age_ms < QUARANTINE_MS => 0,
            Some(age_ms) if age_ms < FORGET_MS => 1_u32.saturating_sub(placed),
            _ => u32::MAX,
        }
    }
}

impl StepState {
    /// Records a failed run on a worker; returns whether the step is found to be at fault by that.
    fn record_failure(&mut self, worker: &WorkerId, now_ms: u64) -> bool {
        let workers = &mut self.failures.workers;
        let is_first = !workers.contains_key(worker);
        let failed = workers.entry(worker.clone()).or_default();
        failed.runs += 1;
        failed.last_ms = now_ms;
        if self.failures.is_at_fault || !is_first || workers.len() < MIN_FAILED_WORKERS {
            return false;
        }
        let placed_on = self.tasks.iter().filter_map(|task| match &task.placement {
            Placement::On(worker) => Some(worker),
            _ => None,
        });
        let others: BTreeSet<&WorkerId> = placed_on
            .filter(|worker| !workers.contains_key(*worker))
            .collect();
        self.failures.is_at_fault = workers.len() > others.len();
        self.failures.is_at_fault
    }
}

impl Scheduler {
    /// Records a failed run on a worker, as evidence against the worker or against the step.
    pub(crate) fn record_failure(&mut self, id: &WorkerId, task: &TaskKey) {
        let now_ms = self.now_ms;
        let mut is_excused = false;
        let mut exonerated = Vec::new();
        if let Some(step) = self.step_mut(&task.step) {
            if step.record_failure(id, now_ms) {
                exonerated = step.failures.workers.keys().cloned().collect();
            }
            is_excused = step.failures.is_at_fault;
        }
        let job = &task.step.job;
        if !exonerated.is_empty() {
            let workers = exonerated.len();
            self.quarantine_notices.push(QuarantineNotice::Step {
                step: task.step.clone(),
                workers,
            });
        }
        for worker in exonerated {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.failures.excuse(job);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_quarantined = worker.failures.is_quarantined(now_ms);
        if worker.failures.record_failure(job, is_excused, now_ms) && !was_quarantined {
            self.quarantine_notices.push(QuarantineNotice::Worker {
                worker: id.clone(),
                jobs: worker.failures.jobs.keys().cloned().collect(),
            });
        }
    }

    /// Records that a task of a step completed on a worker.
    pub(crate) fn record_completion(&mut self, id: &WorkerId, step: &StepKey) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failures.clear();
            worker.advanced_ms = now_ms;
        }
        if let Some(step) = self.step_mut(step) {
            step.failures = StepFailures::default();
        }
    }

    /// Puts a worker that stands still into quarantine, unless it is there.
    pub(crate) fn record_standstill(&mut self, id: &WorkerId) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(id)
            && worker.failures.record_standstill(now_ms)
        {
            self.quarantine_notices.push(QuarantineNotice::Worker {
                worker: id.clone(),
                jobs: Vec::new(),
            });
        }
    }

    /// Returns and clears the new quarantines and steps at fault, for the log.
    pub fn take_quarantine_notices(&mut self) -> Vec<QuarantineNotice> {
        mem::take(&mut self.quarantine_notices)
    }
}
