//! Forecast of the time at which a step has room.
//!
//! Room is kept for a step only as long as that leads to a start (see `gang_room`). So it has to be known whether enough
//! of the workers becomes free by the end of what runs there now, and when. Endless tasks end only by chance, so their
//! room does not become free. All other ends are estimated, by the speed that a run has shown or else by its estimate, and
//! a run that exceeds its estimate is expected to exceed it by as much again.

use {
    crate::{
        Scheduler, StepKey,
        job_state::{Job, Placement},
        quarantine::StepFailures,
        worker::{Run, RunPhase, Worker, slots_in},
    },
    ragwortreel_model::{Resources, WorkerId},
    std::{
        collections::BTreeMap,
        iter::{self, repeat_n},
        mem,
    },
};

/// Time from the end of a run until its room can be used, in ms: a report, a decision and a transaction of the journal.
const REUSE_DELAY_MS: u64 = 100;
/// Interval between two estimates of the ends of all runs, in ms.
const ESTIMATE_INTERVAL_MS: u64 = 250;

/// Expected ends of a worker's runs.
#[derive(Debug, Default)]
pub(crate) struct ExpectedEnds {
    /// Resources of endless runs.
    pub(crate) endless: Resources,
    /// Times in ms, in ascending order, and the resources that become free then.
    releases: Vec<(u64, Resources)>,
}

/// Room for a step on the workers that accept tasks now.
#[derive(Debug, Default)]
pub(crate) struct RoomForecast {
    /// Number of tasks that fit once all runs but endless ones have ended.
    pub(crate) slots: u64,
    /// Time at which as many tasks fit as the step needs to start, in ms; `None` if that is never expected.
    pub(crate) start_ms: Option<u64>,
}

/// Most tasks of a step that may run on each worker beside those that do.
pub(crate) struct Allowance<'a> {
    max: u32,
    placed: BTreeMap<&'a WorkerId, u32>,
    is_gang: bool,
    /// Failures that limit the starts of the step.
    failures: Option<&'a StepFailures>,
    now_ms: u64,
}

impl<'a> Allowance<'a> {
    pub(crate) fn new(job: &'a Job, key: &StepKey, now_ms: u64) -> Self {
        let spec = job.spec(key);
        let step = job.step(key);
        let failures = step.map(|step| &step.failures);
        let failures = failures.filter(|failures| failures.limits_starts());
        let mut placed: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        if (spec.max_per_worker.is_some() || failures.is_some())
            && let Some(step) = step
        {
            for task in &step.tasks {
                if let Placement::On(worker) = &task.placement {
                    *placed.entry(worker).or_default() += 1;
                }
            }
        }
        let max = spec.tasks.min(spec.max_per_worker.unwrap_or(u32::MAX));
        Self {
            max,
            placed,
            is_gang: spec.gang,
            failures,
            now_ms,
        }
    }

    fn placed(&self, worker: &WorkerId) -> u32 {
        self.placed.get(worker).copied().unwrap_or(0)
    }

    pub(crate) fn of(&self, worker: &WorkerId) -> u32 {
        self.max.saturating_sub(self.placed(worker))
    }

    /// Most tasks that may start on a worker now, within the limits that failures of the worker and of the step set.
    pub(crate) fn new_runs(&self, worker: &Worker) -> u32 {
        let id = &worker.spec.id;
        let max = (self.of(id)).min(worker.max_new_runs(self.is_gang, self.now_ms));
        let failures = self.failures.filter(|_| max > 0);
        match failures.map(|it| it.max_new_runs(id, self.placed(id), self.now_ms)) {
            Some(0) => 0,
            Some(limit) if !self.is_gang => max.min(limit),
            _ => max,
        }
    }
}

impl Run {
    /// Expected end, in ms; `None` for an endless run that is not being stopped.
    pub(crate) fn expected_end_ms(&self, now_ms: u64) -> Option<u64> {
        if matches!(
            self.phase,
            RunPhase::Stopping | RunPhase::Stopped(_) | RunPhase::Finished(_)
        ) {
            return Some(now_ms);
        }
        let end_ms = self.progress.expected_end_ms(self.progress.estimate_ms()?);
        Some(end_ms.max(now_ms + now_ms.saturating_sub(end_ms)))
    }
}

impl Worker {
    fn estimate_ends(&mut self, now_ms: u64) {
        let mut ends = ExpectedEnds::default();
        for run in self.runs.values() {
            match run.expected_end_ms(now_ms) {
                Some(end_ms) => ends.releases.push((end_ms, run.need)),
                None => ends.endless += run.need,
            }
        }
        ends.releases.sort_unstable_by_key(|(end_ms, _)| *end_ms);
        self.expected_ends = ends;
    }

    /// Capacity beside endless runs.
    pub(crate) fn capacity_beside_endless(&self) -> Resources {
        (self.spec.capacity).saturating_sub(&self.expected_ends.endless)
    }

    /// Free capacity of the worker at a time in ms, if nothing more starts.
    pub(crate) fn free_capacity_at(&self, time_ms: u64) -> Resources {
        let mut free = self.free_capacity();
        let releases = self.expected_ends.releases.iter();
        for (_, released) in releases.take_while(|(end_ms, _)| *end_ms <= time_ms) {
            free += *released;
        }
        free
    }

    /// Times in ms at which tasks fit on the worker, now or at the end of runs, and the number of further tasks that fit then.
    pub(crate) fn slot_times(
        &self,
        need: &Resources,
        max: u32,
        now_ms: u64,
    ) -> impl Iterator<Item = (u64, u32)> {
        let releases = self.expected_ends.releases.iter().copied();
        let times = iter::once((now_ms, self.free_capacity())).chain(releases);
        let (mut free, mut slots) = (Resources::ZERO, 0);
        times.map_while(move |(time_ms, released)| {
            if slots == max {
                return None;
            }
            free += released;
            let before = mem::replace(&mut slots, slots_in(need, &free, max));
            Some((time_ms, slots - before))
        })
    }
}

impl Scheduler {
    /// Estimates the ends of all runs if that is due.
    pub(crate) fn estimate_ends(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.ends_due_ms {
            return;
        }
        self.ends_due_ms = now_ms + ESTIMATE_INTERVAL_MS;
        for worker in self.workers.values_mut() {
            worker.estimate_ends(now_ms);
        }
    }

    /// Room for the tasks of a step that start together, or for the next one of others, on some workers.
    pub(crate) fn room_forecast<'a>(
        &self,
        need: &Resources,
        least_slots: u64,
        workers: impl Iterator<Item = (&'a Worker, u32)>,
    ) -> RoomForecast {
        let mut forecast = RoomForecast::default();
        let mut times = Vec::new();
        for (worker, max) in workers {
            let room = worker.capacity_beside_endless();
            forecast.slots += u64::from(slots_in(need, &room, max));
            let slots = worker.slot_times(need, max, self.now_ms);
            times.extend(slots.flat_map(|(time_ms, count)| repeat_n(time_ms, count as usize)));
        }
        let last = usize::try_from(least_slots).unwrap_or(usize::MAX).max(1) - 1;
        if last < times.len() {
            forecast.start_ms = Some(*times.select_nth_unstable(last).1);
        }
        forecast
    }

    /// Expected time from which the room of a step's tasks that start now can be used again, in ms.
    pub(crate) fn expected_reuse_ms(&self, job: &Job, key: &StepKey) -> u64 {
        if job.spec(key).endless {
            return u64::MAX;
        }
        let run_ms = self.expected_run_ms(job, key);
        run_ms.saturating_add(self.now_ms + REUSE_DELAY_MS)
    }
}
