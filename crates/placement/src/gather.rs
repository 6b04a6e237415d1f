//! The reservation of a pool.
//!
//! One job at a time gathers room: the oldest one that waits for room and is a gang, or a single task that has waited
//! long. Its reservation holds the workers on which the job fits soonest by the estimated ends of their runs. Other
//! work starts on held workers only when it is expected to leave in time, or when it fits beside the reservation.
//! Since a job that does not gather never holds anything, no two jobs can wait for each other.

use {
    crate::{
        Scheduler,
        capacity::{SearchOrder, Visit},
        queue::Place,
        workers::{RunKey, Trust, Worker, slots},
    },
    ragwortreel_model::Resources,
    std::{
        collections::{BTreeMap, BTreeSet},
        iter::Peekable,
    },
};

/// Waiting lanes that are looked at to find the next job to gather room for.
const LANES_TO_LOOK_AT: usize = 256;
/// Any single task may gather room after this many times the wait of the one that is first in rank.
const PATIENCE_FACTOR: u64 = 60;
/// Reservations that are tried in one call; the others follow after `replan_interval_ms`.
const PLANS_IN_A_CALL: usize = 4;
/// Estimated ends later than this are not waited for, in ms (30 days); services have such ends.
const MAX_GATHERING_MS: u64 = 2_592_000_000;
/// Least time by which a held worker must be later than another one to be given up, in ms.
const KEEP_MS: u64 = 5_000;
/// Time that checkpoints for an urgent gang are expected to take, in ms.
const CHECKPOINT_MS: u64 = 3_000;

/// Room that is gathered for a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Index of the job.
    pub job: u32,
    /// Its order of submission, which tells it from a later job at the same index.
    pub sequence: u64,
    /// Size of one task.
    pub need: Resources,
    /// Estimated time at which all tasks fit, in ms.
    pub at_ms: u64,
    /// Tasks for which each worker is held.
    pub holds: BTreeMap<u32, u32>,
    /// Whether runs were checkpointed for it.
    pub reclaimed: bool,
}

/// Whether a task may start on a held worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backfill {
    /// It would delay the gathering job.
    Refused,
    /// It fits beside the reservation.
    Beside,
    /// It must leave by the time in ms.
    LeaveBy(u64),
}

/// When and where a job can start.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Plan {
    at_ms: u64,
    holds: BTreeMap<u32, u32>,
}

/// Rooms that add up to a number of tasks.
struct Rooms {
    need: Resources,
    left: u32,
    /// What stays reserved on a worker, and tasks that fit beside it.
    by_worker: BTreeMap<u32, (Resources, u32)>,
    settled: BTreeSet<u32>,
}

impl Rooms {
    fn new(need: Resources, tasks: u32) -> Self {
        Self {
            need,
            left: tasks,
            by_worker: BTreeMap::new(),
            settled: BTreeSet::new(),
        }
    }

    /// Adds a worker with `reserved` on it, or frees `ended` of it; returns the tasks that fit in addition.
    fn grow(&mut self, ix: u32, worker: &Worker, reserved: Resources, ended: &Resources) -> u32 {
        if self.settled.contains(&ix) {
            return 0;
        }
        let (left, tasks) = self.by_worker.entry(ix).or_insert((reserved, 0));
        *left = left.saturating_sub(ended);
        let room = worker.room_beside(left);
        let gained = slots(&room, &self.need, u32::MAX).saturating_sub(*tasks);
        let gained = gained.min(self.left);
        *tasks += gained;
        self.left -= gained;
        gained
    }

    /// Leaves the workers so far at their present number of tasks.
    fn settle(&mut self) {
        let settled = self.by_worker.iter().filter(|(_, (_, tasks))| *tasks > 0);
        self.settled = settled.map(|(&worker, _)| worker).collect();
        self.by_worker.retain(|_, (_, tasks)| *tasks > 0);
    }

    fn into_plan(self, at_ms: u64) -> Option<Plan> {
        let tasks = |(worker, (_, tasks))| (tasks > 0).then_some((worker, tasks));
        let holds = self.by_worker.into_iter().filter_map(tasks).collect();
        (self.left == 0).then_some(Plan { at_ms, holds })
    }
}

type End = (u64, RunKey);

