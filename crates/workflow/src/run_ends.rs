//! Ends of runs: what they say about the task, the step, the job and the worker.
//!
//! An end counts once, for the current run of its task. Ends of runs that an earlier leader started count if they are
//! newer than what is stored. A run that is gone without a report makes its task wait again and is no attempt.

use {
    crate::{
        EndCause, EndedRun, Scheduler, TaskKey,
        job_state::{Placement, is_finished},
        quarantine::StepFailures,
    },
    ragwortreel_model::{JobState, WorkerId},
};

impl Scheduler {
    /// Applies the end of a run that its worker reports.
    pub(crate) fn record_end(&mut self, id: &WorkerId, end: EndedRun) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let EndedRun {
            task,
            run,
            cause,
            checkpoint,
        } = end;
        let was_known = worker
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run);
        let mut progress = None;
        if was_known {
            let mut cause = cause;
            if let Some(removed) = worker.remove_run(&task, &mut self.workspaces) {
                self.freed_milli_cores += removed.need.milli_cores;
                if cause == EndCause::Failed && removed.has_worked(self.now_ms) {
                    // Endless tasks may fail at any time, also many at once.
                    cause = EndCause::Interrupted;
                    if let Some(step) = self
                        .jobs
                        .get_mut(&task.step.job)
                        .and_then(|job| job.step_mut(&task.step))
                    {
                        step.failures = StepFailures::default();
                    }
                }
                progress = Some(removed.progress);
            }
            match cause {
                EndCause::Done => self.record_completion(id, &task.step),
                EndCause::Failed => self.record_failure(id, &task),
                EndCause::Interrupted => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        let is_current_run = match &state.placement {
            Placement::On(worker) => was_known && worker == id,
            // The run was started by an earlier leader.
            Placement::Waiting => run > state.last_run,
            Placement::Done => false,
        };
        if !is_current_run {
            return;
        }
        state.placement = Placement::Waiting;
        state.last_run = state.last_run.max(run);
        self.set_checkpoint(&task, checkpoint);
        if let Some(progress) = progress.filter(|_| cause == EndCause::Done) {
            self.learn_end(id, &task, &progress);
        }
        match cause {
            EndCause::Done => self.task_done(&task),
            EndCause::Failed => self.task_failed(id, &task, run),
            EndCause::Interrupted => self.stop_gang_members(&task),
        }
        self.mark_changed(&task);
        self.mark_started(&task.step.job);
        self.update_waiting_steps(&task.step.job);
    }

    /// Removes a run that is not active and whose end was not reported; its task waits again.
    pub(crate) fn remove_run(&mut self, id: &WorkerId, task: &TaskKey) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(removed) = worker.remove_run(task, &mut self.workspaces) else {
            return;
        };
        self.freed_milli_cores += removed.need.milli_cores;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if state.placement != Placement::On(id.clone()) {
            return;
        }
        state.placement = Placement::Waiting;
        self.mark_changed(task);
        self.stop_gang_members(task);
        self.update_waiting_steps(&task.step.job);
    }

    fn task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.spec(&task.step);
        let (gang, endless) = (spec.gang, spec.endless);
        if endless {
            return;
        }
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        if gang {
            // All members of a gang complete together, so the end of one counts for all.
            step.mark_all_done();
            job.mark_step_changed(&task.step);
        } else {
            step.tasks[task.index as usize].placement = Placement::Done;
            step.done += 1;
        }
        let occurrence = job.occurrences.get(&task.step.occurrence);
        if job.request.schedule.is_some() && occurrence.is_some_and(|steps| is_finished(steps)) {
            job.remove_finished_occurrences();
        }
        self.complete_if_done(&task.step.job);
    }

    fn task_failed(&mut self, id: &WorkerId, task: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let attempts = job.request.policy.attempts;
        let spec = job.spec(&task.step);
        let (gang, endless) = (spec.gang, spec.endless);
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        let state = &mut step.tasks[task.index as usize];
        state.failed_on = Some(id.clone());
        let failures = if gang {
            if step.gang_failed_run < run {
                step.gang_failed_run = run;
                step.gang_failures += 1;
            }
            let failures = step.gang_failures;
            job.mark_changed(&TaskKey {
                step: task.step.clone(),
                index: 0,
            });
            failures
        } else {
            state.failures += 1;
            state.failures
        };
        if !endless && failures >= attempts {
            self.finish_job(&task.step.job, JobState::Failed);
            return;
        }
        self.stop_gang_members(task);
    }

    /// Stops the remaining members of a gang when one of them no longer runs.
    fn stop_gang_members(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec(&task.step);
        if !spec.gang || job.state.is_final() {
            return;
        }
        for (id, member) in job.placed_tasks(&task.step) {
            self.stop_run(&id, &member);
        }
    }
}
