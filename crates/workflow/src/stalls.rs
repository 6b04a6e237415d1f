//! Detection of runs that are stuck, as opposed to slow ones.
//!
//! The load: run times with a long tail, estimates that are wrong by ten times, workers of unequal speed, and workers
//! that stand still for some seconds while their health looks good. A stop loses all work since the last checkpoint, so
//! a run is stopped only by evidence:
//!
//! - *Its own history.* It has advanced before, and at that speed it should have advanced by [`STUCK_PERCENT`] percent
//!   since.
//! - *Its worker.* None of the worker's runs has advanced, although at the speeds that they have shown they should have
//!   advanced by as much together, or although a run without any progress has had [`FIRST_PERCENT_FACTOR`] times its
//!   estimate for its first percent.
//!
//! The members of a gang advance together, at the pace of the slowest one, and only while the gang is complete. They
//! are judged by the latest progress of any member, and say nothing about the worker on which they stand still.
//!
//! A stuck worker may go on at any time. Work without a checkpoint is therefore given up only once the run has stood
//! still for as long as its progress took, so that a stop costs at most twice what the best decision would have cost.
//!
//! Workers report whole percents at irregular times, so all speeds here are lower bounds.

use {
    crate::{
        Scheduler, Step, StepKey, TaskKey, evacuation,
        run_times::Observation,
        worker::{Run, RunPhase, Worker},
    },
    ragwortreel_model::WorkerId,
    std::{collections::BTreeSet, mem},
};

/// Missing progress that shows a stall, in percent of the work at the speed shown before. A worker that becomes eight
/// times slower still advances by two percent in this time.
const STUCK_PERCENT: f64 = 16.0;
/// Time for the first percent of the work, as a multiple of the estimated duration of the whole task. An estimate that
/// is a tenth of the duration, a run seven times as long as usual, a worker at 0.55 of the nominal speed and a distant
/// rack that makes the task three times slower require 3.8 together.
const FIRST_PERCENT_FACTOR: u64 = 4;
/// Lower bound of the time without progress after which a run counts as stuck, in ms. A resumed run restores its
/// checkpoint for up to 600 ms.
const MIN_STALL_MS: u64 = 700;
/// Lower bound of the time for the first percent, in ms: more than twice the duration of a restore.
const MIN_FIRST_PERCENT_MS: u64 = 1_500;
/// Upper bound of the time without progress after which a run counts as stuck, in ms: one percent of a task of 25
/// minutes.
const MAX_STALL_MS: u64 = 15_000;
/// Longest time for which a stuck run is kept for the sake of its work, in ms. Workers that stand still for a longer
/// time rarely go on soon.
const MAX_KEEP_MS: u64 = 5_000;
/// Smallest part of a run that is observed before the run ends, in percent. Smaller parts of a run in the long tail of
/// run times look like several slow runs.
const MIN_PART_PERCENT: u32 = 50;
/// Smallest last part of a run that is observed, in percent; rounding then changes its pace by at most a tenth.
const MIN_LAST_PART_PERCENT: u32 = 10;
/// Progress from which the speed of a run predicts its end, in percent; workers report whole percents only.
const MIN_SPEED_PERCENT: u32 = 5;

/// Progress of a run, as its worker reported it.
#[derive(Debug, Clone)]
pub(crate) struct RunProgress {
    /// Estimated duration of the task, in ms; `None` for endless tasks, which report no progress.
    estimate_ms: Option<u64>,
    is_gang_member: bool,
    /// Time of the decision to start the run, in ms; `None` if the work at that time is unknown because the run resumed a
    /// checkpoint or was started by a former leader.
    decided_ms: Option<u64>,
    /// Time at which the worker confirmed the start, in ms; `None` also if only a later report shows the run.
    confirmed_ms: Option<u64>,
    /// Completed part of the work as last reported, in percent; `None` if the next report does not show how far the run
    /// has advanced since a known time.
    percent: Option<u32>,
    /// Last report before the first progress: its time in ms, and its percentage.
    baseline: Option<(u64, u32)>,
    /// Time of the last report, or of the start, in ms.
    reported_ms: u64,
    /// Time of the last report with progress, or of the start, in ms.
    advanced_ms: u64,
    /// Time of the first report since then, in ms. A single report without progress may come from a worker that was
    /// paused since its former report.
    unchanged_since_ms: Option<u64>,
    /// Begin of the part of the run from which the worker's speed is learned next: its time in ms, and its percentage;
    /// `None` if the worker may have been paused, or before the first report of a resumed run.
    part_begin: Option<(u64, u32)>,
}

