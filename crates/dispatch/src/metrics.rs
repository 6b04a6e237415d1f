//! Metrics of an instance.

use {
    crate::workspaces::WorkspaceLabels,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter},
    },
    ragwortreel_model::Workspace,
    ragwortreel_workflow::{RefusalReason, WorkspaceSummary},
    std::{collections::BTreeMap, time::Duration},
};

/// Bucket bounds of durations, in s; 0.5 s is the time that the objective of a short job allows beyond its run time.
const BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Counters, gauges and latency histograms of an instance.
#[derive(Debug)]
pub struct CellMetrics {
    submissions: Counter<u64>,
    submission_seconds: Histogram<f64>,
    refusals: Counter<u64>,
    store_failures: Counter<u64>,
    refused_rows: Counter<u64>,
    journal_seconds: Histogram<f64>,
    starts: Counter<u64>,
    start_seconds: Histogram<f64>,
    advice: Counter<u64>,
    advice_seconds: Histogram<f64>,
    jobs_ended: Counter<u64>,
    job_seconds: Histogram<f64>,
    workers_lost: Counter<u64>,
    stuck_runs: Counter<u64>,
    runs_moved: Counter<u64>,
    unplaceable_steps: Counter<u64>,
    quarantines: Counter<u64>,
    steps_at_fault: Counter<u64>,
    terms: Counter<u64>,
    leader_term: Gauge<u64>,
    configuration: Gauge<u64>,
    configuration_reads: Counter<u64>,
    unknown_keys: Counter<u64>,
    stale_proofs: Counter<u64>,
    workspace_refusals: Counter<u64>,
    workspace_cores: Gauge<f64>,
    workspace_held_steps: Gauge<u64>,
    workspace_labels: WorkspaceLabels,
}

