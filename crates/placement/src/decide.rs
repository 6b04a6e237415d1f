//! Decision making: which waiting jobs start on which workers.

use {
    crate::{
        Decision, Scheduler,
        capacity::{SearchOrder, Visit},
        policy::Candidate,
        reservation::Backfill,
        runs::Placement,
        workers::{Health, tasks_that_fit},
    },
    ragwortreel_model::{Assignment, JobKind, Resources},
};

/// Maximum number of searches in one pass over the queue, which bounds its duration when nothing fits. The next call of
/// `decide` continues.
const MAX_SEARCHES_PER_CALL: usize = 4_096;
/// Additional cost of a worker on which the job failed before; exceeds every cost of a policy.
const FAILED_BEFORE_COST: u64 = 1 << 56;

impl Scheduler {
    /// Updates everything that depends on time, then makes at most `limit` decisions.
    pub(crate) fn take_decisions(&mut self, limit: usize) -> Vec<Decision> {
        self.apply_capacity_changes();
        for worker in self.workers.end_quarantines(self.now_ms) {
            self.mark_freed(worker);
        }
        self.end_backoffs();
        self.checkpoint_partial_gangs();
        self.checkpoint_overruns();
        self.check_reservation();
        let mut out = Vec::new();
        self.place_waiting_jobs(&mut out, limit);
        if self.plan_reservation() {
            self.place_waiting_jobs(&mut out, limit);
        }
        self.emit_checkpoints(&mut out, limit);
        out
    }

    fn place_waiting_jobs(&mut self, out: &mut Vec<Decision>, limit: usize) {
        self.emit_checkpoints(out, limit);
        let mut reserved_job_tried = false;
        for _ in 0..MAX_SEARCHES_PER_CALL {
            if out.len() >= limit {
                return;
            }
            self.unblock_for_freed();
            let next = self.queue.first();
            let is_urgent = next.is_some_and(|class| self.queue.class(class).shape.urgent);
            if !reserved_job_tried && !is_urgent {
                reserved_job_tried = true;
                out.extend(self.start_reserved_job());
                continue;
            }
            let Some(class) = next else {
                return;
            };
            let Some(&(_, _, job)) = self.queue.class(class).jobs.first() else {
                return;
            };
            if let Some(decision) = self.start_job(job) {
                out.push(decision);
            } else if self.preempt_for_class(class) {
                self.emit_checkpoints(out, limit);
            } else {
                self.searched_shapes.extend(self.queue.block(class));
                // Plan the reservation of a gang at once, before jobs later in rank take the room.
                if self.queue.class(class).key.gang_tasks > 0 && self.reservation.is_none() {
                    self.next_plan_ms = self.retry_plan_ms;
                    reserved_job_tried &= !self.plan_reservation();
                }
            }
        }
    }

    /// Starts the job with the reservation if all of its room is free. Unlike the other classes of its shape it may use
    /// the reserved workers, so it is tried even while the shape is blocked.
    fn start_reserved_job(&mut self) -> Option<Decision> {
        self.check_reservation();
        let job = self.reservation.as_ref()?.job;
        self.start_job(job)
    }

    /// Starts the next task of a job, or all queued tasks of a gang, if there is room.
    fn start_job(&mut self, ix: u32) -> Option<Decision> {
        let is_gang = self.jobs[ix].spec.kind == JobKind::Gang;
        let decision = if is_gang {
            let placements = self.choose_gang_workers(ix)?;
            let starts = placements
                .into_iter()
                .map(|placement| self.start_next_task(ix, placement));
            Decision::StartGang(starts.collect::<Option<Vec<Assignment>>>()?)
        } else {
            let placement = self.choose_worker(ix)?;
            Decision::Start(self.start_next_task(ix, placement)?)
        };
        if self.holds_reservation(ix) {
            self.drop_reservation();
        }
        self.update_job(ix);
        let workspace = self.queue.class(self.jobs[ix].class).key.workspace;
        self.update_waiting_classes(workspace);
        Some(decision)
    }