impl RunProgress {
    /// Progress of a run that starts now; `is_fresh` unless a part of its work may be done already.
    pub(crate) fn new(step: &Step, is_fresh: bool, now_ms: u64) -> Self {
        Self {
            estimate_ms: (!step.endless).then_some(step.estimate_ms),
            is_gang_member: step.gang,
            decided_ms: is_fresh.then_some(now_ms),
            confirmed_ms: None,
            percent: None,
            baseline: None,
            reported_ms: now_ms,
            advanced_ms: now_ms,
            unchanged_since_ms: None,
            part_begin: None,
        }
    }

    /// Estimated duration of the task, in ms; `None` for endless tasks.
    pub(crate) const fn estimate_ms(&self) -> Option<u64> {
        self.estimate_ms
    }

    /// Whether the worker has reported 100 percent, with which an endless run is at work.
    pub(crate) fn is_complete(&self) -> bool {
        self.percent == Some(100)
    }

    /// Records the worker's confirmation of the start.
    pub(crate) fn confirm_start(&mut self, now_ms: u64) {
        self.restart_clock(now_ms);
        if self.decided_ms.is_some() {
            self.confirmed_ms = Some(now_ms);
            self.percent = Some(0);
            self.part_begin = Some((now_ms, 0));
        }
    }

    /// Ignores the time without progress so far, because the worker may have been paused, or the start was confirmed by
    /// a report only.
    pub(crate) fn restart_clock(&mut self, now_ms: u64) {
        self.percent = None;
        self.reported_ms = now_ms;
        self.advanced_ms = now_ms;
        self.unchanged_since_ms = None;
        self.part_begin = None;
    }

    /// Records a report; returns whether the run has advanced.
    pub(crate) fn record(&mut self, percent: u32, now_ms: u64) -> bool {
        let former = self.percent.replace(percent);
        let reported_ms = mem::replace(&mut self.reported_ms, now_ms);
        if former == Some(percent) {
            self.unchanged_since_ms.get_or_insert(now_ms);
            return false;
        }
        if let Some(former) = former {
            self.baseline.get_or_insert((reported_ms, former));
        }
        self.advanced_ms = now_ms;
        self.unchanged_since_ms = None;
        if self.part_begin.is_none() {
            self.part_begin = Some((now_ms, percent));
        }
        former.is_some()
    }

    /// Part of the run that has just been completed, once it is long enough to learn from.
    pub(crate) fn next_part(&mut self, now_ms: u64) -> Option<Observation> {
        let percent = self.percent?;
        let part = self.part_until(percent, MIN_PART_PERCENT, now_ms)?;
        self.part_begin = Some((now_ms, percent));
        Some(part)
    }

    /// Part of a completed run that was not observed before.
    pub(crate) fn last_part(&self, now_ms: u64) -> Option<Observation> {
        self.part_until(100, MIN_LAST_PART_PERCENT, now_ms)
    }

    /// Duration of a completed run; `None` if a part of the work may have been done before, or if its start is not known.
    pub(crate) fn whole_run_ms(&self, now_ms: u64) -> Option<f64> {
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let elapsed_ms = |started_ms: u64| now_ms.saturating_sub(started_ms) as f64;
        self.confirmed_ms.map(elapsed_ms)
    }

    fn part_until(&self, percent: u32, min_percent: u32, now_ms: u64) -> Option<Observation> {
        let (begin_ms, begin) = self.part_begin?;
        let advance = percent.saturating_sub(begin);
        if self.is_gang_member || advance < min_percent {
            return None;
        }
        let share = f64::from(advance) / 100.0;
        let elapsed_ms = u32::try_from(now_ms.saturating_sub(begin_ms)).unwrap_or(u32::MAX);
        Some(Observation {
            task_ms: f64::from(elapsed_ms) / share,
            share,
        })
    }

