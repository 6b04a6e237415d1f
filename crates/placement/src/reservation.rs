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
        queue::ClassState,
        workers::{Health, RunKey, Worker, tasks_that_fit},
    },
    ragwortreel_model::Resources,
    std::{
        collections::{BTreeMap, BTreeSet},
        iter::Peekable,
    },
};

/// Waiting lanes that are looked at to find the next job to gather room for.
const MAX_CLASSES_SEARCHED: usize = 256;
/// Any single task may gather room after this many times the wait of the one that is first in rank.
const LONG_WAIT_FACTOR: u64 = 60;
/// Reservations that are tried in one call; the others follow after `replan_interval_ms`.
const MAX_PLANS_PER_CALL: usize = 4;
/// Estimated ends later than this are not waited for, in ms (30 days); services have such ends.
const MAX_RESERVATION_WAIT_MS: u64 = 2_592_000_000;
/// Least time by which a held worker must be later than another one to be given up, in ms.
const MIN_KEEP_SLACK_MS: u64 = 5_000;
/// Time that checkpoints for an urgent gang are expected to take, in ms.
const EXPECTED_CHECKPOINT_MS: u64 = 3_000;

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
    pub start_ms: u64,
    /// Tasks for which each worker is held.
    pub tasks_by_worker: BTreeMap<u32, u32>,
    /// Whether runs were checkpointed for it.
    pub preempts: bool,
}

/// Whether a task may start on a held worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backfill {
    /// It would delay the gathering job.
    Denied,
    /// It fits beside the reservation.
    Unrestricted,
    /// It must leave by the time in ms.
    Until(u64),
}

/// When and where a job can start.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Plan {
    start_ms: u64,
    tasks_by_worker: BTreeMap<u32, u32>,
}

/// Rooms that add up to a number of tasks.
struct PlanBuilder {
    need: Resources,
    remaining_tasks: u32,
    /// What stays reserved on a worker, and tasks that fit beside it.
    by_worker: BTreeMap<u32, (Resources, u32)>,
    fixed: BTreeSet<u32>,
}

impl PlanBuilder {
    fn new(need: Resources, tasks: u32) -> Self {
        Self {
            need,
            remaining_tasks: tasks,
            by_worker: BTreeMap::new(),
            fixed: BTreeSet::new(),
        }
    }

    /// Adds a worker with `reserved` on it, or frees `ended` of it; returns the tasks that fit in addition.
    fn add_capacity(
        &mut self,
        ix: u32,
        worker: &Worker,
        allocated: Resources,
        ended: &Resources,
    ) -> u32 {
        if self.fixed.contains(&ix) {
            return 0;
        }
        let (still_allocated, tasks) = self.by_worker.entry(ix).or_insert((allocated, 0));
        *still_allocated = still_allocated.saturating_sub(ended);
        let room = worker.free_beside(still_allocated);
        let gained = tasks_that_fit(&room, &self.need, u32::MAX).saturating_sub(*tasks);
        let gained = gained.min(self.remaining_tasks);
        *tasks += gained;
        self.remaining_tasks -= gained;
        gained
    }

    /// Leaves the workers so far at their present number of tasks.
    fn fix_workers(&mut self) {
        let fixed = self.by_worker.iter().filter(|(_, (_, tasks))| *tasks > 0);
        self.fixed = fixed.map(|(&worker, _)| worker).collect();
        self.by_worker.retain(|_, (_, tasks)| *tasks > 0);
    }

    fn into_plan(self, start_ms: u64) -> Option<Plan> {
        let tasks = |(worker, (_, tasks))| (tasks > 0).then_some((worker, tasks));
        let tasks_by_worker = self.by_worker.into_iter().filter_map(tasks).collect();
        (self.remaining_tasks == 0).then_some(Plan {
            start_ms,
            tasks_by_worker,
        })
    }
}

type RunEnd = (u64, RunKey);

/// Takes the earlier of the first elements of two ordered sequences.
fn next_merged(
    one: &mut Peekable<impl Iterator<Item = RunEnd>>,
    other: &mut Peekable<impl Iterator<Item = RunEnd>>,
) -> Option<RunEnd> {
    match (one.peek(), other.peek()) {
        (Some(a), Some(b)) if a <= b => one.next(),
        (Some(_), None) => one.next(),
        _ => other.next(),
    }
}