    /// Chooses a worker for one task: the cheapest unreserved one, or a reserved one if none fits or the job failed on
    /// all candidates.
    fn choose_worker(&self, ix: u32) -> Option<Placement> {
        let job = &self.jobs[ix];
        let shape = self.queue.class(job.class).shape;
        let policy = self.policies.for_kind(job.spec.kind);
        let next = match policy.search_order() {
            SearchOrder::LeastFree => Visit::NextBucket,
            SearchOrder::MostFree => Visit::Next,
        };
        let mut remaining = policy.max_candidates();
        let mut best: Option<(u64, Placement)> = None;
        let mut consider = |worker: u32, free: &Resources, backfill_deadline_ms: Option<u64>| {
            let entry = self.workers.get(worker);
            let mut cost = policy.cost(&Candidate {
                free_after: free.saturating_sub(&shape.need),
                capacity: entry.spec.capacity,
                same_job_in_rack: job
                    .tasks_by_rack
                    .get(&entry.spec.rack)
                    .copied()
                    .unwrap_or(0),
            });
            let failed_before = job.failed_on.contains(&worker);
            if failed_before {
                cost += FAILED_BEFORE_COST;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                let placement = Placement {
                    worker,
                    backfill_deadline_ms,
                };
                best = Some((cost, placement));
            }
            remaining -= 1;
            match remaining {
                0 => Visit::Stop,
                // Workers of a bucket cost about the same, except those on which the job failed, so that another one of
                // this bucket may be cheaper.
                _ if failed_before => Visit::Next,
                _ => next,
            }
        };
        self.workers
            .visit_unreserved(&shape.need, policy.search_order(), &mut |worker, free| {
                consider(worker, free, None)
            });
        if let Some((cost, placement)) = best
            && cost < FAILED_BEFORE_COST
        {
            return Some(placement);
        }
        let may_use_reserved = job.is_urgent() || self.holds_reservation(ix);
        let end_ms = self.now_ms.saturating_add(shape.run_time_ms);
        let mut remaining = policy.max_candidates();
        let mut consider = |worker: u32, _: &Resources| {
            let allowed = if may_use_reserved {
                Backfill::Unrestricted
            } else {
                self.backfill(worker, &shape.need, end_ms)
            };
            if allowed != Backfill::Denied {
                let cost = if job.failed_on.contains(&worker) {
                    FAILED_BEFORE_COST
                } else {
                    0
                };
                let backfill_deadline_ms = match allowed {
                    Backfill::Until(backfill_deadline_ms) => Some(backfill_deadline_ms),
                    Backfill::Unrestricted | Backfill::Denied => None,
                };
                let placement = Placement {
                    worker,
                    backfill_deadline_ms,
                };
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, placement));
                }
            }
            remaining -= 1;
            if remaining == 0 || best.is_some_and(|(least, _)| least == 0) {
                Visit::Stop
            } else {
                Visit::Next
            }
        };
        self.workers
            .visit_reserved(&shape.need, policy.search_order(), &mut consider);
        best.map(|(_, placement)| placement)
    }

    /// Chooses workers for all queued tasks of a gang; returns `None` unless all fit.
    fn choose_gang_workers(&self, ix: u32) -> Option<Vec<Placement>> {
        let job = &self.jobs[ix];
        let shape = self.queue.class(job.class).shape;
        let tasks = job.queued();
        let total_need = shape.need.checked_mul(u64::from(tasks))?;
        if !total_need.fits_in(&self.workers.free()) {
            return None;
        }
        let order = self.policies.for_kind(JobKind::Gang).search_order();
        let mut placements = Vec::with_capacity(tasks as usize);
        let mut collect = |worker: u32, free: &Resources, backfill_deadline_ms: Option<u64>| {
            // A worker on probation accepts one task, and a gang must not depend on it.
            if self.workers.get(worker).health != Health::Healthy {
                return Visit::Next;
            }
            let remaining = tasks - u32::try_from(placements.len()).unwrap_or(tasks);
            for _ in 0..tasks_that_fit(free, &shape.need, remaining) {
                placements.push(Placement {
                    worker,
                    backfill_deadline_ms,
                });
            }
            if placements.len() < tasks as usize {
                Visit::Next
            } else {
                Visit::Stop
            }
        };
        let end_ms = self.now_ms.saturating_add(shape.run_time_ms);
        let reservation_start_ms = self
            .reservation
            .as_ref()
            .map(|reservation| reservation.start_ms);
        let may_use_reserved = self.holds_reservation(ix) || job.is_urgent();
        if may_use_reserved || reservation_start_ms.is_some_and(|start_ms| end_ms <= start_ms) {
            let backfill_deadline_ms = reservation_start_ms.filter(|_| !may_use_reserved);
            self.workers
                .visit_reserved(&shape.need, order, &mut |worker, free| {
                    collect(worker, free, backfill_deadline_ms)
                });
        }
        self.workers
            .visit_unreserved(&shape.need, order, &mut |worker, free| {
                collect(worker, free, None)
            });
        (placements.len() == tasks as usize).then_some(placements)
    }
}
