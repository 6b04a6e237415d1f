//! Learned speeds of workers and run times of queues, and their use in placement.
//!
//! The load: workers between half and 1.3 times the nominal speed, some of them several times slower for some seconds,
//! and estimates that are wrong by up to ten times in either direction. The tasks of a step take similar times, so the
//! error of an estimate shows in all of them, and the speed of a worker in the difference from the other tasks.
//!
//! Each observed run is therefore explained by two unknowns, the duration of its step at the nominal speed and the speed
//! of its worker, both as normally distributed logarithms. An observation corrects each in proportion to its variance.
//! A worker's variance grows with time, so that recent observations count more. Deviations are limited because of the
//! long tail of run times.
//!
//! Gangs are as fast as their slowest member, so they show nothing about the speed of the other members' workers.
//!
//! Placement compares speeds by classes. A worker whose speed may be the typical one is in class 0, so with equal
//! workers the order of placement does not depend on what was learned. The state is bounded by the workers, the steps of
//! open jobs and [`MAX_QUEUES`].

use {
    crate::{Scheduler, StepKey, TaskKey, job_state::Job, stalls::RunProgress, worker::Worker},
    ragwortreel_model::WorkerId,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Standard deviation of the logarithm of the workers' speeds before any observation.
const SPEED_SPREAD: f64 = 0.3;
/// Growth of the variance of a worker's speed, per second. Without observations a known speed becomes unknown after
/// four minutes.
const SPEED_DRIFT: f64 = 0.0004;
/// Standard deviation of the logarithm of the run times of a step's tasks on equal workers.
const TASK_SPREAD: f64 = 0.12;
/// Standard deviation of the logarithm of the ratio of run time to estimate before any observation.
const ESTIMATE_SPREAD: f64 = 1.0;
/// Smallest standard deviation of that ratio that is assumed for the next step of a queue.
const MIN_ESTIMATE_SPREAD: f64 = 0.2;
/// Largest deviation that an observation may show, in standard deviations.
const MAX_DEVIATION: f64 = 1.5;
/// Weight of an observed worker in the moving average of all workers' speeds.
const TYPICAL_WEIGHT: f64 = 0.01;
/// Width of a speed class, as a difference of logarithms: a tenth faster or slower than the middle of the class.
const CLASS_WIDTH: f64 = 0.2;
/// Difference from the typical speed below which a worker is in class 0, in standard deviations.
const CLASS_CERTAINTY: f64 = 2.5;
/// Highest and, negated, lowest speed class: seven times faster or slower.
const MAX_CLASS: f64 = 10.0;
/// Number of recent steps that determine the run times of a queue.
const QUEUE_STEPS: f64 = 20.0;
/// Number of steps for which the stored run times of a queue count.
const RESTORED_STEPS: f64 = 5.0;
/// Standard deviation of a restored speed, as a part of the largest one with which it keeps its class.
const RESTORED_CERTAINTY: f64 = 0.9;
/// The row is stored again when more than one in this many of its workers have changed their class.
const MIN_CHANGED_SHARE: usize = 20;
/// The row is stored again when the ratio of a queue has changed by more than this part of it, as a divisor.
const MIN_RATIO_CHANGE: u32 = 5;
/// Most bytes of the workers in the stored form, in which those of the most unusual speeds come first; the store allows
/// 64 KB for a row.
const MAX_ROW_BYTES: usize = 40_000;
/// Bytes of the quotes and the comma of a string in JSON.
const JSON_STRING_BYTES: usize = 3;
/// Most queues with learned run times.
const MAX_QUEUES: usize = 64;
/// Share of the runs of a queue that take longer than its tail.
const TAIL_SHARE: f64 = 0.05;
/// Margin of a run time for the question whether a task meets its objective, in standard deviations: nine of ten runs
/// are shorter.
const OBJECTIVE_MARGIN: f64 = 1.28;
/// A task is urgent if its objective allows less than this multiple of its expected run time.
const URGENT_FACTOR: f64 = 2.0;

/// Observed part of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observation {
    /// Duration of the whole task at the pace of this part, in ms.
    pub(crate) task_ms: f64,
    /// Part of the work, from 0 to 1.
    pub(crate) share: f64,
}