    /// Longest time that one percent of the work has taken on average, in ms; `None` before the run has shown a speed.
    fn ms_per_percent(&self) -> Option<f64> {
        let percent = self.percent?;
        let average = |since_ms: u64, advance: u32| {
            let elapsed_ms = u32::try_from(self.advanced_ms - since_ms).unwrap_or(u32::MAX);
            (advance > 0).then(|| f64::from(elapsed_ms) / f64::from(advance))
        };
        let since_start = self.decided_ms.and_then(|it| average(it, percent));
        // A part of the first percent may have been done at the baseline.
        let since_baseline = self.baseline.and_then(|(reported_ms, former)| {
            average(
                reported_ms,
                percent.saturating_sub(former.saturating_add(1)),
            )
        });
        match (since_start, since_baseline) {
            (Some(start), Some(baseline)) => Some(start.min(baseline)),
            (start, baseline) => start.or(baseline),
        }
    }

    /// Expected end of the run, in ms: by the speed that it has shown, or else by its estimated duration.
    pub(crate) fn expected_end_ms(&self, estimate_ms: u64) -> u64 {
        let percent = self.percent.unwrap_or(0);
        let shown = self
            .ms_per_percent()
            .filter(|_| percent >= MIN_SPEED_PERCENT);
        #[expect(
            clippy::cast_precision_loss,
            reason = "estimates are far below 2^52 ms"
        )]
        let ms_per_percent = shown.unwrap_or(estimate_ms as f64 / 100.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float beyond the range saturates"
        )]
        let rest_ms = (ms_per_percent * f64::from(100_u32.saturating_sub(percent))) as u64;
        self.advanced_ms.saturating_add(rest_ms)
    }

    /// Time without progress after which the run counts as stuck, in ms; `None` for endless tasks.
    fn limit_ms(&self) -> Option<u64> {
        let estimate_ms = self.estimate_ms?;
        let Some(ms_per_percent) = self.ms_per_percent() else {
            let first_ms = estimate_ms.saturating_mul(FIRST_PERCENT_FACTOR);
            // One percent of a task that takes ten times its estimate.
            let max_ms = MAX_STALL_MS.max(estimate_ms / 10);
            return Some(first_ms.clamp(MIN_FIRST_PERCENT_MS, max_ms));
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and the value is not negative"
        )]
        let (limit_ms, two_percent_ms) = (
            (ms_per_percent * STUCK_PERCENT) as u64,
            (ms_per_percent * 2.0) as u64,
        );
        // One percent of a long task may take longer than the upper bound.
        Some(limit_ms.clamp(MIN_STALL_MS, MAX_STALL_MS.max(two_percent_ms)))
    }

    /// Whether reports without progress cover at least the last half of a time without progress.
    fn is_confirmed_still(&self, since_ms: u64, now_ms: u64) -> bool {
        let half_ms = now_ms.saturating_sub(since_ms) / 2;
        (self.unchanged_since_ms).is_some_and(|first_ms| first_ms + half_ms <= now_ms)
    }

    /// Whether the run should have advanced by now at the speed that it has shown.
    fn is_stuck_by_history(&self, now_ms: u64) -> bool {
        self.ms_per_percent().is_some()
            && self.is_confirmed_still(self.advanced_ms, now_ms)
            && (self.limit_ms()).is_some_and(|limit_ms| self.advanced_ms + limit_ms <= now_ms)
    }

    /// Time for which a run without a checkpoint is kept although it is stuck, in ms: as long as its progress took.
    fn keep_ms(&self) -> u64 {
        let begin_ms = self.baseline.map_or(self.advanced_ms, |(at_ms, _)| at_ms);
        (self.advanced_ms - begin_ms).min(MAX_KEEP_MS)
    }
}

impl Worker {
    /// Runs that are certain to have started and are not ordered to stop.
    fn confirmed_runs(&self) -> impl Iterator<Item = (&TaskKey, &Run)> {
        (self.runs.iter()).filter(|(_, run)| matches!(run.phase, RunPhase::Confirmed(_)))
    }