impl CellMetrics {
    /// Registers the metrics with a meter.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(BOUNDS_S.to_vec())
                .build()
        };
        Self {
            submissions: counter("job_submissions", "submissions by queue and result"),
            refusals: counter("job_refusals", "refused submissions by queue and reason"),
            submission_seconds: seconds("job_submission_duration", "time until the answer"),
            store_failures: counter(
                "store_failures",
                "calls to the store without success, by step",
            ),
            refused_rows: counter(
                "refused_rows",
                "rows that the store refuses for good, by step",
            ),
            journal_seconds: seconds("journal_duration", "time of one transaction of the leader"),
            starts: counter("task_starts", "starts by result"),
            start_seconds: seconds("task_start_duration", "time from decision to confirmation"),
            advice: counter("advice_calls", "calls for advice by result"),
            advice_seconds: seconds("advice_duration", "time of a call for advice"),
            jobs_ended: counter("jobs_ended", "jobs by queue and final state"),
            job_seconds: seconds("job_duration", "time from acceptance to the final state"),
            workers_lost: counter("workers_lost", "workers that stopped answering the leader"),
            stuck_runs: counter(
                "stuck_runs",
                "runs and gangs stopped without progress, by evidence",
            ),
            runs_moved: counter(
                "runs_moved",
                "runs that were stopped because a worker was leaving, by whether they resume or restart",
            ),
            unplaceable_steps: counter(
                "unplaceable_steps",
                "steps that no worker can run, by the requirement that none meets",
            ),
            quarantines: counter(
                "quarantines",
                "quarantines of workers, by whether runs failed or the worker stood still",
            ),
            steps_at_fault: counter(
                "steps_at_fault",
                "steps that failed on most of their workers",
            ),
            terms: counter(
                "leader_terms",
                "terms of leadership that this instance began",
            ),
            leader_term: gauge(
                "leader_term",
                "number of the present term, 0 while another leads",
            ),
            unknown_keys: counter("unknown_keys", "requests refused without a known key"),
            stale_proofs: counter(
                "stale_key_proofs",
                "requests not run because the configuration was not proven to be the newest",
            ),
            configuration: gauge("configuration_version", "configuration in force"),
            configuration_reads: counter(
                "configuration_reads",
                "reads of the configuration by result",
            ),
            workspace_refusals: counter(
                "workspace_refusals",
                "jobs refused because of the load, by workspace and reason",
            ),
            workspace_cores: (meter.f64_gauge("workspace_cores"))
                .with_description("cores of all runs of a workspace, as the leader counts them")
                .build(),
            workspace_held_steps: gauge(
                "workspace_held_steps",
                "steps that wait for their workspace's limit, as the leader counts them",
            ),
            workspace_labels: WorkspaceLabels::default(),
        }
    }

    pub(crate) fn record_submission(&self, queue: &str, result: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("result", result),
        ];
        self.submissions.add(1, &labels);
        self.submission_seconds
            .record(took.as_secs_f64(), &labels[..1]);
    }

    pub(crate) fn record_refusal(&self, queue: &str, reason: &'static str) {
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("reason", reason),
        ];
        self.refusals.add(1, &labels);
    }

    pub(crate) fn record_store_failure(&self, step: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("step", step)]);
    }

    pub(crate) fn record_refused_row(&self, step: &'static str) {
        self.refused_rows.add(1, &[KeyValue::new("step", step)]);
    }

    pub(crate) fn record_commit(&self, took_ms: u64) {
        self.journal_seconds.record(seconds(took_ms), &[]);
    }

    pub(crate) fn record_start(&self, result: &'static str, took_ms: u64) {
        self.starts.add(1, &[KeyValue::new("result", result)]);
        self.start_seconds.record(seconds(took_ms), &[]);
    }

    pub(crate) fn record_advice(&self, result: &'static str, took_ms: u64) {
        self.advice.add(1, &[KeyValue::new("result", result)]);
        self.advice_seconds.record(seconds(took_ms), &[]);
    }

    pub(crate) fn record_job_end(&self, queue: &str, state: &str, age_ms: u64) {
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("state", state.to_owned()),
        ];
        self.jobs_ended.add(1, &labels);
        self.job_seconds.record(seconds(age_ms), &labels[..1]);
    }

    pub(crate) fn record_stuck_run(&self, evidence: &'static str) {
        self.stuck_runs
            .add(1, &[KeyValue::new("evidence", evidence)]);
    }

    pub(crate) fn record_worker_lost(&self) {
        self.workers_lost.add(1, &[]);
    }

    pub(crate) fn record_moved_runs(&self, reason: &'static str, runs: usize) {
        self.runs_moved
            .add(runs as u64, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_unplaceable_step(&self, reason: &'static str) {
        self.unplaceable_steps
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_quarantine(&self, cause: &'static str) {
        self.quarantines.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn record_step_at_fault(&self) {
        self.steps_at_fault.add(1, &[]);
    }

    pub(crate) fn set_term(&self, term: Option<u32>) {
        if term.is_some() {
            self.terms.add(1, &[]);
        }
        self.leader_term.record(u64::from(term.unwrap_or(0)), &[]);
    }

    pub(crate) fn record_unknown_key(&self) {
        self.unknown_keys.add(1, &[]);
    }

    pub(crate) fn record_stale_proof(&self) {
        self.stale_proofs.add(1, &[]);
    }

    pub(crate) fn record_workspace_refusal(&self, workspace: &Workspace, reason: RefusalReason) {
        let labels = [
            KeyValue::new("workspace", self.workspace_labels.get(workspace)),
            KeyValue::new("reason", reason.name()),
        ];
        self.workspace_refusals.add(1, &labels);
    }

    pub(crate) fn set_workspaces(&self, summaries: &[WorkspaceSummary]) {
        // A workspace that is not configured any more has no summary and is shown with 0.
        let named = self.workspace_labels.named().into_iter();
        let mut sums: BTreeMap<String, (u64, usize)> = named.map(|it| (it, (0, 0))).collect();
        for it in summaries {
            let label = self.workspace_labels.get(&it.workspace);
            let sum = sums.entry(label).or_default();
            *sum = (sum.0 + it.usage.milli_cores, sum.1 + it.held_steps);
        }
        for (label, (milli_cores, held_steps)) in sums {
            let labels = [KeyValue::new("workspace", label)];
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let cores = milli_cores as f64 / 1_000.0;
            self.workspace_cores.record(cores, &labels);
            (self.workspace_held_steps).record(held_steps as u64, &labels);
        }
    }

    pub(crate) fn record_configuration_read(&self, result: &'static str) {
        self.configuration_reads
            .add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn set_configuration(&self, version: u64) {
        self.configuration.record(version, &[]);
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