/// Deviation of an observed run time from its expectation.
struct Deviation {
    /// Logarithm of the ratio of observed to expected run time.
    log: f64,
    /// Variance of this logarithm.
    variance: f64,
    /// Part of a full observation, from 0 to 1.
    share: f64,
}

impl Deviation {
    fn limit(&self) -> f64 {
        MAX_DEVIATION * self.variance.sqrt()
    }

    fn limited(&self) -> f64 {
        self.log.clamp(-self.limit(), self.limit())
    }

    /// Part of the deviation that is attributed to a quantity with this variance.
    fn weight(&self, variance: f64) -> f64 {
        self.share * variance / self.variance.max(variance)
    }
}

/// Learned speed of a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerSpeed {
    /// Logarithm of the speed; 0 is the nominal one.
    log: f64,
    variance: f64,
    updated_ms: u64,
    class: i8,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            log: 0.0,
            variance: SPEED_SPREAD * SPEED_SPREAD,
            updated_ms: 0,
            class: 0,
        }
    }
}

impl WorkerSpeed {
    /// Speed that a former leader has learned, just certain enough for its class.
    fn restored(class: i8, now_ms: u64) -> Self {
        let log = f64::from(class) * CLASS_WIDTH;
        let spread = (log.abs() / CLASS_CERTAINTY * RESTORED_CERTAINTY).min(SPEED_SPREAD);
        let mut speed = Self {
            log,
            variance: spread * spread,
            updated_ms: now_ms,
            ..Self::default()
        };
        speed.update_class(0.0);
        speed
    }

    /// Class of the speed, in steps of [`CLASS_WIDTH`]; 0 unless the speed is certain to differ from the typical one.
    pub(crate) const fn class(&self) -> i8 {
        self.class
    }

    /// Multiple of the typical speed, in thousandths, by the class.
    pub(crate) fn milli_speed(&self) -> u64 {
        let speed = (f64::from(self.class) * CLASS_WIDTH).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "classes are small, and the value is positive"
        )]
        let milli_speed = (speed * 1_000.0) as u64;
        milli_speed
    }

    /// Lets the variance grow with the time since the last observation.
    #[expect(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 ms"
    )]
    fn advance(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        let limit = SPEED_SPREAD * SPEED_SPREAD;
        self.variance = (self.variance + SPEED_DRIFT * elapsed_s).min(limit);
        self.updated_ms = now_ms;
    }

    /// Applies a deviation of a run time from its expectation.
    fn correct(&mut self, deviation: &Deviation, typical_log: f64) {
        let weight = deviation.weight(self.variance);
        self.log -= weight * deviation.limited();
        self.variance *= 1.0 - weight;
        self.update_class(typical_log);
    }

    fn update_class(&mut self, typical_log: f64) {
        let difference = self.log - typical_log;
        let is_certain = difference.abs() > CLASS_CERTAINTY * self.variance.sqrt();
        let class = (difference / CLASS_WIDTH).round();
        let class = class.clamp(-MAX_CLASS, MAX_CLASS);
        #[expect(clippy::cast_possible_truncation, reason = "the value is clamped")]
        let class = class as i8;
        self.class = if is_certain { class } else { 0 };
    }
}

/// Learned duration of the tasks of a step at the nominal speed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepTime {
    /// Logarithm of the duration in ms.
    log_ms: f64,
    variance: f64,
}

/// Learned run times of a queue in relation to the estimates.
#[derive(Debug, Clone)]
pub(crate) struct QueueTimes {
    /// Mean logarithm of the ratio of run time to estimate.
    log_ratio: f64,
    variance: f64,
    /// Logarithm of the ratio that a share of [`TAIL_SHARE`] of the runs exceeds.
    log_tail: f64,
    /// Number of steps observed, at most [`QUEUE_STEPS`].
    steps: f64,
    updated_ms: u64,
}

