//! Starts and ends of runs, with the updates of worker health, job backoff and estimates that follow.

use {
    crate::{
        Scheduler, WorkerSpec,
        estimate::EstimateKey,
        jobs::Run,
        workers::{Health, RunKey},
    },
    ragwortreel_model::{Assignment, JobKind, Rack, Resources, TaskResult},
};

/// Maximum run time by which a start advances the virtual time of its job class, in ms. Services run indefinitely, so
/// their estimated run time would advance it too far.
const MAX_CHARGED_RUN_TIME_MS: u64 = 600_000;
/// Factor by which starts advance the virtual time of their job class. With 10, the virtual time of a class that uses a
/// tenth of its workspace's quota advances as fast as the clock.
const CHARGE_FACTOR: u64 = 10;

/// Worker chosen for a task.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Index of the worker.
    pub worker: u32,
    /// Time by which a backfilled run must leave the worker, in ms.
    pub backfill_deadline_ms: Option<u64>,
}

impl Scheduler {
    /// Starts the next queued task of a job. The caller must update the job and its workspace afterwards.
    pub(crate) fn start_next_task(&mut self, job: u32, placement: Placement) -> Option<Assignment> {
        let before = self.jobs[job].queued();
        let index = self.jobs[job].take_next()?;
        self.jobs[job].lost_tasks = self.jobs[job].lost_tasks.saturating_sub(1);
        let attempt = self.jobs[job].next_attempt(index);
        self.charge_start(job);
        let shape = self.queue.class(self.jobs[job].class).shape;
        let run = Run {
            attempt,
            worker: placement.worker,
            size: shape.need,
            decided_ms: self.now_ms,
            end_ms: self.now_ms.saturating_add(shape.run_time_ms),
            preemptible: false,
            checkpoint_requested: false,
            backfill_deadline_ms: placement.backfill_deadline_ms,
        };
        self.count_queued(job, before);
        self.add_run((job, index), run);
        self.workers.start_probe(placement.worker);
        Some(self.assignment((job, index)))
    }

    /// Advances the virtual time of a task's job class for its start, and records it as the last start of the
    /// workspace.
    ///
    /// The charge, by which the virtual time advances, is the estimated run time of the task (at most
    /// `MAX_CHARGED_RUN_TIME_MS`) times the share of the quota that it uses, times `CHARGE_FACTOR`. A job of many tasks
    /// therefore does not block later jobs of the workspace, and no class can be overtaken indefinitely.
    fn charge_start(&mut self, job: u32) {
        let class = self.queue.class_mut(self.jobs[job].class);
        class.passed_over = 0;
        let workspace = self.workspaces.get_mut(class.key.workspace);
        workspace.last_start_ms = self.now_ms;
        let share_ppm = class.shape.need.dominant_share_ppm(&workspace.share.quota);
        let run_time_ms = class.shape.run_time_ms.min(MAX_CHARGED_RUN_TIME_MS);
        let charge_ms = run_time_ms.saturating_mul(share_ppm) / 1_000_000 * CHARGE_FACTOR;
        let from_ms = class.virtual_time_ms.max(self.jobs[job].submit_ms);
        class.virtual_time_ms = from_ms.saturating_add(charge_ms);
    }

    fn add_run(&mut self, key: RunKey, mut run: Run) {
        let job = &mut self.jobs[key.0];
        let policy = self.policies.for_kind(job.spec.kind);
        run.preemptible = policy.is_preemptible(job.spec.priority);
        if job.spec.kind == JobKind::Service {
            job.count_rack(&self.workers.get(run.worker).spec.rack, true);
        }
        let workspace = self.queue.class(job.class).key.workspace;
        self.workspaces.get_mut(workspace).used += run.size;
        self.workers
            .allocate(run.worker, key, &run.size, run.preemptible);
        self.runs_by_end.insert((run.end_ms, key));
        if let Some(backfill_deadline_ms) = run.backfill_deadline_ms {
            self.backfill_deadlines.insert((backfill_deadline_ms, key));
        }
        self.running += 1;
        job.runs.insert(key.1, run);
    }