impl Scheduler {
    /// Whether room is being gathered for a job.
    pub(crate) fn holds_reservation(&self, job: u32) -> bool {
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
            let is_waiting = matches!(
                self.queue.class(job.class).state,
                ClassState::Waiting { .. }
            );
            job.sequence == reservation.sequence && job.in_queue && is_waiting
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
        for worker in reservation.tasks_by_worker.into_keys() {
            self.workers.set_reserved_tasks(worker, 0);
        }
        self.backfill_deadlines.clear();
        self.next_plan_ms = 0;
        self.queue.unblock_all();
    }

    /// Takes a worker out of the reservation.
    pub(crate) fn unreserve_worker(&mut self, worker: u32) {
        if let Some(reservation) = &mut self.reservation
            && reservation.tasks_by_worker.remove(&worker).is_some()
        {
            self.workers.set_reserved_tasks(worker, 0);
            self.next_plan_ms = 0;
        }
    }

    /// Renews the plan of the reservation or makes a reservation; returns whether room may be used that could not be
    /// used before.
    pub(crate) fn plan_reservation(&mut self) -> bool {
        if self.now_ms < self.next_plan_ms {
            return false;
        }
        if let Some(class) = self.queue.first_blocked_single() {
            self.queue.class_mut(class).passed_over += 1;
        }
        if let Some(job) = self.displacing_gang() {
            self.drop_reservation();
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            return self.reserve_for(job);
        }
        if let Some(reservation) = &self.reservation {
            self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            let waits_for_checkpoints = reservation.preempts
                && self.now_ms < reservation.start_ms.saturating_add(EXPECTED_CHECKPOINT_MS);
            let job = reservation.job;
            return !waits_for_checkpoints && self.reserve_for(job);
        }
        let candidates = self.reservation_candidates();
        self.next_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
        candidates.into_iter().any(|job| self.reserve_for(job))
    }

    /// An urgent gang that must not wait behind the present reservation.
    fn displacing_gang(&self) -> Option<u32> {
        let reservation = self.reservation.as_ref()?;
        if self.jobs[reservation.job].is_urgent() {
            return None;
        }
        let first = *self.reservation_candidates().first()?;
        self.jobs[first].is_urgent().then_some(first)
    }

    /// Jobs that may gather room, in order.
    fn reservation_candidates(&self) -> Vec<u32> {
        let passed_over = self.cfg.reserve_after_ms / self.cfg.replan_interval_ms.max(1);
        let long_wait_ms = self.cfg.reserve_after_ms.saturating_mul(LONG_WAIT_FACTOR);
        let classes = self
            .queue
            .waiting_by_reserve_time()
            .take(MAX_CLASSES_SEARCHED);
        let job = |class: u32| {
            let entry = self.queue.class(class);
            let &(submit_ms, _, job) = entry.jobs.first()?;
            let ClassState::Waiting {
                reserve_from_ms, ..
            } = entry.state
            else {
                return None;
            };
            let may_reserve = reserve_from_ms <= self.now_ms && self.queue.is_blocked(class);
            let is_next = entry.key.gang_tasks > 0
                || entry.passed_over >= passed_over
                || self.now_ms.saturating_sub(submit_ms) >= long_wait_ms;
            (may_reserve && is_next).then_some(job)
        };
        classes.filter_map(job).take(MAX_PLANS_PER_CALL).collect()
    }