impl QueueTimes {
    fn observe(&mut self, log_ratio: f64, tasks: u32, now_ms: u64) {
        // All tasks of a step together count as one observation, because their estimate is wrong in the same way.
        let share = 1.0 / f64::from(tasks.max(1));
        self.steps = (self.steps + share).min(QUEUE_STEPS);
        let weight = share / self.steps.max(1.0);
        let deviation = log_ratio - self.log_ratio;
        self.log_ratio += weight * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
        let is_longer = f64::from(u8::from(log_ratio > self.log_tail));
        self.log_tail += weight * self.variance.sqrt() * (is_longer - TAIL_SHARE) / TAIL_SHARE;
        self.updated_ms = now_ms;
    }

    fn to_row(&self) -> QueueRow {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and the value is not negative"
        )]
        let percent = |value: f64| (value * 100.0).round() as u32;
        QueueRow {
            ratio_percent: percent(self.log_ratio.exp()),
            spread_percent: percent(self.variance.sqrt()),
            tail_percent: percent(self.log_tail.exp()),
        }
    }

    fn restored(row: QueueRow, now_ms: u64) -> Self {
        let ratio = |percent: u32| f64::from(percent.max(1)) / 100.0;
        Self {
            log_ratio: ratio(row.ratio_percent).ln(),
            variance: ratio(row.spread_percent).powi(2),
            log_tail: ratio(row.tail_percent).ln(),
            steps: RESTORED_STEPS,
            updated_ms: now_ms,
        }
    }
}

impl Default for QueueTimes {
    fn default() -> Self {
        Self {
            log_ratio: 0.0,
            variance: ESTIMATE_SPREAD * ESTIMATE_SPREAD,
            log_tail: 0.0,
            steps: 0.0,
            updated_ms: 0,
        }
    }
}

/// Learned run times of all queues.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    /// Moving average of the logarithms of the workers' speeds. All of them may be wrong by a common factor, because the
    /// run times show only the differences between workers.
    typical_log: f64,
    queues: BTreeMap<Arc<str>, QueueTimes>,
}

impl RunTimes {
    fn queue_mut(&mut self, name: &Arc<str>) -> &mut QueueTimes {
        if !self.queues.contains_key(name) && self.queues.len() >= MAX_QUEUES {
            let oldest = self.queues.iter().min_by_key(|(_, it)| it.updated_ms);
            if let Some(oldest) = oldest.map(|(name, _)| Arc::clone(name)) {
                self.queues.remove(&oldest);
            }
        }
        self.queues.entry(Arc::clone(name)).or_default()
    }

    /// Duration of a step's tasks at the nominal speed, by what was learned of the step or else of its queue.
    fn step_time(&self, job: &Job, key: &StepKey) -> StepTime {
        if let Some(time) = job.step(key).and_then(|step| step.time) {
            return time;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "estimates are far below 2^52 ms"
        )]
        let log_estimate = (job.spec(key).estimate_ms.max(1) as f64).ln();
        let queue = self.queues.get(&job.request.policy.name);
        let (log_ratio, variance) = queue.map_or((0.0, 1.0), |it| (it.log_ratio, it.variance));
        StepTime {
            log_ms: log_estimate + log_ratio,
            variance: variance.max(MIN_ESTIMATE_SPREAD * MIN_ESTIMATE_SPREAD),
        }
    }
}

/// Learned speeds and run times in their stored form, from which a new leader continues.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTimesRow {
    /// Workers by speed class, without those of class 0.
    #[serde(rename = "w", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub workers: BTreeMap<i8, Vec<WorkerId>>,
    /// Run times by queue.
    #[serde(rename = "q", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub queues: BTreeMap<Arc<str>, QueueRow>,
}

impl RunTimesRow {
    /// Whether the row differs from the stored one by so much that it is to be stored again: by a queue, by a worker that
    /// is two classes off, or by a twentieth of the workers.
    #[must_use]
    pub fn differs_noticeably(&self, stored: &Self) -> bool {
        let (classes, stored_classes) = (self.classes(), stored.classes());
        let class_of =
            |classes: &BTreeMap<&WorkerId, i8>, id| classes.get(id).copied().unwrap_or(0);
        let ids: BTreeSet<&&WorkerId> = classes.keys().chain(stored_classes.keys()).collect();
        let differences = ids.iter().map(|id| {
            let (class, stored) = (class_of(&classes, **id), class_of(&stored_classes, **id));
            class.abs_diff(stored)
        });
        let (mut changed, mut is_far_off) = (0, false);
        for difference in differences.filter(|it| *it > 0) {
            changed += 1;
            is_far_off |= difference > 1;
        }
        let has_changed_queue = self.queues.iter().any(|(name, queue)| {
            let stored = stored.queues.get(name);
            stored.is_none_or(|stored| {
                let change = queue.ratio_percent.abs_diff(stored.ratio_percent);
                change > stored.ratio_percent / MIN_RATIO_CHANGE
            })
        });
        is_far_off || has_changed_queue || MIN_CHANGED_SHARE * changed > ids.len()
    }

