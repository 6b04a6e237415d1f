//! Reservation with backfilling for jobs that do not fit at once.
//!
//! One job of a pool at a time holds a reservation: the one that has been eligible the longest among gangs and single
//! tasks that have waited long, with urgent ones first. The reservation covers the workers on which the job fits
//! soonest by the estimated ends of their runs. Other jobs are backfilled on reserved workers only if they are expected
//! to end before the planned start of the job, or if they fit in addition to it. A job without the reservation occupies
//! nothing while it waits, so no two jobs can wait for each other.

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

/// Maximum number of waiting job classes that are examined to find the next job for the reservation.
const MAX_CLASSES_SEARCHED: usize = 256;
/// A single task that is not first in rank may get the reservation after this many times `reserve_after_ms`.
const LONG_WAIT_FACTOR: u64 = 60;
/// Maximum number of jobs for which a reservation is planned in one call; the others follow after `replan_interval_ms`.
const MAX_PLANS_PER_CALL: usize = 4;
/// Maximum time until an estimated end that a plan waits for, in ms (30 days). It excludes services, whose estimated
/// ends are later.
const MAX_RESERVATION_WAIT_MS: u64 = 2_592_000_000;
/// Delay of the start, compared with the earliest possible plan, that is always accepted to keep reserved workers, in
/// ms.
const MIN_KEEP_SLACK_MS: u64 = 5_000;
/// Expected duration of the checkpoints for an urgent gang, in ms.
const EXPECTED_CHECKPOINT_MS: u64 = 3_000;

/// Workers that are reserved for a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Index of the job.
    pub job: u32,
    /// Submission number of the job, which distinguishes it from a later job at the same index.
    pub sequence: u64,
    /// Resources of one task.
    pub need: Resources,
    /// Estimated time at which all tasks can start, in ms.
    pub start_ms: u64,
    /// Number of tasks for which each worker is reserved.
    pub tasks_by_worker: BTreeMap<u32, u32>,
    /// Whether runs were preempted for the reservation.
    pub preempts: bool,
}

/// Whether a task may start on a reserved worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backfill {
    /// The task would delay the job with the reservation.
    Denied,
    /// The task fits in addition to the reserved tasks and may run for any time.
    Unrestricted,
    /// The task must end by this time in ms.
    Until(u64),
}

/// Start time of a job, and number of tasks for each worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Plan {
    start_ms: u64,
    tasks_by_worker: BTreeMap<u32, u32>,
}

/// Collects free resources of workers until all tasks of a job fit.
struct PlanBuilder {
    need: Resources,
    remaining_tasks: u32,
    /// Resources that stay allocated on a worker, and number of tasks that fit beside them.
    by_worker: BTreeMap<u32, (Resources, u32)>,
    /// Workers to which no more tasks are added.
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

    /// Adds a worker on which `allocated` is in use, or frees `ended` on a worker that was added before. Returns the
    /// number of additional tasks that fit.
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
        let room = worker.free_with(still_allocated);
        let gained = tasks_that_fit(&room, &self.need, u32::MAX).saturating_sub(*tasks);
        let gained = gained.min(self.remaining_tasks);
        *tasks += gained;
        self.remaining_tasks -= gained;
        gained
    }

    /// Fixes the task counts of the workers added so far, and removes those on which no task fits.
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

/// Expected end of a run in ms, and the run.
type RunEnd = (u64, RunKey);