    /// Plans for a job and holds the workers of the plan; returns whether anything changed.
    fn reserve_for(&mut self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let need = self.queue.class(job.class).shape.need;
        let tasks = if job.is_gang() { job.queued() } else { 1 };
        let sequence = job.sequence;
        let by_ends = self.plan(ix, &need, tasks);
        let soon_ms = self.now_ms.saturating_add(EXPECTED_CHECKPOINT_MS);
        let is_soon = by_ends
            .as_ref()
            .is_some_and(|plan| plan.start_ms <= soon_ms);
        let by_checkpoints = (job.is_urgent() && job.is_gang() && !is_soon)
            .then(|| self.plan_with_preemption(&need, tasks))
            .flatten();
        let preempts = by_checkpoints.is_some();
        let Some(plan) = by_checkpoints.or(by_ends) else {
            self.drop_reservation();
            self.retry_plan_ms = self.now_ms.saturating_add(self.cfg.replan_interval_ms);
            self.next_plan_ms = self.retry_plan_ms;
            return false;
        };
        let old = self.reservation.take();
        let unchanged = old.as_ref().is_some_and(|old| {
            old.start_ms >= plan.start_ms && old.tasks_by_worker == plan.tasks_by_worker
        });
        for worker in old
            .into_iter()
            .flat_map(|old| old.tasks_by_worker.into_keys())
        {
            if !plan.tasks_by_worker.contains_key(&worker) {
                self.workers.set_reserved_tasks(worker, 0);
            }
        }
        for (&worker, &tasks) in &plan.tasks_by_worker {
            self.workers.set_reserved_tasks(worker, tasks);
        }
        if preempts {
            for (&worker, &tasks) in &plan.tasks_by_worker {
                self.preempt_for_gang(worker, &need, tasks);
            }
        }
        self.reservation = Some(Reservation {
            job: ix,
            sequence,
            need,
            start_ms: plan.start_ms,
            tasks_by_worker: plan.tasks_by_worker,
            preempts,
        });
        if !unchanged {
            self.queue.unblock_all();
        }
        !unchanged
    }

    /// Where the tasks fit soon by the estimated ends of runs.
    ///
    /// A plan that always took the soonest workers would give up workers whose runs are late, which then fill with
    /// long work, for others whose runs turn out late as well. So held workers are kept unless they are much later.
    fn plan(&self, ix: u32, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut builder = PlanBuilder::new(*need, tasks);
        let start_ms = self.fill(&mut builder)?;
        if !self.holds_reservation(ix) {
            return builder.into_plan(start_ms);
        }
        let slack_ms = (start_ms.saturating_sub(self.now_ms) / 2).max(MIN_KEEP_SLACK_MS);
        let mut builder = PlanBuilder::new(*need, tasks);
        let kept_ms = self.fill_reserved(&mut builder, start_ms.saturating_add(slack_ms));
        let start_ms = self.fill(&mut builder)?;
        builder.into_plan(start_ms.max(kept_ms))
    }

    fn is_usable(&self, worker: u32, need: &Resources) -> bool {
        let entry = self.workers.get(worker);
        entry.takes_tasks() && entry.health == Health::Healthy && need.fits_in(&entry.spec.capacity)
    }

    /// Adds rooms of held workers that are expected by `until_ms`; returns the time of the last one.
    fn fill_reserved(&self, builder: &mut PlanBuilder, until_ms: u64) -> u64 {
        let workers = self
            .reservation
            .iter()
            .flat_map(|reservation| reservation.tasks_by_worker.keys());
        let reserved_workers: Vec<u32> = workers.copied().collect();
        let mut run_ends: Vec<RunEnd> = Vec::new();
        for worker in reserved_workers {
            let entry = self.workers.get(worker);
            if !self.is_usable(worker, &builder.need) {
                continue;
            }
            builder.add_capacity(worker, entry, entry.allocated, &Resources::ZERO);
            let expected = entry.runs.iter().map(|&(job, index)| {
                let end_ms = self.jobs[job].runs[&index].end_ms;
                (self.expected_end(end_ms), (job, index))
            });
            run_ends.extend(expected.filter(|&(end_ms, _)| end_ms <= until_ms));
        }
        run_ends.sort_unstable();
        let mut last_ms = self.now_ms;
        for (end_ms, (job, index)) in run_ends {
            let run = &self.jobs[job].runs[&index];
            let entry = self.workers.get(run.worker);
            let gains = |builder: &mut PlanBuilder| {
                builder.add_capacity(run.worker, entry, entry.allocated, &run.size) > 0
            };
            if builder.remaining_tasks > 0 && gains(builder) {
                last_ms = end_ms;
            }
        }
        builder.fix_workers();
        last_ms
    }

