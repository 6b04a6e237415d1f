//! State and main loop of a pool's owner.

use {
    crate::{
        api::PoolMetrics,
        config::PoolConfig,
        events::RECOVERED,
        owner::{
            Message, OwnerHandle, ReplySender, jobs::row_status, journal::Journal,
            progress::JournalRecord, quota::QuotaGrants, recovery::RecoveredPool,
            worker_link::RunCommand, workers::Worker,
        },
        rows::{PreviousOwner, RunKey},
        shared::Shared,
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::generated::PoolSummary,
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobKind, JobSpec, JobState, JobStatus, Resources, TaskId,
        TaskResult, WorkerId,
    },
    ragwortreel_placement::{Decision, PoolScheduler},
    ragwortreel_runtime::{lock, log_event, timeout_ms},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Longest wait for a message while tasks are queued, in ms; bounds the delay of time-based scheduling decisions.
const MAX_ITERATION_WAIT_MS: u64 = 100;
/// Queued messages handled in one iteration after the message that it waited for.
const MESSAGES_PER_ITERATION: usize = 1_024;

/// Progress of the start of a run that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start record is not durable yet.
    Journaling,
    /// The start was handed to the worker link.
    Dispatched,
    /// The start got no reply. It may take effect until the worker's clock is more than the lease time past `echo_ms`,
    /// an earlier reading of that clock.
    Unanswered { echo_ms: u64 },
    /// The worker confirmed the run.
    Running,
    /// The run was found in the journal of an earlier epoch and the worker has not reported it yet.
    Restored,
}

#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub attempt: Attempt,
    pub worker: WorkerId,
    pub resources: Resources,
    pub phase: RunPhase,
    /// The run must be stopped once a stop command can be sent.
    pub stopping: bool,
    /// Consecutive reports in which the run used more than its reservation.
    pub reports_over_reservation: u32,
}

pub(crate) struct Job {
    pub spec: JobSpec,
    pub row_version: u64,
    pub state: JobState,
    pub succeeded: BTreeSet<u32>,
    pub failures: u32,
    pub running: BTreeSet<u32>,
    /// When this owner accepted the job or took it over.
    pub accepted_ms: u64,
    /// A write of the job's row is in flight.
    pub row_write_in_flight: bool,
    /// The final state is in the job's row.
    pub final_row_written: bool,
}

pub(crate) struct PoolOwner {
    pub shared: Arc<Shared>,
    pub handle: Arc<OwnerHandle>,
    pub cfg: PoolConfig,
    pub rx: Receiver<Message>,
    pub row_version: u64,
    pub scheduler: Box<dyn PoolScheduler>,
    pub journal: Journal,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub jobs: BTreeMap<JobId, Job>,
    pub ended_jobs: VecDeque<JobStatus>,
    pub pending_submissions: BTreeMap<JobId, (JobSpec, Vec<ReplySender<JobStatus>>)>,
    pub runs: BTreeMap<TaskId, Run>,
    /// Ended runs whose end records are not durable yet.
    pub unflushed_ends: BTreeSet<RunKey>,
    pub quota_grants: QuotaGrants,
    /// Previous owners that are not proven to have stopped sending commands to workers.
    pub previous_owners: Vec<PreviousOwner>,
    pub taken_over_ms: u64,
    /// When all previous owners had certainly stopped renewing tasks; `None` while this is uncertain.
    pub previous_stopped_ms: Option<u64>,
    release_reply: Option<Sender<()>>,
    needs_decision: bool,
    last_maintenance_ms: u64,
}

impl PoolOwner {
    pub fn new(
        shared: &Arc<Shared>,
        handle: &Arc<OwnerHandle>,
        rx: Receiver<Message>,
        row_version: u64,
        previous_owners: Vec<PreviousOwner>,
        taken_over_ms: u64,
        recovered: RecoveredPool,
    ) -> Self {
        let cfg = shared.cfg.pools.iter().find(|cfg| cfg.pool == handle.pool);
        let cfg = cfg.cloned().unwrap_or_else(|| PoolConfig {
            pool: handle.pool.clone(),
            zone: shared.cfg.zone.clone(),
            partition: 0,
            partition_count: 1,
        });
        let tx = handle.sender().clone();
        let journal = Journal::new(shared, handle, tx, row_version, recovered.journal);
        let mut owner = Self {
            shared: Arc::clone(shared),
            handle: Arc::clone(handle),
            cfg,
            rx,
            row_version,
            scheduler: (shared.schedulers)(&handle.pool),
            journal,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ended_jobs: VecDeque::new(),
            pending_submissions: BTreeMap::new(),
            runs: BTreeMap::new(),
            unflushed_ends: BTreeSet::new(),
            quota_grants: QuotaGrants::default(),
            previous_stopped_ms: previous_owners.is_empty().then_some(taken_over_ms),
            previous_owners,
            taken_over_ms,
            release_reply: None,
            needs_decision: true,
            last_maintenance_ms: 0,
        };
        owner.restore(recovered.jobs);
        for row in recovered.ended {
            owner.retain_ended_job(row_status(row));
        }
        owner
    }

