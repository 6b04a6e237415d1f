//! Decisions: which waiting work starts where.

use {
    crate::{
        Decision, Scheduler,
        capacity::{SearchOrder, Visit},
        gather::Backfill,
        policy::Candidate,
        runs::Pick,
        workers::{Trust, slots},
    },
    ragwortreel_model::{Assignment, JobKind, Resources},
};

/// Searches in one call of `decide`; bounds its duration when nothing fits. The rest is searched by the next call.
const MAX_SEARCHES: usize = 4_096;
/// Cost of a worker on which the job failed before; outweighs every cost of a policy.
const FAILED_BEFORE_COST: u64 = 1 << 56;

impl Scheduler {
    /// Takes up to `limit` decisions.
    pub(crate) fn take_decisions(&mut self, limit: usize) -> Vec<Decision> {
        self.apply_size_changes();
        for worker in self.workers.end_quarantines(self.now_ms) {
            self.room_freed(worker);
        }
        self.end_back_offs();
        self.stop_partial_gangs();
        self.stop_overruns();
        self.check_reservation();
        let mut out = Vec::new();
        self.place_waiting(&mut out, limit);
        if self.plan_reservation() {
            self.place_waiting(&mut out, limit);
        }
        self.flush_stops(&mut out, limit);
        out
    }

    fn place_waiting(&mut self, out: &mut Vec<Decision>, limit: usize) {
        self.flush_stops(out, limit);
        let mut gathering_tried = false;
        for _ in 0..MAX_SEARCHES {
            if out.len() >= limit {
                return;
            }
            self.open_for_freed();
            let next = self.queue.first();
            let is_urgent = next.is_some_and(|lane| self.queue.lane(lane).shape.urgent);
            if !gathering_tried && !is_urgent {
                gathering_tried = true;
                out.extend(self.start_gathering());
                continue;
            }
            let Some(lane) = next else {
                return;
            };
            let Some(&(_, _, job)) = self.queue.lane(lane).jobs.first() else {
                return;
            };
            if let Some(decision) = self.start_job(job) {
                out.push(decision);
            } else if self.make_room(lane) {
                self.flush_stops(out, limit);
            } else {
                self.tried.extend(self.queue.close(lane));
                // Later work must not take the room that a gang could gather.
                if self.queue.lane(lane).key.gang_tasks > 0 && self.reservation.is_none() {
                    self.next_plan_ms = self.retry_plan_ms;
                    gathering_tried &= !self.plan_reservation();
                }
            }
        }
    }

    /// Starts the job for which room is gathered, if all of its room is there. It may use held workers, which the other
    /// lanes of its shape may not, so it is tried even while the shape is closed.
    fn start_gathering(&mut self) -> Option<Decision> {
        self.check_reservation();
        let job = self.reservation.as_ref()?.job;
        self.start_job(job)
    }

    /// Starts the next task of a job, or all tasks of a gang, if there is room.
    fn start_job(&mut self, ix: u32) -> Option<Decision> {
        let is_gang = self.jobs[ix].spec.kind == JobKind::Gang;
        let decision = if is_gang {
            let picks = self.pick_gang(ix)?;
            let starts = picks.into_iter().map(|pick| self.start_next(ix, pick));
            Decision::StartGang(starts.collect::<Option<Vec<Assignment>>>()?)
        } else {
            let pick = self.pick(ix)?;
            Decision::Start(self.start_next(ix, pick)?)
        };
        if self.is_gathering(ix) {
            self.drop_reservation();
        }
        self.update_job(ix);
        let workspace = self.queue.lane(self.jobs[ix].lane).key.workspace;
        self.workspace_grew(workspace);
        Some(decision)
    }

