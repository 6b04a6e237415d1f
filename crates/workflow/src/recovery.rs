//! Runs that an earlier leader started, restored from the stored state of their jobs.
//!
//! They count as used until the first heartbeat of their worker, or the end of its lease, shows whether they are active.
//! The final state of a cancelled or failed job lists the runs that were not proven gone when it was stored. Without them
//! a new leader would not know about these runs until their workers report them, and would start other tasks of the
//! workspace beyond its limit.

use {
    crate::{
        JobRequest, Progress, Scheduler, StepKey, TaskKey, WorkerSpec,
        job_state::Job,
        stalls::RunProgress,
        worker::{Run, RunPhase, Worker},
    },
    ragwortreel_model::{JobId, Resources, WorkerId},
    std::{collections::BTreeSet, sync::Arc},
};

impl Scheduler {
    /// Adds a worker that the platform does not list but that may run tasks of an earlier leader; it gets no new tasks.
    pub fn add_unlisted(&mut self, id: &WorkerId) {
        if self.workers.contains_key(id) {
            return;
        }
        let spec = WorkerSpec {
            id: id.clone(),
            service: Arc::from(""),
            capacity: Resources::ZERO,
            rack: None,
            labels: BTreeSet::new(),
            draining: true,
            leaves_in_ms: None,
            incarnation: None,
        };
        let mut worker = Worker::new(spec);
        worker.listed = false;
        worker.lease_until_ms = self.now_ms + self.lease_bound_ms;
        self.insert_worker(worker);
    }

    /// Sets the time by which all leases of former leaders have certainly expired on a worker; without effect once it has
    /// answered.
    pub fn set_unreached_lease(&mut self, worker: &WorkerId, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(worker)
            && !worker.has_answered
        {
            worker.lease_until_ms = until_ms;
        }
    }

    /// Counts the runs of a finished job that may still be active, from its final stored state, as used. They are
    /// stopped when their workers report them.
    pub fn restore_finished(&mut self, request: &JobRequest, progress: &Progress, now_ms: u64) {
        self.now_ms = now_ms;
        for step in &progress.steps {
            let Some(spec) = request.steps.get(step.step as usize) else {
                continue;
            };
            let key = StepKey {
                job: request.id.clone(),
                occurrence: step.occurrence,
                step: step.step,
            };
            for placed in &step.placed {
                for &index in &placed.tasks {
                    let task = TaskKey {
                        step: key.clone(),
                        index,
                    };
                    let run = Run {
                        number: placed.run,
                        need: spec.need,
                        workspace: request.workspace.clone(),
                        phase: RunPhase::Finished(now_ms),
                        progress: RunProgress::new(spec, false, now_ms),
                        backfill: None,
                    };
                    self.add_restored_run(&placed.worker, task, run);
                }
            }
        }
    }

    /// Finished jobs that are removed but of which runs may still be active.
    #[must_use]
    pub fn removed_jobs_with_runs(&self) -> BTreeSet<JobId> {
        let runs = (self.workers.values()).flat_map(|worker| worker.runs.keys());
        let jobs = runs.map(|task| &task.step.job);
        let removed = jobs.filter(|job| !self.jobs.contains_key(*job));
        removed.cloned().collect()
    }

    /// Counts the resources of a run of an earlier leader as used; the worker's next heartbeat shows whether the run is
    /// active.
    pub(crate) fn restore_run(&mut self, id: &WorkerId, task: TaskKey, job: &mut Job) {
        let spec = job.spec(&task.step);
        let (need, progress) = (spec.need, RunProgress::new(spec, false, self.now_ms));
        let workspace = job.request.workspace.clone();
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        let run = Run {
            number: state.last_run,
            need,
            workspace,
            phase: RunPhase::Confirmed(self.now_ms),
            progress,
            backfill: None,
        };
        self.add_restored_run(id, task, run);
    }

    fn add_restored_run(&mut self, id: &WorkerId, task: TaskKey, run: Run) {
        self.add_unlisted(id);
        let until_ms = self.now_ms + self.lease_bound_ms;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(task, run, &mut self.workspaces);
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
    }
}