    fn classes(&self) -> BTreeMap<&WorkerId, i8> {
        let classes = self.workers.iter();
        classes
            .flat_map(|(class, workers)| workers.iter().map(|id| (id, *class)))
            .collect()
    }
}

/// Run times of a queue in their stored form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRow {
    /// Geometric mean of the ratio of run time to estimate, in percent.
    #[serde(rename = "r")]
    pub ratio_percent: u32,
    /// Standard deviation of the logarithm of this ratio, in percent.
    #[serde(rename = "s")]
    pub spread_percent: u32,
    /// Ratio that one run in twenty exceeds, in percent.
    #[serde(rename = "t")]
    pub tail_percent: u32,
}

/// Preference of a step for the speeds of its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// The fastest workers, because the slowest one determines the run time of the gang.
    Fastest,
    /// Any worker of at least this class, or else the fastest one.
    AtLeast(i8),
    /// The slowest worker of at least this class, or else the fastest one.
    SlowestAtLeast(i8),
}

impl SpeedPreference {
    /// Sort key of a worker of a speed class; lower ones are preferred.
    pub(crate) const fn sort_key(self, class: i8) -> (bool, i8) {
        match self {
            Self::AtLeast(min) if class >= min => (false, 0),
            Self::SlowestAtLeast(min) if class >= min => (false, class),
            Self::Fastest => (false, -class),
            _ => (true, -class),
        }
    }
}

impl Scheduler {
    /// Learns from a part of a run that has not ended.
    pub(crate) fn learn_progress(&mut self, id: &WorkerId, task: &TaskKey, part: Observation) {
        // A malformed report may tell of more than 100 percent.
        if !(part.share > 0.0 && part.share <= 1.0 && part.task_ms.is_finite()) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.spec(&task.step);
        let mut step_time = self.run_times.step_time(job, &task.step);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // A task that is slow because of its rack shows nothing about its worker.
        let is_distant = spec
            .preferred_rack
            .as_ref()
            .is_some_and(|it| !worker.spec.labels.contains(it));
        if is_distant || (spec.one_rack && spec.tasks > 1) {
            return;
        }
        let speed = &mut worker.speed;
        speed.advance(self.now_ms);
        // Tasks of the step on the same worker hardly tell its speed from the duration of the step. With the root of
        // their number instead of the number, speeds are found twice as fast, and equal workers still stay in one class.
        let others =
            (worker.runs.keys()).filter(|it| it.step == task.step && it.index != task.index);
        let count = u32::try_from(others.count()).unwrap_or(u32::MAX);
        let deviation = Deviation {
            log: part.task_ms.max(1.0).ln() - (step_time.log_ms - speed.log),
            variance: TASK_SPREAD * TASK_SPREAD + step_time.variance + speed.variance,
            share: part.share / f64::from(count.saturating_add(1)).sqrt(),
        };
        let weight = deviation.weight(step_time.variance);
        step_time.log_ms += weight * deviation.limited();
        step_time.variance *= 1.0 - weight;
        speed.correct(&deviation, self.run_times.typical_log);
        self.run_times.typical_log += TYPICAL_WEIGHT * (speed.log - self.run_times.typical_log);
        if let Some(step) = job.step_mut(&task.step) {
            step.time = Some(step_time);
        }
    }