    /// Whether none of the worker's runs advances although they should have.
    fn stands_still(&self, now_ms: u64) -> bool {
        // Each share is the time without progress in relation to the time after which the run counts as stuck. Shares
        // of runs that have shown their speed add up; those of other runs do not, because the estimates of tasks of
        // the same step are wrong in the same way.
        let (mut shown, mut unshown) = (0.0, 0.0_f64);
        let mut longest_ms = 0;
        for (_, run) in self.confirmed_runs() {
            let progress = &run.progress;
            let since_ms = progress.advanced_ms.max(self.advanced_ms);
            let still_ms = now_ms.saturating_sub(since_ms);
            let Some(limit_ms) = progress.limit_ms() else {
                continue;
            };
            if progress.is_gang_member || !progress.is_confirmed_still(since_ms, now_ms) {
                continue;
            }
            longest_ms = longest_ms.max(still_ms);
            #[expect(
                clippy::cast_precision_loss,
                reason = "durations are far below 2^52 ms"
            )]
            let share = still_ms as f64 / limit_ms as f64;
            if progress.ms_per_percent().is_some() {
                shown += share;
            } else {
                unshown = unshown.max(share);
            }
        }
        longest_ms >= MIN_STALL_MS && shown + unshown >= 1.0
    }
}

/// Evidence by which a run counts as stuck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallEvidence {
    /// The run should have advanced at the speed that it had shown.
    Run,
    /// The gang should have advanced at the speed that it had shown.
    Gang,
    /// None of the runs on the worker advanced.
    Worker,
}

impl StallEvidence {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Gang => "gang",
            Self::Worker => "worker",
        }
    }
}

/// Run that is stopped because it is stuck.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StuckRun {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Task of the run; for a gang, the member whose report gave the evidence.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Completed part of the work, in percent.
    pub percent: u32,
    /// Time without progress, in ms.
    pub still_ms: u64,
    /// Evidence that the run is stuck.
    pub evidence: StallEvidence,
}

