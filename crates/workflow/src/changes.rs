//! Changes of jobs that the driver stores.

use {
    crate::{JobChange, Scheduler, TaskKey, segments::is_storable},
    ragwortreel_model::{JobId, JobState},
    std::{mem, sync::Arc},
};

impl Scheduler {
    /// Returns and clears the changes that are not stored yet.
    pub fn take_changes(&mut self) -> Vec<JobChange> {
        let changed = mem::take(&mut self.changed_jobs);
        (changed.into_iter())
            .filter_map(|id| {
                let job = self.jobs.get_mut(&id)?;
                let (progress, segments) = job.take_stored_progress();
                Some(JobChange {
                    queue: Arc::clone(&job.request.policy.name),
                    priority: job.request.policy.priority,
                    age_ms: self.now_ms.saturating_sub(job.accepted_ms),
                    state: job.state,
                    workspace: job.request.workspace.clone(),
                    progress,
                    segments,
                    job: id,
                })
            })
            .collect()
    }

    /// Marks the progress of a task for storing.
    pub(crate) fn mark_changed(&mut self, task: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.mark_changed(task);
        }
        self.changed_jobs.insert(task.step.job.clone());
    }

    /// Fails a job whose progress the store refuses for good: a new leader could not
    /// distinguish its runs from new ones.
    pub fn fail_unstorable(&mut self, job: &JobId, now_ms: u64) {
        self.now_ms = now_ms;
        self.finish_job(job, JobState::Failed);
    }

    /// Records the latest checkpoint of a task; one that is too long to be stored is left out.
    pub(crate) fn set_checkpoint(&mut self, task: &TaskKey, checkpoint: Arc<str>) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if checkpoint.is_empty() {
            return;
        }
        if !is_storable(&checkpoint) {
            // The task keeps its last stored checkpoint.
            if !mem::replace(&mut job.stored_form.has_long_checkpoint, true) {
                self.jobs_with_long_checkpoints.push(task.step.job.clone());
            }
            return;
        }
        if let Some(state) = job.task_mut(task) {
            state.checkpoint = checkpoint;
        }
    }

    /// Returns and clears the jobs whose checkpoints are too long to be stored; each is returned once.
    pub fn take_jobs_with_long_checkpoints(&mut self) -> Vec<JobId> {
        mem::take(&mut self.jobs_with_long_checkpoints)
    }
}