    /// Chooses a worker for one task.
    fn pick(&self, ix: u32) -> Option<Pick> {
        let job = &self.jobs[ix];
        let shape = self.queue.lane(job.lane).shape;
        let policy = self.policies.of(job.spec.kind);
        let next = match policy.search_order() {
            SearchOrder::LeastFree => Visit::NextCell,
            SearchOrder::MostFree => Visit::Next,
        };
        let mut left = policy.max_candidates();
        let mut best: Option<(u64, Pick)> = None;
        let mut consider = |worker: u32, free: &Resources, leave_by_ms: Option<u64>| {
            let entry = self.workers.get(worker);
            let mut cost = policy.cost(&Candidate {
                free_after: free.saturating_sub(&shape.need),
                capacity: entry.spec.capacity,
                same_job_in_rack: job.racks.get(&entry.spec.rack).copied().unwrap_or(0),
            });
            let failed_before = job.failed_on.contains(&worker);
            if failed_before {
                cost += FAILED_BEFORE_COST;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                let pick = Pick {
                    worker,
                    leave_by_ms,
                };
                best = Some((cost, pick));
            }
            left -= 1;
            match left {
                0 => Visit::Stop,
                // Workers of a cell are alike, but another one may not have failed the job.
                _ if failed_before => Visit::Next,
                _ => next,
            }
        };
        self.workers
            .visit_open(&shape.need, policy.search_order(), &mut |worker, free| {
                consider(worker, free, None)
            });
        if let Some((cost, pick)) = best
            && cost < FAILED_BEFORE_COST
        {
            return Some(pick);
        }
        let may_displace = job.is_urgent() || self.is_gathering(ix);
        let end_ms = self.now_ms.saturating_add(shape.run_time_ms);
        let mut left = policy.max_candidates();
        let mut consider = |worker: u32, _: &Resources| {
            let allowed = if may_displace {
                Backfill::Beside
            } else {
                self.backfill(worker, &shape.need, end_ms)
            };
            if allowed != Backfill::Refused {
                let cost = if job.failed_on.contains(&worker) {
                    FAILED_BEFORE_COST
                } else {
                    0
                };
                let leave_by_ms = match allowed {
                    Backfill::LeaveBy(leave_by_ms) => Some(leave_by_ms),
                    Backfill::Beside | Backfill::Refused => None,
                };
                let pick = Pick {
                    worker,
                    leave_by_ms,
                };
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, pick));
                }
            }
            left -= 1;
            if left == 0 || best.is_some_and(|(least, _)| least == 0) {
                Visit::Stop
            } else {
                Visit::Next
            }
        };
        self.workers
            .visit_held(&shape.need, policy.search_order(), &mut consider);
        best.map(|(_, pick)| pick)
    }

    /// Chooses workers for all queued tasks of a gang, or none.
    fn pick_gang(&self, ix: u32) -> Option<Vec<Pick>> {
        let job = &self.jobs[ix];
        let shape = self.queue.lane(job.lane).shape;
        let tasks = job.queued();
        let whole = shape.need.checked_mul(u64::from(tasks))?;
        if !whole.fits_in(&self.workers.free()) {
            return None;
        }
        let order = self.policies.of(JobKind::Gang).search_order();
        let mut picks = Vec::with_capacity(tasks as usize);
        let mut collect = |worker: u32, free: &Resources, leave_by_ms: Option<u64>| {
            // A worker on probation takes one task, and a gang must not depend on it.
            if self.workers.get(worker).trust != Trust::Good {
                return Visit::Next;
            }
            let left = tasks - u32::try_from(picks.len()).unwrap_or(tasks);
            for _ in 0..slots(free, &shape.need, left) {
                picks.push(Pick {
                    worker,
                    leave_by_ms,
                });
            }
            if picks.len() < tasks as usize {
                Visit::Next
            } else {
                Visit::Stop
            }
        };
        let end_ms = self.now_ms.saturating_add(shape.run_time_ms);
        let reserved_at = self.reservation.as_ref().map(|held| held.at_ms);
        let may_displace = self.is_gathering(ix) || job.is_urgent();
        if may_displace || reserved_at.is_some_and(|at_ms| end_ms <= at_ms) {
            let leave_by_ms = reserved_at.filter(|_| !may_displace);
            self.workers
                .visit_held(&shape.need, order, &mut |worker, free| {
                    collect(worker, free, leave_by_ms)
                });
        }
        self.workers
            .visit_open(&shape.need, order, &mut |worker, free| {
                collect(worker, free, None)
            });
        (picks.len() == tasks as usize).then_some(picks)
    }
}
