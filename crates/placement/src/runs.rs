//! Starts and ends of runs, and what is learned from them.

use {
    crate::{
        Scheduler, WorkerSpec,
        estimate::EstimateKey,
        jobs::Run,
        workers::{RunKey, Trust},
    },
    ragwortreel_model::{Assignment, JobKind, Rack, Resources, TaskResult},
};

/// Longest run time that counts for a turn, in ms; services run without end.
const MAX_TURN_MS: u64 = 600_000;
/// Weight of turns against age: a lane that uses a tenth of its workspace's quota ages as fast as it is served.
const TURN_FACTOR: u64 = 10;

/// Where a task is to run.
#[derive(Debug, Clone, Copy)]
pub struct Pick {
    /// Index of the worker.
    pub worker: u32,
    /// Time by which it must have left the worker, in ms.
    pub leave_by_ms: Option<u64>,
}

impl Scheduler {
    /// Starts the next queued task of a job; the caller brings the job and its workspace up to date.
    pub(crate) fn start_next(&mut self, job: u32, pick: Pick) -> Option<Assignment> {
        let before = self.jobs[job].queued();
        let index = self.jobs[job].take_next()?;
        self.jobs[job].lost = self.jobs[job].lost.saturating_sub(1);
        let attempt = self.jobs[job].next_attempt(index);
        self.count_turn(job);
        let shape = self.queue.lane(self.jobs[job].lane).shape;
        let run = Run {
            attempt,
            worker: pick.worker,
            size: shape.need,
            decided_ms: self.now_ms,
            end_ms: self.now_ms.saturating_add(shape.run_time_ms),
            reclaimable: false,
            stopping: false,
            leave_by_ms: pick.leave_by_ms,
        };
        self.count_queued(job, before);
        self.add_run((job, index), run);
        self.workers.probe(pick.worker);
        Some(self.assignment((job, index)))
    }

    /// Counts a start of a job as a turn of its lane and its workspace.
    ///
    /// A start moves the lane back by the time for which the task would use the whole quota, times `TURN_FACTOR`. A
    /// job of many tasks thus lets later jobs of its workspace in, and still no lane is overtaken for ever.
    fn count_turn(&mut self, job: u32) {
        let lane = self.queue.lane_mut(self.jobs[job].lane);
        lane.passed_over = 0;
        let workspace = self.workspaces.get_mut(lane.key.workspace);
        workspace.last_start_ms = self.now_ms;
        let part_ppm = lane.shape.need.dominant_share_ppm(&workspace.share.quota);
        let run_time_ms = lane.shape.run_time_ms.min(MAX_TURN_MS);
        let turn_ms = run_time_ms.saturating_mul(part_ppm) / 1_000_000 * TURN_FACTOR;
        let from_ms = lane.served_until_ms.max(self.jobs[job].submit_ms);
        lane.served_until_ms = from_ms.saturating_add(turn_ms);
    }

    fn add_run(&mut self, key: RunKey, mut run: Run) {
        let job = &mut self.jobs[key.0];
        let policy = self.policies.of(job.spec.kind);
        run.reclaimable = policy.is_preemptible(job.spec.priority);
        if job.spec.kind == JobKind::Service {
            job.count_rack(&self.workers.get(run.worker).spec.rack, true);
        }
        let workspace = self.queue.lane(job.lane).key.workspace;
        self.workspaces.get_mut(workspace).used += run.size;
        self.workers
            .reserve(run.worker, key, &run.size, run.reclaimable);
        self.ends.insert((run.end_ms, key));
        if let Some(leave_by_ms) = run.leave_by_ms {
            self.leave_by.insert((leave_by_ms, key));
        }
        self.running += 1;
        job.runs.insert(key.1, run);
    }

    /// Counts the service tasks of a worker on its rack, or takes them off.
    pub(crate) fn count_racks(&mut self, worker: u32, add: bool) {
        let entry = self.workers.get(worker);
        for &(job, _) in &entry.runs {
            if self.jobs[job].spec.kind == JobKind::Service {
                self.jobs[job].count_rack(&entry.spec.rack, add);
            }
        }
    }

    /// Removes a run and frees its room.
    fn take_run(&mut self, key: RunKey) -> Option<Run> {
        let job = &mut self.jobs[key.0];
        let run = job.runs.remove(&key.1)?;
        if job.spec.kind == JobKind::Service {
            job.count_rack(&self.workers.get(run.worker).spec.rack, false);
        }
        let workspace = self
            .workspaces
            .get_mut(self.queue.lane(job.lane).key.workspace);
        workspace.used = workspace.used.saturating_sub(&run.size);
        let reclaimable = run.reclaimable && !run.stopping;
        self.workers
            .release(run.worker, key, &run.size, reclaimable);
        self.ends.remove(&(run.end_ms, key));
        if let Some(leave_by_ms) = run.leave_by_ms {
            self.leave_by.remove(&(leave_by_ms, key));
        }
        self.running -= 1;
        Some(run)
    }

    /// Marks a run as being stopped.
    pub(crate) fn mark_stopping(&mut self, key: RunKey) {
        let Some(run) = self.jobs[key.0].runs.get_mut(&key.1) else {
            return;
        };
        if !std::mem::replace(&mut run.stopping, true) && run.reclaimable {
            self.workers.reclaimed(run.worker, &run.size);
        }
    }

