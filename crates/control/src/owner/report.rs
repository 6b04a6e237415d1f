//! What workers answer: reports and results of starts.

use {
    crate::{
        events::ORPHAN_STOPPED,
        metrics::PlacementSample,
        owner::{
            WorkerReport,
            link::{RunCommand, StartOutcome},
            pool::{Job, Phase, PoolOwner},
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

/// Reports in a row over its reservation after which best-effort work is checkpointed; it is throttled at once.
const CHECKPOINT_AFTER_OVER: u32 = 5;

impl PoolOwner {
    pub fn report(&mut self, report: &WorkerReport) {
        let id = report.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.reported_ms = Some(report.received_ms);
        let restarted = worker.incarnation != 0 && worker.incarnation != report.incarnation;
        worker.incarnation = report.incarnation;
        self.check_own_runs(&id, &report.tasks, report.clock_ms, restarted);
        let has_orphans = self.check_orphans(&id, &report.tasks);
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.has_orphans = has_orphans;
        }
        self.tell_state(&id);
    }

    /// Compares the runs that should be on the worker with its report.
    fn check_own_runs(
        &mut self,
        worker: &WorkerId,
        reported: &TaskTable,
        clock_ms: u64,
        restarted: bool,
    ) {
        let own: Vec<TaskId> = (self.runs.iter())
            .filter(|(_, run)| run.worker == *worker)
            .map(|(id, _)| id.clone())
            .collect();
        for id in own {
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
                Some(found) => self.seen_running(&id, found),
                None => self.seen_absent(&id, clock_ms, restarted),
            }
        }
    }

    fn seen_running(&mut self, id: &TaskId, found: &ReportedTask) {
        let now_ms = self.shared.now_ms();
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let (worker, key) = (run.worker.clone(), (id.clone(), run.attempt));
        if run.phase != Phase::Running {
            run.phase = Phase::Running;
            count_placement(&self.shared, &self.jobs, (id, key.1), now_ms);
            self.scheduler.record_start(id, key.1, now_ms);
        }
        let is_over = !found.used.fits_in(&run.resources);
        run.over = if is_over { run.over + 1 } else { 0 };
        let (over, stopping) = (run.over, run.stopping);
        self.scheduler.record_usage(id, key.1, found.used);
        let is_service =
            (self.jobs.get(&id.job)).is_some_and(|job| job.spec.kind == JobKind::Service);
        if stopping {
            self.command(&worker, key, RunCommand::Stop);
        } else if over == 1 {
            self.command(&worker, key, RunCommand::Throttle);
        } else if over >= CHECKPOINT_AFTER_OVER && !is_service {
            self.command(&worker, key, RunCommand::Checkpoint);
        }
    }

    /// The worker reports under this epoch that it does not run the task.
    fn seen_absent(&mut self, id: &TaskId, clock_ms: u64, restarted: bool) {
        let lease_ms = self.shared.cfg.timings.task_lease_ms;
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        match run.phase {
            // The start was not sent before the report.
            Phase::Journaling | Phase::Ordered => {}
            Phase::Running | Phase::Restored => self.finish_run(id, TaskResult::Lost),
            Phase::Unanswered { .. } if restarted => {
                // The worker's clock starts anew, so the time in which the start may arrive is counted from here.
                run.phase = Phase::Unanswered { echo_ms: clock_ms };
            }
            Phase::Unanswered { echo_ms } if clock_ms > echo_ms + lease_ms => {
                self.finish_run(id, TaskResult::NotStarted);
            }
            Phase::Unanswered { .. } => self.repeat_start(id),
        }
    }

    /// Repeats a start without an answer; the worker takes a repeated run only once.
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
            link.take_back(&(id.clone(), run.attempt));
            link.start(assignment, Arc::clone(&job.spec.payload));
        }
    }

    /// Stops reported runs that are not in the journal, or are of cancelled jobs; returns whether there are any.
    fn check_orphans(&mut self, worker: &WorkerId, reported: &TaskTable) -> bool {
        let mut found = false;
        for (key, task) in reported {
            let known = (self.runs.get(&key.0))
                .is_some_and(|run| run.attempt == key.1 && run.worker == *worker);
            if known || self.ended_open.contains(key) {
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
            link.command(key.clone(), RunCommand::Stop);
        }
        found
    }

    pub fn start_done(&mut self, worker: &WorkerId, runs: &[RunKey], outcome: &StartOutcome) {
        let now_ms = self.shared.now_ms();
        for (index, (id, attempt)) in runs.iter().enumerate() {
            let Some(run) = self.runs.get_mut(id) else {
                continue;
            };
            if run.attempt != *attempt || run.worker != *worker {
                continue;
            }
            let unanswered = matches!(run.phase, Phase::Unanswered { .. });
            match outcome {
                StartOutcome::Answered(taken) if taken[index] => {
                    let stopping = run.stopping;
                    run.phase = Phase::Running;
                    count_placement(&self.shared, &self.jobs, (id, *attempt), now_ms);
                    self.scheduler.record_start(id, *attempt, now_ms);
                    if stopping {
                        self.command(worker, (id.clone(), *attempt), RunCommand::Stop);
                    }
                }
                StartOutcome::Unknown { echo_ms } => {
                    run.phase = Phase::Unanswered { echo_ms: *echo_ms };
                }
                // A refused repeat says nothing about the first start, which may still be under way.
                _ if unanswered => {}
                _ => self.finish_run(id, TaskResult::NotStarted),
            }
        }
    }
}

/// Reports how long a task has waited for its first start.
fn count_placement(
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
            waited_ms: now_ms.saturating_sub(job.since_ms),
        });
    }
}