    /// Restores the jobs and runs of earlier epochs in the scheduler.
    fn restore(&mut self, jobs: BTreeMap<JobId, (crate::rows::JobRow, u64)>) {
        let now_ms = self.shared.now_ms();
        self.refresh_workspaces();
        self.refresh_workers();
        let progress = self.journal.durable.clone();
        for (id, (row, row_version)) in jobs {
            let job_progress = progress.jobs.get(&id).cloned().unwrap_or_default();
            if self.scheduler.submit(row.spec.clone(), now_ms).is_err() {
                // The workspace was removed from the settings: the job's runs are stopped as orphans and its row
                // remains.
                continue;
            }
            for index in &job_progress.succeeded {
                self.scheduler.restore_succeeded(&task_id(&id, *index));
            }
            for (index, attempt) in &job_progress.attempts {
                if !job_progress.runs.contains_key(index) {
                    self.scheduler
                        .restore_attempt(&task_id(&id, *index), *attempt);
                }
            }
            let job = Job {
                spec: row.spec,
                row_version,
                state: JobState::Queued,
                succeeded: job_progress.succeeded,
                failures: job_progress.failures,
                running: job_progress.runs.keys().copied().collect(),
                accepted_ms: now_ms,
                row_write_in_flight: false,
                final_row_written: false,
            };
            self.jobs.insert(id.clone(), job);
            for (index, run) in job_progress.runs {
                self.register_unlisted_worker(&run.worker, run.resources);
                let assignment = Assignment {
                    task: task_id(&id, index),
                    attempt: run.attempt,
                    worker: run.worker.clone(),
                    resources: run.resources,
                };
                self.scheduler.restore_run(assignment, now_ms);
                let run = Run {
                    attempt: run.attempt,
                    worker: run.worker,
                    resources: run.resources,
                    phase: RunPhase::Restored,
                    stopping: false,
                    reports_over_reservation: 0,
                };
                self.runs.insert(task_id(&id, index), run);
            }
        }
        log_event!(self.shared.log, RECOVERED; "pool" => self.cfg.pool.as_str(),
            "epoch" => self.handle.epoch().0, "jobs" => self.jobs.len(), "runs" => self.runs.len());
    }