    /// Ends a run; its task is done or queued again by the result.
    pub(crate) fn end_run(&mut self, key: RunKey, result: TaskResult) {
        let Some(run) = self.take_run(key) else {
            return;
        };
        let job = &mut self.jobs[key.0];
        let workspace = self.queue.lane(job.lane).key.workspace;
        let before = job.queued();
        if result == TaskResult::Succeeded {
            job.forget_attempts(key.1);
            job.failed_on.pop_first();
            job.back_offs = 0;
        } else if !job.cancelled {
            job.give_back(key.1);
            job.lost += u32::from(result == TaskResult::Lost);
        }
        self.count_queued(key.0, before);
        self.judge(key.0, run.worker, result);
        if result == TaskResult::Succeeded {
            let run_time_ms = self.now_ms.saturating_sub(run.decided_ms);
            let learned = self.estimate_key(key.0);
            if self.estimates.record_run(&learned, run_time_ms) {
                self.refresh_lanes(&learned);
            }
        }
        self.resolve_claim(key);
        self.update_job(key.0);
        self.room_freed(run.worker);
        self.workspace_shrank(workspace);
    }

    /// Draws conclusions about the worker and the job from a result.
    fn judge(&mut self, job: u32, worker: u32, result: TaskResult) {
        let suspects = self.suspect_limit();
        let is_suspect = self.jobs[job].failed_on.len() >= suspects;
        match result {
            TaskResult::Succeeded | TaskResult::Failed => self.workers.start_succeeded(worker),
            TaskResult::NotStarted if !is_suspect => {
                let id = self.jobs[job].spec.id.clone();
                let now_ms = self.now_ms;
                let failed = self.workers.start_failed(worker, &id, now_ms, &self.cfg);
                for id in failed {
                    // The worker is to blame, so its failures do not count against the jobs.
                    if let Some(job) = self.find_job(&id) {
                        self.jobs[job].failed_on.remove(&worker);
                    }
                }
            }
            _ => self.workers.probe_again(worker),
        }
        let failed = matches!(result, TaskResult::Failed | TaskResult::NotStarted);
        if !failed || self.jobs[job].cancelled {
            return;
        }
        self.jobs[job].failures += 1;
        if self.workers.get(worker).trust == Trust::Good {
            self.jobs[job].failed_on.insert(worker);
        }
        if self.jobs[job].failed_on.len() >= suspects {
            self.back_off(job);
        }
    }

    /// Different healthy workers on which a job must fail before it is backed off; a small pool has fewer workers.
    fn suspect_limit(&self) -> usize {
        self.cfg.failure_threshold.min(self.workers.len()).max(1)
    }

    fn back_off(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        if job.back_off_until.is_some() {
            return;
        }
        let until = (self.now_ms).saturating_add(self.cfg.backoff_ms(job.back_offs));
        job.back_offs += 1;
        job.back_off_until = Some(until);
        self.back_offs.insert((until, ix));
    }

    /// Queues the jobs whose back-off is over.
    pub(crate) fn end_back_offs(&mut self) {
        while let Some(&(until, ix)) = self.back_offs.first()
            && until <= self.now_ms
        {
            self.back_offs.remove(&(until, ix));
            self.jobs[ix].back_off_until = None;
            self.jobs[ix].failed_on.clear();
            self.update_job(ix);
        }
    }

    /// Brings the lanes of a workspace and job name up to date with what was learned.
    pub(crate) fn refresh_lanes(&mut self, key: &EstimateKey) {
        let lanes = self.lanes_of.get(key).cloned().unwrap_or_default();
        for lane in lanes {
            self.refresh_estimate(lane);
            self.settle(lane);
        }
    }

    /// Records a run of a previous owner.
    pub(crate) fn apply_restored_run(&mut self, assignment: &Assignment) {
        let Some(job) = self.find_job(&assignment.task.job) else {
            return;
        };
        let index = assignment.task.index;
        let known = self.jobs[job].runs.get(&index);
        if known.is_some_and(|run| run.attempt >= assignment.attempt) {
            return;
        }
        let before = self.jobs[job].queued();
        let was_running = self.take_run((job, index));
        self.jobs[job].take(index);
        self.jobs[job].raise_attempt(index, assignment.attempt);
        self.count_queued(job, before);
        let worker = self.known_worker(assignment);
        let lane = self.queue.lane(self.jobs[job].lane);
        let workspace = lane.key.workspace;
        let run_time_ms = lane.shape.run_time_ms;
        let run = Run {
            attempt: assignment.attempt,
            worker,
            size: assignment.resources,
            decided_ms: self.now_ms,
            end_ms: self.now_ms.saturating_add(run_time_ms),
            reclaimable: false,
            stopping: false,
            leave_by_ms: None,
        };
        self.add_run((job, index), run);
        self.update_job(job);
        self.workspace_grew(workspace);
        if let Some(run) = was_running {
            self.resolve_claim((job, index));
            self.room_freed(run.worker);
            self.workspace_shrank(workspace);
        }
    }

    /// Index of an assignment's worker. A worker that has not been declared yet is added without capacity, and takes
    /// no task until it is declared.
    fn known_worker(&mut self, assignment: &Assignment) -> u32 {
        if let Some(ix) = self.workers.find(&assignment.worker) {
            return ix;
        }
        let rack = Rack::new("unknown").expect("a valid name");
        let (ix, _) = self.workers.upsert(WorkerSpec {
            id: assignment.worker.clone(),
            rack,
            capacity: Resources::ZERO,
        });
        self.sizes_changed = true;
        ix
    }
}
