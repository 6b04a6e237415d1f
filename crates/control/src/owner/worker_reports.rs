//! Handles worker reports and the outcomes of starts.

use {
    crate::{
        events::ORPHAN_STOPPED,
        metrics::PlacementSample,
        owner::{
            WorkerReport,
            pool::{Job, PoolOwner, RunPhase},
            worker_link::{RunCommand, StartOutcome},
            workers::Worker,
        },
        rows::RunKey,
        shared::Shared,
    },
    ragwortreel_model::{Assignment, Attempt, JobId, JobKind, TaskId, TaskResult, WorkerId},
    ragwortreel_runtime::log_event,
    ragwortreel_worker::{ReportedTask, TaskPhase, TaskTable},
    std::{collections::BTreeMap, sync::Arc},
};

/// Consecutive reports over the reservation after which a run of a batch or gang job is checkpointed; every run is
/// throttled after the first such report.
const CHECKPOINT_AFTER_REPORTS: u32 = 5;

impl PoolOwner {
    pub fn handle_worker_report(&mut self, report: &WorkerReport) {
        let id = report.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.reported_ms = Some(report.received_ms);
        let restarted = worker.incarnation != 0 && worker.incarnation != report.incarnation;
        worker.incarnation = report.incarnation;
        self.compare_runs(&id, &report.tasks, report.clock_ms, restarted);
        let has_orphans = self.stop_orphans(&id, &report.tasks);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.has_orphans = has_orphans;
        }
        self.update_worker_state(&id);
    }

    /// Compares the runs assigned to the worker with its report.
    fn compare_runs(
        &mut self,
        worker: &WorkerId,
        reported: &TaskTable,
        clock_ms: u64,
        restarted: bool,
    ) {
        let assigned: Vec<TaskId> = (self.runs.iter())
            .filter(|(_, run)| run.worker == *worker)
            .map(|(id, _)| id.clone())
            .collect();
        for id in assigned {
            let Some(run) = self.runs.get(&id) else {
                continue;
            };
            match reported.get(&(id.clone(), run.attempt)) {
                Some(ReportedTask {
                    phase: TaskPhase::Ended { result },
                    ..
                }) => {
                    self.finish_run(&id, *result);
                }
                Some(found) => self.handle_reported_run(&id, found),
                None => self.handle_absent_run(&id, clock_ms, restarted),
            }
        }
    }

    fn handle_reported_run(&mut self, id: &TaskId, found: &ReportedTask) {
        let now_ms = self.shared.now_ms();
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let (worker, key) = (run.worker.clone(), (id.clone(), run.attempt));
        if run.phase != RunPhase::Running {
            run.phase = RunPhase::Running;
            report_placement(&self.shared, &self.jobs, (id, key.1), now_ms);
            self.scheduler.record_start(id, key.1, now_ms);
        }
        let is_over = !found.used.fits_in(&run.resources);
        run.reports_over_reservation = if is_over {
            run.reports_over_reservation + 1
        } else {
            0
        };
        let (reports_over_reservation, stopping) = (run.reports_over_reservation, run.stopping);
        self.scheduler.record_usage(id, key.1, found.used);
        let is_service =
            (self.jobs.get(&id.job)).is_some_and(|job| job.spec.kind == JobKind::Service);
        if stopping {
            self.command(&worker, key, RunCommand::Stop);
        } else if reports_over_reservation == 1 {
            self.command(&worker, key, RunCommand::Throttle);
        } else if reports_over_reservation >= CHECKPOINT_AFTER_REPORTS && !is_service {
            self.command(&worker, key, RunCommand::Checkpoint);
        }
    }

    /// Handles a run that the worker does not report under this epoch.
    fn handle_absent_run(&mut self, id: &TaskId, clock_ms: u64, restarted: bool) {
        let lease_ms = self.shared.cfg.timings.task_lease_ms;
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        match run.phase {
            // The start had not been sent when the worker reported.
            RunPhase::Journaling | RunPhase::Dispatched => {}
            RunPhase::Running | RunPhase::Restored => self.finish_run(id, TaskResult::Lost),
            RunPhase::Unanswered { .. } if restarted => {
                // The worker's clock restarted, so the time in which the start may still take effect counts from this
                // report.
                run.phase = RunPhase::Unanswered { echo_ms: clock_ms };
            }
            RunPhase::Unanswered { echo_ms } if clock_ms > echo_ms + lease_ms => {
                self.finish_run(id, TaskResult::NotStarted);
            }
            RunPhase::Unanswered { .. } => self.repeat_start(id),
        }
    }

    /// Repeats a start that got no reply; the worker accepts a repeated run only once.
    fn repeat_start(&self, id: &TaskId) {
        let (Some(run), Some(job)) = (self.runs.get(id), self.jobs.get(&id.job)) else {
            return;
        };
        let link = self.workers.get(&run.worker).and_then(Worker::link);
        if let Some(link) = link.filter(|_| !run.stopping) {
            let assignment = Assignment {
                task: id.clone(),
                attempt: run.attempt,
                worker: run.worker.clone(),
                resources: run.resources,
            };
            link.withdraw_start(&(id.clone(), run.attempt));
            link.queue_start(assignment, Arc::clone(&job.spec.payload));
        }
    }

    /// Stops reported runs that are not in the journal or belong to cancelled jobs; returns whether there are any.
    fn stop_orphans(&mut self, worker: &WorkerId, reported: &TaskTable) -> bool {
        let mut found = false;
        for (key, task) in reported {
            let known = (self.runs.get(&key.0))
                .is_some_and(|run| run.attempt == key.1 && run.worker == *worker);
            if known || self.unflushed_ends.contains(key) {
                continue;
            }
            let Some(link) = self.workers.get(worker).and_then(Worker::link) else {
                return found;
            };
            if matches!(task.phase, TaskPhase::Ended { .. }) {
                link.acknowledge(key.clone());
                continue;
            }
            found = true;
            self.shared.counters.orphans.add(1);
            log_event!(self.shared.log, ORPHAN_STOPPED; "worker" => worker.as_str(),
                "task" => key.0.to_string(), "attempt" => key.1.0);
            link.queue_command(key.clone(), RunCommand::Stop);
        }
        found
    }

    pub fn handle_start_outcome(
        &mut self,
        worker: &WorkerId,
        runs: &[RunKey],
        outcome: &StartOutcome,
    ) {
        let now_ms = self.shared.now_ms();
        for (index, (id, attempt)) in runs.iter().enumerate() {
            let Some(run) = self.runs.get_mut(id) else {
                continue;
            };
            if run.attempt != *attempt || run.worker != *worker {
                continue;
            }
            let unanswered = matches!(run.phase, RunPhase::Unanswered { .. });
            match outcome {
                StartOutcome::Answered(taken) if taken[index] => {
                    let stopping = run.stopping;
                    run.phase = RunPhase::Running;
                    report_placement(&self.shared, &self.jobs, (id, *attempt), now_ms);
                    self.scheduler.record_start(id, *attempt, now_ms);
                    if stopping {
                        self.command(worker, (id.clone(), *attempt), RunCommand::Stop);
                    }
                }
                StartOutcome::Unknown { echo_ms } => {
                    run.phase = RunPhase::Unanswered { echo_ms: *echo_ms };
                }
                // A refused repeat does not settle the first start, which may still take effect.
                _ if unanswered => {}
                _ => self.finish_run(id, TaskResult::NotStarted),
            }
        }
    }
}

/// Records the placement latency of a task's first start.
fn report_placement(
    shared: &Shared,
    jobs: &BTreeMap<JobId, Job>,
    (id, attempt): (&TaskId, Attempt),
    now_ms: u64,
) {
    if attempt != Attempt(1) {
        return;
    }
    if let Some(job) = jobs.get(&id.job) {
        shared.placements.report(PlacementSample {
            workspace: job.spec.workspace.clone(),
            kind: job.spec.kind,
            waited_ms: now_ms.saturating_sub(job.accepted_ms),
        });
    }
}