/// Removes and returns the earlier of the first elements of two sorted iterators.
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
    /// Returns whether a job holds the reservation.
    pub(crate) fn holds_reservation(&self, job: u32) -> bool {
        self.reservation
            .as_ref()
            .is_some_and(|reservation| reservation.job == job)
    }

    /// Drops the reservation if its job no longer waits for room.
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

    /// Releases the reservation with all its workers, and unblocks all shapes.
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

    /// Removes a worker from the reservation, which is planned again at the next decision.
    pub(crate) fn unreserve_worker(&mut self, worker: u32) {
        if let Some(reservation) = &mut self.reservation
            && reservation.tasks_by_worker.remove(&worker).is_some()
        {
            self.workers.set_reserved_tasks(worker, 0);
            self.next_plan_ms = 0;
        }
    }

    /// Plans the reservation again, or makes one, if a plan is due. Returns whether the reservation changed, so that
    /// other workers may have room for waiting jobs.
    pub(crate) fn plan_reservation(&mut self) -> bool {
        if self.now_ms < self.next_plan_ms {
            return false;
        }
        if let Some(class) = self.queue.first_blocked_single() {
            self.queue.class_mut(class).passed_over += 1;
        }
        if let Some(job) = self.displacing_job() {
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

    /// Returns the first candidate if it is urgent and the job with the reservation is not.
    fn displacing_job(&self) -> Option<u32> {
        let reservation = self.reservation.as_ref()?;
        if self.jobs[reservation.job].is_urgent() {
            return None;
        }
        let first = *self.reservation_candidates().first()?;
        self.jobs[first].is_urgent().then_some(first)
    }

    /// Returns the jobs that may get the reservation, in order.
    fn reservation_candidates(&self) -> Vec<u32> {
        let min_passed_over = self.cfg.reserve_after_ms / self.cfg.replan_interval_ms.max(1);
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
            let is_eligible = entry.key.gang_tasks > 0
                || entry.passed_over >= min_passed_over
                || self.now_ms.saturating_sub(submit_ms) >= long_wait_ms;
            (may_reserve && is_eligible).then_some(job)
        };
        classes.filter_map(job).take(MAX_PLANS_PER_CALL).collect()
    }

    /// Plans the start of a job and reserves the workers of the plan; returns whether the reservation changed.
    fn reserve_for(&mut self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let need = self.queue.class(job.class).shape.need;
        let tasks = if job.is_gang() { job.queued() } else { 1 };
        let sequence = job.sequence;
        let plan_by_run_ends = self.plan(ix, &need, tasks);
        let soon_ms = self.now_ms.saturating_add(EXPECTED_CHECKPOINT_MS);
        let is_soon = plan_by_run_ends
            .as_ref()
            .is_some_and(|plan| plan.start_ms <= soon_ms);
        let plan_by_preemption = (job.is_urgent() && job.is_gang() && !is_soon)
            .then(|| self.plan_with_preemption(&need, tasks))
            .flatten();
        let preempts = plan_by_preemption.is_some();
        let Some(plan) = plan_by_preemption.or(plan_by_run_ends) else {
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

    /// Plans where and when the tasks fit by the estimated ends of runs.
    ///
    /// Workers that are already reserved are kept unless their runs are expected to end much later than those of other
    /// workers. A plan that always took the earliest workers would release a worker as soon as its runs are overdue.
    /// Long tasks would then fill it, and the runs of the replacement might become overdue as well.
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
        entry.accepts_tasks()
            && entry.health == Health::Healthy
            && need.fits_in(&entry.spec.capacity)
    }

    /// Adds the resources of reserved workers that are expected to be free by `until_ms`; returns the time of the last
    /// one.
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

    /// Adds the resources that are expected to be free soonest until all tasks fit; returns the time at which they do.
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

    /// Returns when a run with the estimated end `end_ms` is expected to end. An overdue run is expected to take
    /// another half of the time by which it is overdue already, but at least `replan_interval_ms`.
    fn expected_end(&self, end_ms: u64) -> u64 {
        if end_ms >= self.now_ms {
            return end_ms;
        }
        let overdue_ms = self.now_ms - end_ms;
        let more_ms = (overdue_ms / 2).max(self.cfg.replan_interval_ms);
        self.now_ms.saturating_add(more_ms)
    }

    /// Plans where the tasks fit if preemptible batch runs are checkpointed.
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

    /// Returns whether a task of size `need` that ends at `end_ms` may start on a reserved worker.
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

    /// Requests checkpoints of preemptible backfilled runs that have passed their deadline on a reserved worker.
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