    pub async fn run(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.finish_job_if_complete(id);
        }
        while !self.handle.is_ownership_ended() && !self.shared.stop.is_requested() {
            let received = timeout_ms(self.message_wait_ms(), self.rx.recv()).await;
            match received {
                Ok(Ok(message)) => self.handle_message(message),
                Ok(Err(_)) => break,
                Err(_) => self.needs_decision = true,
            }
            for _ in 0..MESSAGES_PER_ITERATION {
                let Ok(message) = self.rx.try_recv() else {
                    break;
                };
                self.handle_message(message);
            }
            self.run_iteration();
        }
        self.workers.values().for_each(Worker::close);
    }

    /// Longest wait for a message, in ms; while nothing is queued or pending, only periodic maintenance depends on
    /// time.
    fn message_wait_ms(&self) -> u64 {
        let scan_ms = self.shared.cfg.timings.scan_ms;
        let is_idle = self.scheduler.stats().queued == 0
            && self.journal.is_idle()
            && self.release_reply.is_none();
        if is_idle {
            scan_ms.max(MAX_ITERATION_WAIT_MS)
        } else {
            MAX_ITERATION_WAIT_MS
        }
    }

    fn run_iteration(&mut self) {
        let now_ms = self.shared.now_ms();
        if now_ms >= self.last_maintenance_ms + self.shared.cfg.timings.scan_ms {
            self.last_maintenance_ms = now_ms;
            self.maintain(now_ms);
        }
        if std::mem::take(&mut self.needs_decision) {
            self.decide();
        }
        self.journal.flush_if_due();
        self.journal.snapshot_if_due();
        if self.release_reply.is_some() && self.journal.is_idle() {
            self.handle.end_ownership();
            if let Some(reply) = self.release_reply.take() {
                let _ = reply.try_send(());
            }
        }
    }

    fn maintain(&mut self, now_ms: u64) {
        self.refresh_workspaces();
        self.refresh_workers();
        self.check_workers(now_ms);
        self.adjust_quota_grants(now_ms);
        self.publish_metrics();
    }

    fn handle_message(&mut self, message: Message) {
        self.needs_decision = true;
        match message {
            Message::Submit { spec, reply } => self.submit(spec, reply),
            Message::Cancel {
                job,
                workspace,
                reply,
            } => self.cancel(&job, workspace.as_ref(), reply),
            Message::Describe {
                workspace,
                job,
                reply,
            } => {
                let _ = reply.try_send(Ok(self.describe(workspace.as_ref(), job.as_ref())));
            }
            Message::RowWritten { write, outcome } => self.handle_row_written(write, outcome),
            Message::WorkerReported(report) => self.handle_worker_report(&report),
            Message::StartFinished {
                worker,
                runs,
                outcome,
            } => self.handle_start_outcome(&worker, &runs, &outcome),
            Message::JournalFlushed { durable: true } => self.handle_flushed(),
            Message::JournalFlushed { durable: false } => self.handle.end_ownership(),
            Message::SnapshotFinished { at, rows } => self.journal.snapshot_finished(at, rows),
            Message::QuotaGranted { workspace, row } => self.quota_granted(&workspace, row),
            Message::Release { reply } => self.release_reply = Some(reply),
        }
    }

    /// Returns whether new starts may be decided: the journal is writable and the own lease is valid.
    fn may_decide(&self) -> bool {
        self.release_reply.is_none()
            && !self.handle.is_journal_blocked()
            && !self.handle.is_ownership_ended()
            && self.shared.is_lease_valid()
    }

    fn decide(&mut self) {
        if !self.may_decide() {
            return;
        }
        let limit = self.shared.cfg.limits.decisions_per_iteration;
        let now_ms = self.shared.now_ms();
        for decision in self.scheduler.decide(now_ms, limit) {
            match decision {
                Decision::Start(run) => self.journal_starts(&[run]),
                Decision::StartGang(runs) => self.journal_starts(&runs),
                Decision::Checkpoint(run) => {
                    self.command(&run.worker, (run.task, run.attempt), RunCommand::Checkpoint);
                }
            }
        }
    }

    /// Journals starts; they are sent to the workers once their records are durable.
    fn journal_starts(&mut self, starts: &[Assignment]) {
        for start in starts {
            let run = Run {
                attempt: start.attempt,
                worker: start.worker.clone(),
                resources: start.resources,
                phase: RunPhase::Journaling,
                stopping: false,
                reports_over_reservation: 0,
            };
            let earlier = self.runs.insert(start.task.clone(), run);
            debug_assert!(
                earlier.is_none(),
                "{} is started while an earlier run may still be executing",
                start.task
            );
            if let Some(job) = self.jobs.get_mut(&start.task.job) {
                job.running.insert(start.task.index);
            }
        }
        self.journal.push(JournalRecord::starts(starts));
    }

    fn handle_flushed(&mut self) {
        for record in self.journal.complete_flush() {
            match record {
                JournalRecord::Start { job, runs, .. } => {
                    for (index, attempt, _) in runs {
                        self.send_start(&task_id(&job, index), attempt);
                    }
                }
                JournalRecord::Ended {
                    task,
                    attempt,
                    worker,
                    ..
                } => {
                    let key = (task, attempt);
                    self.unflushed_ends.remove(&key);
                    if let Some(link) = self.workers.get(&worker).and_then(Worker::link) {
                        link.acknowledge(key);
                    }
                }
                JournalRecord::JobDone { .. } => {}
            }
        }
    }

    fn send_start(&mut self, id: &TaskId, attempt: Attempt) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.attempt != attempt || run.phase != RunPhase::Journaling {
            return;
        }
        let link = self.workers.get(&run.worker).and_then(Worker::link);
        let payload = self
            .jobs
            .get(&id.job)
            .map(|job| Arc::clone(&job.spec.payload));
        let (Some(link), Some(payload), false) = (link, payload, run.stopping) else {
            let result = if run.stopping {
                TaskResult::Stopped
            } else {
                TaskResult::NotStarted
            };
            self.finish_run(id, result);
            return;
        };
        run.phase = RunPhase::Dispatched;
        let assignment = Assignment {
            task: id.clone(),
            attempt,
            worker: run.worker.clone(),
            resources: run.resources,
        };
        link.queue_start(assignment, payload);
    }

    /// Records the end of a run, or that it was never started, and reports it to the scheduler.
    pub fn finish_run(&mut self, id: &TaskId, result: TaskResult) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        self.journal_end(id, &run, result);
        self.scheduler
            .record_end(id, run.attempt, result, self.shared.now_ms());
        self.update_job_after_end(id, result);
    }

    /// Journals the end of a run that was removed from `runs`.
    pub fn journal_end(&mut self, id: &TaskId, run: &Run, result: TaskResult) {
        self.shared.counters.ended_runs.add(1);
        self.unflushed_ends.insert((id.clone(), run.attempt));
        self.journal.push(vec![JournalRecord::Ended {
            task: id.clone(),
            attempt: run.attempt,
            worker: run.worker.clone(),
            result,
        }]);
    }

    /// Updates the job of an ended run.
    pub fn update_job_after_end(&mut self, id: &TaskId, result: TaskResult) {
        self.needs_decision = true;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.running.remove(&id.index);
        match result {
            TaskResult::Succeeded => {
                job.succeeded.insert(id.index);
            }
            TaskResult::Failed => job.failures += 1,
            _ => {}
        }
        let breaks_gang = matches!(
            result,
            TaskResult::NotStarted | TaskResult::Lost | TaskResult::Failed
        );
        if job.spec.kind == JobKind::Gang && breaks_gang {
            // A gang runs completely or not at all.
            let rest: Vec<_> = job
                .running
                .iter()
                .map(|index| task_id(&id.job, *index))
                .collect();
            for id in &rest {
                self.stop_run(id);
            }
        }
        self.finish_job_if_complete(&id.job);
    }

    /// Stops a run in any phase of its start.
    pub fn stop_run(&mut self, id: &TaskId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.stopping = true;
        let key = (id.clone(), run.attempt);
        let (phase, worker) = (run.phase, run.worker.clone());
        let link = self.workers.get(&worker).and_then(Worker::link);
        match phase {
            // The stop takes effect in `send_start` once the start record is durable.
            RunPhase::Journaling => {}
            RunPhase::Dispatched if link.is_some_and(|link| link.withdraw_start(&key)) => {
                self.finish_run(id, TaskResult::Stopped);
            }
            _ => self.command(&worker, key, RunCommand::Stop),
        }
    }

    pub fn command(&self, worker: &WorkerId, run: RunKey, command: RunCommand) {
        if let Some(link) = self.workers.get(worker).and_then(Worker::link) {
            link.queue_command(run, command);
        }
    }

    fn publish_metrics(&self) {
        let stats = self.scheduler.stats();
        let free = stats.capacity.saturating_sub(&stats.reserved);
        *lock(&self.handle.summary) = PoolSummary {
            pool: self.cfg.pool.to_string(),
            epoch: self.handle.epoch().0,
            free_milli_cores: free.milli_cores,
            free_memory_mib: free.memory_mib,
            free_accelerators: free.accelerators,
            queued_tasks: stats.queued,
            running_tasks: stats.running,
        };
        let uncertain = |run: &&Run| {
            let worker = self.workers.get(&run.worker);
            worker.is_none_or(Worker::is_silent)
        };
        *lock(&self.handle.metrics) = Some(PoolMetrics {
            pool: self.cfg.pool.clone(),
            epoch: self.handle.epoch().0,
            stats,
            unreported_workers: count(
                self.workers
                    .values()
                    .filter(|worker| !worker.has_reported()),
            ),
            uncertain_tasks: count(self.runs.values().filter(uncertain)),
            unflushed_journal_records: self.journal.unflushed() as u64,
        });
    }
}

fn count(items: impl Iterator) -> u64 {
    items.count() as u64
}

pub(crate) fn task_id(job: &JobId, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        index,
    }
}
