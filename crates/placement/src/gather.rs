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
        workers::{Trust, slots},
    },
    ragwortreel_model::Resources,
    std::collections::BTreeMap,
};

/// Waiting lanes that are looked at to find the next job to gather room for.
const LANES_TO_LOOK_AT: usize = 256;
/// Reservations that are tried in one call; the others follow after `replan_ms`.
const PLANS_IN_A_CALL: usize = 4;
/// Estimated ends later than this are not waited for, in ms (30 days); services have such ends.
const MAX_GATHERING_MS: u64 = 2_592_000_000;
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
    by_worker: BTreeMap<u32, (Resources, u32)>,
}

impl Rooms {
    const fn new(need: Resources, tasks: u32) -> Self {
        Self {
            need,
            left: tasks,
            by_worker: BTreeMap::new(),
        }
    }

    /// Grows the room on a worker; returns whether all tasks fit now.
    fn grow(&mut self, worker: u32, initial: Resources, more: &Resources) -> bool {
        let (room, tasks) = self.by_worker.entry(worker).or_insert((initial, 0));
        *room += *more;
        let gained = slots(room, &self.need, u32::MAX).saturating_sub(*tasks);
        let gained = gained.min(self.left);
        *tasks += gained;
        self.left -= gained;
        self.left == 0
    }

    fn into_plan(self, at_ms: u64) -> Option<Plan> {
        let tasks = |(worker, (_, tasks))| (tasks > 0).then_some((worker, tasks));
        let holds = self.by_worker.into_iter().filter_map(tasks).collect();
        (self.left == 0).then_some(Plan { at_ms, holds })
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
        if let Some(job) = self.displacing_job() {
            self.drop_reservation();
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_ms);
            return self.reserve_for(job);
        }
        if let Some(reservation) = &self.reservation {
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_ms);
            let waits_for_checkpoints = reservation.reclaimed
                && self.now_ms < reservation.at_ms.saturating_add(CHECKPOINT_MS);
            let job = reservation.job;
            return !waits_for_checkpoints && self.reserve_for(job);
        }
        let candidates = self.gathering_candidates();
        if candidates.is_empty() {
            return false;
        }
        self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_ms);
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
        let lanes = self.queue.waiting().take(LANES_TO_LOOK_AT);
        let job = |lane: u32| {
            let &(submit_ms, _, job) = self.queue.lane(lane).jobs.first()?;
            let waited_ms = self.now_ms.saturating_sub(submit_ms);
            let may_gather = self.jobs[job].is_gang() || waited_ms >= self.cfg.reserve_after_ms;
            (may_gather && self.queue.is_closed(lane)).then_some(job)
        };
        lanes.filter_map(job).take(PLANS_IN_A_CALL).collect()
    }

    /// Plans for a job and holds the workers of the plan; returns whether anything changed.
    fn reserve_for(&mut self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let need = self.queue.lane(job.lane).shape.need;
        let tasks = if job.is_gang() { job.queued() } else { 1 };
        let sequence = job.sequence;
        let by_ends = self.plan(&need, tasks);
        let soon_ms = self.now_ms.saturating_add(CHECKPOINT_MS);
        let is_soon = by_ends.as_ref().is_some_and(|plan| plan.at_ms <= soon_ms);
        let by_checkpoints = (job.is_urgent() && job.is_gang() && !is_soon)
            .then(|| self.plan_checkpoints(&need, tasks))
            .flatten();
        let reclaimed = by_checkpoints.is_some();
        let Some(plan) = by_checkpoints.or(by_ends) else {
            self.drop_reservation();
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_ms);
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

    /// Where the tasks fit soonest by the estimated ends of runs.
    fn plan(&self, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut rooms = Rooms::new(*need, tasks);
        let mut add = |worker: u32, free: &Resources| {
            if self.workers.get(worker).trust == Trust::Good
                && rooms.grow(worker, *free, &Resources::ZERO)
            {
                return Visit::Stop;
            }
            Visit::Next
        };
        let order = SearchOrder::Tightest;
        // Workers that are held already come first, so that a plan does not wander.
        self.workers.visit_held(need, order, &mut add);
        self.workers.visit_open(need, order, &mut add);
        if rooms.left == 0 {
            return rooms.into_plan(self.now_ms);
        }
        for &(end_ms, (job, index)) in &self.ends {
            if end_ms > self.now_ms.saturating_add(MAX_GATHERING_MS) {
                break;
            }
            let run = &self.jobs[job].runs[&index];
            let worker = self.workers.get(run.worker);
            let usable = worker.takes_tasks() && worker.trust == Trust::Good;
            if usable
                && need.fits_in(&worker.spec.capacity)
                && rooms.grow(run.worker, worker.free(), &run.size)
            {
                return rooms.into_plan(self.expected_end(end_ms));
            }
        }
        None
    }

    /// When a run is expected to end; one that is overdue is given half as long again as it is late.
    fn expected_end(&self, end_ms: u64) -> u64 {
        let late_ms = self.now_ms.saturating_sub(end_ms);
        let grace_ms = (late_ms / 2).max(self.cfg.replan_ms);
        if late_ms > 0 {
            self.now_ms.saturating_add(grace_ms)
        } else {
            end_ms
        }
    }

    /// Where the tasks fit when patient batch runs are checkpointed.
    fn plan_checkpoints(&self, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut rooms = Rooms::new(*need, tasks);
        self.workers.visit_reclaimable(need, &mut |worker, room| {
            if self.workers.get(worker).trust == Trust::Good
                && rooms.grow(worker, *room, &Resources::ZERO)
            {
                return Visit::Stop;
            }
            Visit::Next
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