    /// Adds the service tasks of a worker to the counts of its rack, or subtracts them.
    pub(crate) fn count_racks(&mut self, worker: u32, add: bool) {
        let entry = self.workers.get(worker);
        for &(job, _) in &entry.runs {
            if self.jobs[job].spec.kind == JobKind::Service {
                self.jobs[job].count_rack(&entry.spec.rack, add);
            }
        }
    }

    /// Removes a run and frees its resources.
    fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let job = &mut self.jobs[key.0];
        let run = job.runs.remove(&key.1)?;
        if job.spec.kind == JobKind::Service {
            job.count_rack(&self.workers.get(run.worker).spec.rack, false);
        }
        let workspace = self
            .workspaces
            .get_mut(self.queue.class(job.class).key.workspace);
        workspace.used = workspace.used.saturating_sub(&run.size);
        let preemptible = run.preemptible && !run.checkpoint_requested;
        self.workers
            .release(run.worker, key, &run.size, preemptible);
        self.runs_by_end.remove(&(run.end_ms, key));
        if let Some(backfill_deadline_ms) = run.backfill_deadline_ms {
            self.backfill_deadlines.remove(&(backfill_deadline_ms, key));
        }
        self.running -= 1;
        Some(run)
    }

    /// Marks a run as being checkpointed, so that it is not preempted a second time.
    pub(crate) fn mark_checkpoint_requested(&mut self, key: RunKey) {
        let Some(run) = self.jobs[key.0].runs.get_mut(&key.1) else {
            return;
        };
        if !std::mem::replace(&mut run.checkpoint_requested, true) && run.preemptible {
            self.workers.mark_preempted(run.worker, &run.size);
        }
    }

    /// Ends a run. Its task is finished after a success; otherwise it is queued again unless the job was cancelled.
    pub(crate) fn end_run(&mut self, key: RunKey, result: TaskResult) {
        let Some(run) = self.remove_run(key) else {
            return;
        };
        let job = &mut self.jobs[key.0];
        let workspace = self.queue.class(job.class).key.workspace;
        let before = job.queued();
        if result == TaskResult::Succeeded {
            job.remove_attempts(key.1);
            job.failed_on.pop_first();
            job.backoffs = 0;
        } else if !job.cancelled {
            job.requeue(key.1);
            job.lost_tasks += u32::from(result == TaskResult::Lost);
        }
        self.count_queued(key.0, before);
        self.update_failure_state(key.0, run.worker, result);
        if result == TaskResult::Succeeded {
            let run_time_ms = self.now_ms.saturating_sub(run.decided_ms);
            let estimate_key = self.estimate_key(key.0);
            if self.estimates.record_run(&estimate_key, run_time_ms) {
                self.refresh_classes(&estimate_key);
            }
        }
        self.resolve_preemption(key);
        self.update_job(key.0);
        self.mark_freed(run.worker);
        self.workspace_usage_shrank(workspace);
    }

    /// Updates the worker's health and the job's failure counts from the result of a run.
    fn update_failure_state(&mut self, job: u32, worker: u32, result: TaskResult) {
        let failed_worker_limit = self.failed_worker_limit();
        let is_job_faulty = self.jobs[job].failed_on.len() >= failed_worker_limit;
        match result {
            TaskResult::Succeeded | TaskResult::Failed => self.workers.start_succeeded(worker),
            TaskResult::NotStarted if !is_job_faulty => {
                let id = self.jobs[job].spec.id.clone();
                let now_ms = self.now_ms;
                let failed = self.workers.start_failed(worker, &id, now_ms, &self.cfg);
                for id in failed {
                    // The worker caused these failures, so they do not count against the jobs.
                    if let Some(job) = self.find_job(&id) {
                        self.jobs[job].failed_on.remove(&worker);
                    }
                }
            }
            _ => self.workers.retry_probe(worker),
        }
        let failed = matches!(result, TaskResult::Failed | TaskResult::NotStarted);
        if !failed || self.jobs[job].cancelled {
            return;
        }
        self.jobs[job].failures += 1;
        if self.workers.get(worker).health == Health::Healthy {
            self.jobs[job].failed_on.insert(worker);
        }
        if self.jobs[job].failed_on.len() >= failed_worker_limit {
            self.back_off_job(job);
        }
    }

    /// Returns the number of different healthy workers on which a job must fail before it is backed off: the configured
    /// threshold, or all workers of a smaller pool.
    fn failed_worker_limit(&self) -> usize {
        self.cfg.failure_threshold.min(self.workers.len()).max(1)
    }

    fn back_off_job(&mut self, ix: u32) {
        let job = &mut self.jobs[ix];
        if job.backoff_until_ms.is_some() {
            return;
        }
        let until_ms = (self.now_ms).saturating_add(self.cfg.backoff_ms(job.backoffs));
        job.backoffs += 1;
        job.backoff_until_ms = Some(until_ms);
        self.backoffs.insert((until_ms, ix));
    }

    /// Queues the jobs whose backoff has ended.
    pub(crate) fn end_backoffs(&mut self) {
        while let Some(&(until_ms, ix)) = self.backoffs.first()
            && until_ms <= self.now_ms
        {
            self.backoffs.remove(&(until_ms, ix));
            self.jobs[ix].backoff_until_ms = None;
            self.jobs[ix].failed_on.clear();
            self.update_job(ix);
        }
    }

    /// Updates the job classes of a workspace and job name after a change of their estimates.
    pub(crate) fn refresh_classes(&mut self, key: &EstimateKey) {
        let classes = self
            .classes_by_estimate
            .get(key)
            .cloned()
            .unwrap_or_default();
        for class in classes {
            self.refresh_estimate(class);
            self.update_class(class);
        }
    }

    /// Adds a run that a previous owner of the pool started.
    pub(crate) fn apply_restored_run(&mut self, assignment: &Assignment) {
        let Some(job) = self.find_job(&assignment.task.job) else {
            return;
        };
        let index = assignment.task.index;
        let current = self.jobs[job].runs.get(&index);
        if current.is_some_and(|run| run.attempt >= assignment.attempt) {
            return;
        }
        let before = self.jobs[job].queued();
        let replaced_run = self.remove_run((job, index));
        self.jobs[job].take_task(index);
        self.jobs[job].raise_attempt(index, assignment.attempt);
        self.count_queued(job, before);
        let worker = self.find_or_add_worker(assignment);
        let class = self.queue.class(self.jobs[job].class);
        let workspace = class.key.workspace;
        let run_time_ms = class.shape.run_time_ms;
        let run = Run {
            attempt: assignment.attempt,
            worker,
            size: assignment.resources,
            decided_ms: self.now_ms,
            end_ms: self.now_ms.saturating_add(run_time_ms),
            preemptible: false,
            checkpoint_requested: false,
            backfill_deadline_ms: None,
        };
        self.add_run((job, index), run);
        self.update_job(job);
        self.update_waiting_classes(workspace);
        if let Some(run) = replaced_run {
            self.resolve_preemption((job, index));
            self.mark_freed(run.worker);
            self.workspace_usage_shrank(workspace);
        }
    }

    /// Returns the index of an assignment's worker. An unknown worker is added without capacity, so that it accepts no
    /// task until the owner declares it.
    fn find_or_add_worker(&mut self, assignment: &Assignment) -> u32 {
        if let Some(ix) = self.workers.find(&assignment.worker) {
            return ix;
        }
        let rack = Rack::new("unknown").expect("a valid name");
        let (ix, _) = self.workers.upsert(WorkerSpec {
            id: assignment.worker.clone(),
            rack,
            capacity: Resources::ZERO,
        });
        self.worker_sizes_changed = true;
        ix
    }
}