    /// Adds the rooms that are expected soonest until all tasks fit; returns when they do.
    fn fill(&self, builder: &mut PlanBuilder) -> Option<u64> {
        let need = builder.need;
        if builder.remaining_tasks == 0 {
            return Some(self.now_ms);
        }
        let mut add = |worker: u32, _: &Resources| {
            let entry = self.workers.get(worker);
            if self.is_usable(worker, &need) {
                builder.add_capacity(worker, entry, entry.allocated, &Resources::ZERO);
            }
            if builder.remaining_tasks == 0 {
                Visit::Stop
            } else {
                Visit::Next
            }
        };
        self.workers
            .visit_unreserved(&need, SearchOrder::LeastFree, &mut add);
        self.workers
            .visit_reserved(&need, SearchOrder::LeastFree, &mut add);
        if builder.remaining_tasks == 0 {
            return Some(self.now_ms);
        }
        let overdue = self.runs_by_end.range(..(self.now_ms, (0, 0)));
        let overdue = overdue.map(|&(end_ms, run)| (self.expected_end(end_ms), run));
        let mut overdue: Vec<RunEnd> = overdue.collect();
        overdue.sort_unstable();
        let mut overdue = overdue.into_iter().peekable();
        let mut upcoming = self
            .runs_by_end
            .range((self.now_ms, (0, 0))..)
            .copied()
            .peekable();
        while let Some((end_ms, (job, index))) = next_merged(&mut overdue, &mut upcoming) {
            if end_ms > self.now_ms.saturating_add(MAX_RESERVATION_WAIT_MS) {
                return None;
            }
            let run = &self.jobs[job].runs[&index];
            if self.is_usable(run.worker, &need) {
                let entry = self.workers.get(run.worker);
                builder.add_capacity(run.worker, entry, entry.allocated, &run.size);
            }
            if builder.remaining_tasks == 0 {
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
        let overdue_ms = self.now_ms - end_ms;
        let more_ms = (overdue_ms / 2).max(self.cfg.replan_interval_ms);
        self.now_ms.saturating_add(more_ms)
    }

    /// Where the tasks fit when best-effort batch runs are checkpointed.
    fn plan_with_preemption(&self, need: &Resources, tasks: u32) -> Option<Plan> {
        let mut builder = PlanBuilder::new(*need, tasks);
        self.workers.visit_with_preemption(need, &mut |worker, _| {
            let entry = self.workers.get(worker);
            if self.is_usable(worker, need) {
                builder.add_capacity(worker, entry, entry.non_preemptible(), &Resources::ZERO);
            }
            if builder.remaining_tasks == 0 {
                Visit::Stop
            } else {
                Visit::Next
            }
        });
        builder.into_plan(self.now_ms.saturating_add(EXPECTED_CHECKPOINT_MS))
    }

    /// Whether a task may start on a held worker.
    pub(crate) fn backfill(&self, worker: u32, need: &Resources, end_ms: u64) -> Backfill {
        let Some(reservation) = &self.reservation else {
            return Backfill::Unrestricted;
        };
        if end_ms <= reservation.start_ms {
            return Backfill::Until(reservation.start_ms);
        }
        let worker = self.workers.get(worker);
        let runs = worker.runs.iter();
        let staying_sizes = runs.filter_map(|&(job, index)| {
            let run = &self.jobs[job].runs[&index];
            (run.end_ms > reservation.start_ms).then_some(run.size)
        });
        let staying = staying_sizes.fold(Resources::ZERO, |sum, size| sum + size);
        let reserved_need = reservation
            .need
            .checked_mul(u64::from(worker.reserved_tasks));
        let beside = reserved_need.and_then(|reserved_need| {
            let taken = staying + reserved_need;
            worker.spec.capacity.checked_sub(&taken)
        });
        if beside.is_some_and(|beside| need.fits_in(&beside)) {
            Backfill::Unrestricted
        } else {
            Backfill::Denied
        }
    }

    /// Has backfilled runs checkpointed that should have left a held worker by now.
    pub(crate) fn checkpoint_overruns(&mut self) {
        while let Some(&(backfill_deadline_ms, run)) = self.backfill_deadlines.first()
            && backfill_deadline_ms <= self.now_ms
        {
            self.backfill_deadlines.remove(&(backfill_deadline_ms, run));
            let entry = self.jobs.get(run.0).and_then(|job| job.runs.get(&run.1));
            let overruns = entry.is_some_and(|entry| {
                entry.preemptible
                    && !entry.checkpoint_requested
                    && self.workers.get(entry.worker).reserved_tasks > 0
            });
            if overruns {
                self.request_checkpoint(run);
            }
        }
    }
}