impl Scheduler {
    /// Stops the stuck runs on a worker that has just reported.
    pub(crate) fn stop_stuck_runs(&mut self, id: &WorkerId) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let stands_still = worker.stands_still(now_ms);
        let mut stuck = Vec::new();
        let mut judged_gangs = BTreeSet::new();
        for (task, run) in worker.confirmed_runs() {
            let progress = &run.progress;
            let found = if !progress.is_gang_member {
                self.run_evidence(task, progress, stands_still)
            } else if judged_gangs.insert(&task.step) {
                // The end of one member stops the others.
                self.gang_evidence(task, progress, stands_still)
            } else {
                None
            };
            if let Some(evidence) = found {
                stuck.push(StuckRun {
                    worker: id.clone(),
                    task: task.clone(),
                    run: run.number,
                    percent: progress.percent.unwrap_or(0),
                    still_ms: now_ms.saturating_sub(progress.advanced_ms),
                    evidence,
                });
            }
        }
        if stands_still {
            self.record_standstill(id);
        }
        for run in stuck {
            self.penalize_workers(&run);
            self.stop_run(id, &run.task);
            self.stuck_runs.push(run);
        }
    }

    /// Returns and clears the runs that were stopped because they are stuck.
    pub fn take_stuck_runs(&mut self) -> Vec<StuckRun> {
        mem::take(&mut self.stuck_runs)
    }

    /// Evidence that a run outside a gang is stuck and not worth waiting for.
    fn run_evidence(
        &self,
        task: &TaskKey,
        progress: &RunProgress,
        stands_still: bool,
    ) -> Option<StallEvidence> {
        let evidence = if stands_still {
            StallEvidence::Worker
        } else if progress.is_stuck_by_history(self.now_ms) {
            StallEvidence::Run
        } else {
            return None;
        };
        let keep_ms = self.keep_ms(task, progress);
        (progress.advanced_ms + keep_ms <= self.now_ms).then_some(evidence)
    }

    /// Evidence that a complete gang is stuck and not worth waiting for, found by one of its members that has just
    /// reported.
    fn gang_evidence(
        &self,
        task: &TaskKey,
        reported: &RunProgress,
        stands_still: bool,
    ) -> Option<StallEvidence> {
        let now_ms = self.now_ms;
        let is_overdue = |since_ms: u64, limit_ms: Option<u64>| {
            limit_ms.is_some_and(|limit_ms| since_ms + limit_ms <= now_ms)
        };
        // Most members advance with each report, so the other members are rarely looked up.
        if !stands_still && !is_overdue(reported.advanced_ms, reported.limit_ms()) {
            return None;
        }
        let members = self.complete_gang(&task.step)?;
        let advanced_ms = members.iter().map(|it| it.advanced_ms).max()?;
        let shown = (members.iter()).filter(|it| it.ms_per_percent().is_some());
        let limit_ms = shown.filter_map(|it| it.limit_ms()).min();
        let evidence = if stands_still {
            StallEvidence::Worker
        } else if is_overdue(advanced_ms, limit_ms.or(reported.limit_ms())) {
            StallEvidence::Gang
        } else {
            return None;
        };
        let keep_ms = members.iter().map(|it| self.keep_ms(task, it)).max()?;
        (reported.is_confirmed_still(advanced_ms, now_ms)
            && advanced_ms + keep_ms.max(MIN_STALL_MS) <= now_ms)
            .then_some(evidence)
    }

    /// Progress of all members of a gang; `None` unless the starts of all are confirmed.
    fn complete_gang(&self, step: &StepKey) -> Option<Vec<&RunProgress>> {
        let job = self.jobs.get(&step.job)?;
        let placed = job.placed_tasks(step);
        let members = placed.iter().map(|(worker, task)| {
            let run = self.workers.get(worker)?.runs.get(task)?;
            matches!(run.phase, RunPhase::Confirmed(_)).then_some(&run.progress)
        });
        members.collect()
    }

    /// Time for which a stuck run is kept for the sake of its work, in ms.
    fn keep_ms(&self, task: &TaskKey, progress: &RunProgress) -> u64 {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(&task.step));
        if step.is_some_and(|step| step.has_checkpoint(task.index, progress.is_gang_member)) {
            0
        } else {
            progress.keep_ms()
        }
    }

    /// Makes the next runs of a stuck task, or of a stuck gang, avoid the workers that may have caused the stall.
    fn penalize_workers(&mut self, stuck: &StuckRun) {
        let Some(job) = self.jobs.get_mut(&stuck.task.step.job) else {
            return;
        };
        match stuck.evidence {
            // The worker is quarantined.
            StallEvidence::Worker => {}
            StallEvidence::Run => {
                if let Some(task) = job.task_mut(&stuck.task) {
                    task.failed_on = Some(stuck.worker.clone());
                }
            }
            StallEvidence::Gang => {
                let since_ms = self.now_ms.saturating_sub(stuck.still_ms);
                let workers: BTreeSet<WorkerId> = (job.placed_tasks(&stuck.task.step).into_iter())
                    .map(|(worker, _)| worker)
                    .collect();
                for id in workers {
                    // Another run has advanced on the other workers in the meantime.
                    if let Some(worker) = self.workers.get_mut(&id)
                        && worker.advanced_ms <= since_ms
                    {
                        worker.failures.record_gang_stall();
                    }
                }
            }
        }
    }

    /// Longest time for which a worker may delay its answer to a heartbeat so that a stuck run on it is detected in
    /// time, in ms.
    #[must_use]
    pub fn max_heartbeat_wait_ms(&self, worker: &WorkerId) -> u64 {
        let runs = self
            .workers
            .get(worker)
            .into_iter()
            .flat_map(|it| it.runs.values());
        let stalls = runs.filter_map(|run| run.progress.limit_ms());
        let wait_ms = stalls.min().unwrap_or(MAX_STALL_MS);
        if self.evacuation.is_leaving(worker) {
            return wait_ms.min(evacuation::MAX_HEARTBEAT_WAIT_MS);
        }
        wait_ms
    }
}