    /// Learns from a completed run.
    pub(crate) fn learn_end(&mut self, id: &WorkerId, task: &TaskKey, progress: &RunProgress) {
        let now_ms = self.now_ms;
        if let Some(part) = progress.last_part(now_ms) {
            self.learn_progress(id, task, part);
        }
        let (Some(job), Some(task_ms)) =
            (self.jobs.get(&task.step.job), progress.whole_run_ms(now_ms))
        else {
            return;
        };
        let spec = job.spec(&task.step);
        let tasks = if spec.gang { 1 } else { spec.tasks };
        let log_speed = match self.workers.get(id) {
            Some(worker) if !spec.gang => worker.speed.log,
            _ => 0.0,
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "estimates are far below 2^52 ms"
        )]
        let log_ratio = (task_ms.max(1.0) / spec.estimate_ms.max(1) as f64).ln() + log_speed;
        let queue = self.run_times.queue_mut(&job.request.policy.name);
        queue.observe(log_ratio, tasks, now_ms);
    }

    /// Learned state in its stored form.
    #[must_use]
    pub fn run_times_row(&self) -> RunTimesRow {
        let mut row = RunTimesRow::default();
        let mut workers: Vec<&Worker> = (self.workers.values())
            .filter(|worker| worker.listed && worker.speed.class != 0)
            .collect();
        workers.sort_by_key(|worker| Reverse(worker.speed.class.abs()));
        let mut bytes = 0;
        for worker in workers {
            let id = &worker.spec.id;
            bytes += id.as_str().len() + JSON_STRING_BYTES;
            if bytes > MAX_ROW_BYTES {
                break;
            }
            let class = row.workers.entry(worker.speed.class).or_default();
            class.push(id.clone());
        }
        let queues = self.run_times.queues.iter();
        row.queues = queues
            .map(|(name, it)| (Arc::clone(name), it.to_row()))
            .collect();
        row
    }

    /// Continues with the stored state of a former leader; workers that the platform does not list are ignored.
    pub fn restore_run_times(&mut self, row: RunTimesRow, now_ms: u64) {
        for (class, workers) in row.workers {
            for id in workers {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.speed = WorkerSpeed::restored(class, now_ms);
                }
            }
        }
        let queues = row.queues.into_iter().take(MAX_QUEUES);
        self.run_times.queues = queues
            .map(|(name, row)| (name, QueueTimes::restored(row, now_ms)))
            .collect();
    }

    /// Expected duration of a step's tasks in ms: the estimated one, or the learned one if that is longer.
    pub(crate) fn expected_run_ms(&self, job: &Job, key: &StepKey) -> u64 {
        let learned_ms = self.run_times.step_time(job, key).log_ms.exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast saturates, and the value is positive"
        )]
        let learned_ms = learned_ms as u64;
        job.spec(key).estimate_ms.max(learned_ms)
    }

    /// Preference of a step's tasks for the speeds of their workers, so that the job ends while its result has its present
    /// value, and fast workers are left to those that need them.
    pub(crate) fn speed_preference(&self, job: &Job, key: &StepKey) -> SpeedPreference {
        if job.spec(key).gang {
            return SpeedPreference::Fastest;
        }
        let time = self.run_times.step_time(job, key);
        let rest_ms = job.request.critical_path_after_ms(key.step as usize);
        let end_ms = if self.now_ms <= job.deadline_ms {
            job.deadline_ms
        } else {
            job.no_value_ms
        };
        let allowed_ms = end_ms.saturating_sub(self.now_ms + rest_ms).max(1);
        #[expect(
            clippy::cast_precision_loss,
            reason = "durations are far below 2^52 ms"
        )]
        let log_allowed = (allowed_ms as f64).ln();
        let spread = (time.variance + TASK_SPREAD * TASK_SPREAD).sqrt();
        let log_needed = time.log_ms + OBJECTIVE_MARGIN * spread;
        let min_class = ((log_needed - log_allowed) / CLASS_WIDTH).ceil();
        #[expect(clippy::cast_possible_truncation, reason = "the value is clamped")]
        let min_class = min_class.clamp(-MAX_CLASS, MAX_CLASS + 1.0) as i8;
        if log_allowed < time.log_ms + URGENT_FACTOR.ln() {
            SpeedPreference::AtLeast(min_class)
        } else {
            SpeedPreference::SlowestAtLeast(min_class)
        }
    }
}