/// Takes the earlier of the first elements of two ordered sequences.
fn next_of_both(
    one: &mut Peekable<impl Iterator<Item = End>>,
    other: &mut Peekable<impl Iterator<Item = End>>,
) -> Option<End> {
    match (one.peek(), other.peek()) {
        (Some(a), Some(b)) if a <= b => one.next(),
        (Some(_), None) => one.next(),
        _ => other.next(),
    }
}

impl Scheduler {
    /// Whether room is being gathered for a job.
    pub(crate) fn is_gathering(&self, job: u32) -> bool {
        self.reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == job)
    }

    /// Drops the reservation when its job no longer waits for room.
    pub(crate) fn check_reservation(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        let job = self.jobs.get(reservation.job);
        let waits = job.is_some_and(|job| {
            let is_listed = matches!(self.queue.lane(job.lane).place, Place::Listed { .. });
            job.sequence == reservation.sequence && job.listed && is_listed
        });
        if !waits {
            self.drop_reservation();
        }
    }

    /// Releases all held workers.
    pub(crate) fn drop_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        for worker in reservation.holds.into_keys() {
            self.workers.set_hold(worker, 0);
        }
        self.leave_by.clear();
        self.next_plan_ms = 0;
        self.queue.open_all();
    }

    /// Takes a worker out of the reservation.
    pub(crate) fn drop_hold(&mut self, worker: u32) {
        if let Some(reservation) = &mut self.reservation
            && reservation.holds.remove(&worker).is_some()
        {
            self.workers.set_hold(worker, 0);
            self.next_plan_ms = 0;
        }
    }

    /// Renews the plan of the reservation or makes a reservation; returns whether room may be used that could not be
    /// used before.
    pub(crate) fn plan_reservation(&mut self) -> bool {
        if self.now_ms < self.next_plan_ms {
            return false;
        }
        if let Some(lane) = self.queue.first_closed_single() {
            self.queue.lane_mut(lane).passed_over += 1;
        }
        if let Some(job) = self.displacing_job() {
            self.drop_reservation();
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            return self.reserve_for(job);
        }
        if let Some(reservation) = &self.reservation {
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            let waits_for_checkpoints = reservation.reclaimed
                && self.now_ms < reservation.at_ms.saturating_add(CHECKPOINT_MS);
            let job = reservation.job;
            return !waits_for_checkpoints && self.reserve_for(job);
        }
        let candidates = self.gathering_candidates();
        self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
        candidates.into_iter().any(|job| self.reserve_for(job))
    }

    /// An urgent gang that must not wait behind the present reservation.
    fn displacing_job(&self) -> Option<u32> {
        let reservation = self.reservation.as_ref()?;
        if self.jobs[reservation.job].is_urgent() {
            return None;
        }
        let first = *self.gathering_candidates().first()?;
        self.jobs[first].is_urgent().then_some(first)
    }

    /// Jobs that may gather room, in order.
    fn gathering_candidates(&self) -> Vec<u32> {
        let passed_over = self.cfg.reserve_after_ms / self.cfg.replan_interval_ms.max(1);
        let patience_ms = self.cfg.reserve_after_ms.saturating_mul(PATIENCE_FACTOR);
        let lanes = self.queue.waiting().take(LANES_TO_LOOK_AT);
        let job = |lane: u32| {
            let entry = self.queue.lane(lane);
            let &(submit_ms, _, job) = entry.jobs.first()?;
            let Place::Listed { gather_ms, .. } = entry.place else {
                return None;
            };
            let may_gather = gather_ms <= self.now_ms && self.queue.is_closed(lane);
            let is_next = entry.key.gang_tasks > 0
                || entry.passed_over >= passed_over
                || self.now_ms.saturating_sub(submit_ms) >= patience_ms;
            (may_gather && is_next).then_some(job)
        };
        lanes.filter_map(job).take(PLANS_IN_A_CALL).collect()
    }

    /// Plans for a job and holds the workers of the plan; returns whether anything changed.
    fn reserve_for(&mut self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let need = self.queue.lane(job.lane).shape.need;
        let tasks = if job.is_gang() { job.queued() } else { 1 };
        let sequence = job.sequence;
        let by_ends = self.plan(ix, &need, tasks);
        let soon_ms = self.now_ms.saturating_add(CHECKPOINT_MS);
        let is_soon = by_ends.as_ref().is_some_and(|plan| plan.at_ms <= soon_ms);
        let by_checkpoints = (job.is_urgent() && job.is_gang() && !is_soon)
            .then(|| self.plan_checkpoints(&need, tasks))
            .flatten();
        let reclaimed = by_checkpoints.is_some();
        let Some(plan) = by_checkpoints.or(by_ends) else {
            self.drop_reservation();
            self.retry_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            self.next_plan_ms = self.retry_plan_ms;
            return false;
        };
        let old = self.reservation.take();
        let unchanged = old
            .as_ref()
            .is_some_and(|old| old.at_ms >= plan.at_ms && old.holds == plan.holds);
        for worker in old.into_iter().flat_map(|old| old.holds.into_keys()) {
            if !plan.holds.contains_key(&worker) {
                self.workers.set_hold(worker, 0);
            }
        }
        for (&worker, &tasks) in &plan.holds {
            self.workers.set_hold(worker, tasks);
        }
        if reclaimed {
            for (&worker, &tasks) in &plan.holds {
                self.reclaim_for_gang(worker, &need, tasks);
            }
        }
        self.reservation = Some(Reservation {
            job: ix,
            sequence,
            need,
            at_ms: plan.at_ms,
            holds: plan.holds,
            reclaimed,
        });
        if !unchanged {
            self.queue.open_all();
        }
        !unchanged
    }

    /// Where the tasks fit soon by the estimated ends of runs.
    ///
    /// A plan that always took the soonest workers would give up workers whose runs are late, which then fill with
    /// long work, for others whose runs turn out late as well. So held workers are kept unless they are much later.
    fn plan(&self, ix: u32, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut rooms = Rooms::new(*need, tasks);
        let at_ms = self.fill(&mut rooms)?;
        if !self.is_gathering(ix) {
            return rooms.into_plan(at_ms);
        }
        let slack_ms = (at_ms.saturating_sub(self.now_ms) / 2).max(KEEP_MS);
        let mut rooms = Rooms::new(*need, tasks);
        let kept_ms = self.fill_held(&mut rooms, at_ms.saturating_add(slack_ms));
        let at_ms = self.fill(&mut rooms)?;
        rooms.into_plan(at_ms.max(kept_ms))
    }

    fn is_usable(&self, worker: u32, need: &Resources) -> bool {
        let entry = self.workers.get(worker);
        entry.takes_tasks() && entry.trust == Trust::Good && need.fits_in(&entry.spec.capacity)
    }

    /// Adds rooms of held workers that are expected by `until_ms`; returns the time of the last one.
    fn fill_held(&self, rooms: &mut Rooms, until_ms: u64) -> u64 {
        let holds = self.reservation.iter().flat_map(|held| held.holds.keys());
        let held: Vec<u32> = holds.copied().collect();
        let mut ends: Vec<End> = Vec::new();
        for worker in held {
            let entry = self.workers.get(worker);
            if !self.is_usable(worker, &rooms.need) {
                continue;
            }
            rooms.grow(worker, entry, entry.reserved, &Resources::ZERO);
            let expected = entry.runs.iter().map(|&(job, index)| {
                let end_ms = self.jobs[job].runs[&index].end_ms;
                (self.expected_end(end_ms), (job, index))
            });
            ends.extend(expected.filter(|&(end_ms, _)| end_ms <= until_ms));
        }
        ends.sort_unstable();
        let mut last_ms = self.now_ms;
        for (end_ms, (job, index)) in ends {
            let run = &self.jobs[job].runs[&index];
            let entry = self.workers.get(run.worker);
            let gains =
                |rooms: &mut Rooms| rooms.grow(run.worker, entry, entry.reserved, &run.size) > 0;
            if rooms.left > 0 && gains(rooms) {
                last_ms = end_ms;
            }
        }
        rooms.settle();
        last_ms
    }

    /// Adds the rooms that are expected soonest until all tasks fit; returns when they do.
    fn fill(&self, rooms: &mut Rooms) -> Option<u64> {
        let need = rooms.need;
        if rooms.left == 0 {
            return Some(self.now_ms);
        }
        let mut add = |worker: u32, _: &Resources| {
            let entry = self.workers.get(worker);
            if self.is_usable(worker, &need) {
                rooms.grow(worker, entry, entry.reserved, &Resources::ZERO);
            }
            if rooms.left == 0 {
                Visit::Stop
            } else {
                Visit::Next
            }
        };
        self.workers
            .visit_open(&need, SearchOrder::LeastFree, &mut add);
        self.workers
            .visit_held(&need, SearchOrder::LeastFree, &mut add);
        if rooms.left == 0 {
            return Some(self.now_ms);
        }
        let late = self.ends.range(..(self.now_ms, (0, 0)));
        let late = late.map(|&(end_ms, run)| (self.expected_end(end_ms), run));
        let mut late: Vec<End> = late.collect();
        late.sort_unstable();
        let mut late = late.into_iter().peekable();
        let mut due = self.ends.range((self.now_ms, (0, 0))..).copied().peekable();
        while let Some((end_ms, (job, index))) = next_of_both(&mut late, &mut due) {
            if end_ms > self.now_ms.saturating_add(MAX_GATHERING_MS) {
                return None;
            }
            let run = &self.jobs[job].runs[&index];
            if self.is_usable(run.worker, &need) {
                let entry = self.workers.get(run.worker);
                rooms.grow(run.worker, entry, entry.reserved, &run.size);
            }
            if rooms.left == 0 {
                return Some(end_ms);
            }
        }
        None
    }

    /// When a run is expected to end; the later it is, the longer it is expected to go on.
    fn expected_end(&self, end_ms: u64) -> u64 {
        if end_ms >= self.now_ms {
            return end_ms;
        }
        let late_ms = self.now_ms - end_ms;
        let more_ms = (late_ms / 2).max(self.cfg.replan_interval_ms);
        self.now_ms.saturating_add(more_ms)
    }

    /// Where the tasks fit when best-effort batch runs are checkpointed.
    fn plan_checkpoints(&self, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut rooms = Rooms::new(*need, tasks);
        self.workers.visit_reclaimable(need, &mut |worker, _| {
            let entry = self.workers.get(worker);
            if self.is_usable(worker, need) {
                rooms.grow(worker, entry, entry.kept(), &Resources::ZERO);
            }
            if rooms.left == 0 {
                Visit::Stop
            } else {
                Visit::Next
            }
        });
        rooms.into_plan(self.now_ms.saturating_add(CHECKPOINT_MS))
    }

    /// Whether a task may start on a held worker.
    pub(crate) fn backfill(&self, worker: u32, need: &Resources, end_ms: u64) -> Backfill {
        let Some(reservation) = &self.reservation else {
            return Backfill::Beside;
        };
        if end_ms <= reservation.at_ms {
            return Backfill::LeaveBy(reservation.at_ms);
        }
        let worker = self.workers.get(worker);
        let runs = worker.runs.iter();
        let stays = runs.filter_map(|&(job, index)| {
            let run = &self.jobs[job].runs[&index];
            (run.end_ms > reservation.at_ms).then_some(run.size)
        });
        let staying = stays.fold(Resources::ZERO, |sum, size| sum + size);
        let gathered = reservation.need.checked_mul(u64::from(worker.hold));
        let beside = gathered.and_then(|gathered| {
            let taken = staying + gathered;
            worker.spec.capacity.checked_sub(&taken)
        });
        if beside.is_some_and(|beside| need.fits_in(&beside)) {
            Backfill::Beside
        } else {
            Backfill::Refused
        }
    }

    /// Has backfilled runs checkpointed that should have left a held worker by now.
    pub(crate) fn stop_overruns(&mut self) {
        while let Some(&(leave_by_ms, run)) = self.leave_by.first()
            && leave_by_ms <= self.now_ms
        {
            self.leave_by.remove(&(leave_by_ms, run));
            let entry = self.jobs.get(run.0).and_then(|job| job.runs.get(&run.1));
            let overruns = entry.is_some_and(|entry| {
                entry.reclaimable && !entry.stopping && self.workers.get(entry.worker).hold > 0
            });
            if overruns {
                self.stop(run);
            }
        }
    }
}
