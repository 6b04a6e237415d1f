//! Log lines and metrics of a term: the decisions of the scheduler, and summaries of the leader's work.

use {
    crate::{
        events::{
            LEADER_SUMMARY, RUN_STUCK, RUNS_MOVED, STEP_AT_FAULT, STEP_STARTED, STEP_UNPLACEABLE,
            WORKER_QUARANTINED,
        },
        term::Term,
    },
    ragwortreel_model::JobId,
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms},
    ragwortreel_workflow::{
        Action, MovedRuns, QuarantineNotice, StartOrder, StepKey, StuckRun, UnplaceableStep,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Interval between two summary lines, in ms.
const SUMMARY_INTERVAL_MS: u64 = 1_000;

impl Term {
    /// Logs the started steps of a decision.
    pub(crate) fn log_starts(&self, actions: &[Action]) {
        let mut steps: BTreeMap<&StepKey, Vec<&StartOrder>> = BTreeMap::new();
        for action in actions {
            if let Action::Start(start) = action {
                steps.entry(&start.task.step).or_default().push(start);
            }
        }
        for (step, starts) in steps {
            let mut workers: Vec<&str> = starts.iter().map(|it| it.worker.as_str()).collect();
            workers.dedup();
            log_event!(self.cell.deps.log, STEP_STARTED; "step" => step.to_string(),
                "tasks" => starts.len(), "run" => starts[0].run, "term" => self.number,
                "workers" => workers.join(","));
        }
    }

    /// Logs and counts a run that is stopped as stuck.
    pub(crate) fn record_stuck_run(&self, run: &StuckRun) {
        let evidence = run.evidence.name();
        self.cell.deps.metrics.record_stuck_run(evidence);
        log_event!(self.cell.deps.log, RUN_STUCK; "task" => run.task.to_string(),
            "run" => run.run, "worker" => run.worker.to_string(), "evidence" => evidence,
            "percent" => run.percent, "still_ms" => run.still_ms, "term" => self.number);
    }

    /// Logs and counts runs that are moved off leaving workers.
    pub(crate) fn record_moved_runs(&self, moved: Vec<MovedRuns>) {
        for it in moved {
            let reason = it.reason.name();
            self.cell.deps.metrics.record_moved_runs(reason, it.runs);
            log_event!(self.cell.deps.log, RUNS_MOVED; "step" => it.step.to_string(),
                "runs" => it.runs, "worker" => it.worker.to_string(), "reason" => reason,
                "leaves_in_ms" => it.leaves_in_ms, "ends_in_ms" => it.ends_in_ms,
                "term" => self.number);
        }
    }

    /// Logs and counts steps that no worker can run.
    pub(crate) fn record_unplaceable_steps(&self, steps: &[UnplaceableStep]) {
        for it in steps {
            (self.cell.deps.metrics).record_unplaceable_step(it.reason.name());
            log_event!(self.cell.deps.log, STEP_UNPLACEABLE; "step" => it.step.to_string(),
                "reason" => it.reason.to_string(), "term" => self.number);
        }
    }

    /// Logs and counts new quarantines and steps at fault.
    pub(crate) fn record_quarantines(&self, notices: Vec<QuarantineNotice>) {
        for notice in notices {
            match notice {
                QuarantineNotice::Worker { worker, jobs } => {
                    let cause = if jobs.is_empty() {
                        "standstill"
                    } else {
                        "failures"
                    };
                    self.cell.deps.metrics.record_quarantine(cause);
                    let jobs: Vec<&str> = jobs.iter().map(JobId::as_str).collect();
                    log_event!(self.cell.deps.log, WORKER_QUARANTINED;
                        "worker" => worker.to_string(), "cause" => cause,
                        "jobs" => jobs.join(","), "term" => self.number);
                }
                QuarantineNotice::Step { step, workers } => {
                    self.cell.deps.metrics.record_step_at_fault();
                    log_event!(self.cell.deps.log, STEP_AT_FAULT; "step" => step.to_string(),
                        "workers" => workers, "term" => self.number);
                }
            }
        }
    }

    /// Logs a summary of the leader's work each second, and updates the metrics of the workspaces.
    pub(crate) async fn log_summaries(self: Arc<Self>) {
        while !self.is_over() {
            let started_ms = boot_ms();
            sleep_ms(SUMMARY_INTERVAL_MS).await;
            // A late timer shows how long other tasks occupy the processor, or that there is too little processor time.
            let lag_ms = boot_ms().saturating_sub(started_ms + SUMMARY_INTERVAL_MS);
            let ((running, waiting), (late_steps, hopeless_steps), summaries) = {
                let scheduler = lock(&self.scheduler);
                (
                    scheduler.task_counts(),
                    scheduler.late_step_counts(),
                    scheduler.workspace_summaries(),
                )
            };
            self.cell.deps.metrics.set_workspaces(&summaries);
            let stats = lock(&self.stats).take();
            log_event!(self.cell.deps.log, LEADER_SUMMARY; "term" => self.number,
                "running" => running, "waiting" => waiting,
                "late_steps" => late_steps, "hopeless_steps" => hopeless_steps,
                "unrenewed_ms" => self.since_renewal_ms(), "timer_lag_ms" => lag_ms,
                "decisions" => stats.decisions, "decision_max_ms" => stats.decision_max_ms,
                "transactions" => stats.transactions,
                "transaction_max_ms" => stats.transaction_max_ms,
                "stored_bytes" => stats.stored_bytes, "starts" => stats.starts,
                "start_max_ms" => stats.start_max_ms, "start_sum_ms" => stats.start_sum_ms);
        }
    }
}
