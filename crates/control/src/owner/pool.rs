//! The owner's state and its loop.

use {
    crate::{
        api::PoolMetrics,
        config::PoolConfig,
        events::RECOVERED,
        owner::{
            Message, OwnerHandle, Reply, jobs::row_status, journal::Journal, ledger::Record,
            link::RunCommand, recovery::Read, shares::Shares, workers::Worker,
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

/// Longest wait of the loop while something is queued, in ms; bounds how late a decision that depends on time is taken.
const TURN_MS: u64 = 100;
/// Messages handled before the next decisions are taken.
const MESSAGES_A_TURN: usize = 1_024;

/// What is known about a run that may be alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its journal record is not durable.
    Journaling,
    /// Handed to the worker's task.
    Ordered,
    /// A start got no answer. It may take effect until the worker's clock has passed the echo by the lease time.
    Unanswered { echo_ms: u64 },
    /// The worker took it.
    Running,
    /// Found in the journal of an earlier epoch; the worker has not reported yet.
    Restored,
}

#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub attempt: Attempt,
    pub worker: WorkerId,
    pub resources: Resources,
    pub phase: Phase,
    /// It is to be stopped as soon as it can be.
    pub stopping: bool,
    /// Reports in a row in which it used more than its reservation.
    pub over: u32,
}

pub(crate) struct Job {
    pub spec: JobSpec,
    pub row_version: u64,
    pub state: JobState,
    pub succeeded: BTreeSet<u32>,
    pub failures: u32,
    pub running: BTreeSet<u32>,
    /// When this owner took the job over or accepted it.
    pub since_ms: u64,
    /// A write of the row is under way.
    pub writing: bool,
    /// The row says that the job is final.
    pub closed: bool,
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
    pub submitting: BTreeMap<JobId, (JobSpec, Vec<Reply<JobStatus>>)>,
    pub runs: BTreeMap<TaskId, Run>,
    /// Ended runs whose records are not durable yet.
    pub ended_open: BTreeSet<RunKey>,
    pub shares: Shares,
    /// Owners before the takeover that are not proven to have stopped their commands.
    pub previous: Vec<PreviousOwner>,
    pub taken_ms: u64,
    /// When it was certain that no earlier owner renews tasks any more.
    pub proven_ms: Option<u64>,
    releasing: Option<Sender<()>>,
    dirty: bool,
    upkept_ms: u64,
}

impl PoolOwner {
    pub fn new(
        shared: &Arc<Shared>,
        handle: &Arc<OwnerHandle>,
        rx: Receiver<Message>,
        row_version: u64,
        previous: Vec<PreviousOwner>,
        taken_ms: u64,
        read: Read,
    ) -> Self {
        let cfg = shared.cfg.pools.iter().find(|cfg| cfg.pool == handle.pool);
        let cfg = cfg.cloned().unwrap_or_else(|| PoolConfig {
            pool: handle.pool.clone(),
            zone: shared.cfg.zone.clone(),
            partition: 0,
            partition_count: 1,
        });
        let tx = handle.sender().clone();
        let journal = Journal::new(shared, handle, tx, row_version, read.journal);
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
            submitting: BTreeMap::new(),
            runs: BTreeMap::new(),
            ended_open: BTreeSet::new(),
            shares: Shares::default(),
            proven_ms: previous.is_empty().then_some(taken_ms),
            previous,
            taken_ms,
            releasing: None,
            dirty: true,
            upkept_ms: 0,
        };
        owner.restore(read.jobs);
        for row in read.ended {
            owner.keep_ended(row_status(row));
        }
        owner
    }

    /// Hands the jobs and runs of earlier epochs to the scheduler.
    fn restore(&mut self, jobs: BTreeMap<JobId, (crate::rows::JobRow, u64)>) {
        let now_ms = self.shared.now_ms();
        self.refresh_workspaces();
        self.refresh_workers();
        let ledger = self.journal.durable.clone();
        for (id, (row, row_version)) in jobs {
            let done = ledger.jobs.get(&id).cloned().unwrap_or_default();
            if self.scheduler.submit(row.spec.clone(), now_ms).is_err() {
                // The workspace is gone from the settings; its runs end as orphans, and the job stays in its row.
                continue;
            }
            for index in &done.succeeded {
                self.scheduler.restore_succeeded(&task(&id, *index));
            }
            for (index, attempt) in &done.attempts {
                if !done.runs.contains_key(index) {
                    self.scheduler.restore_attempt(&task(&id, *index), *attempt);
                }
            }
            let job = Job {
                spec: row.spec,
                row_version,
                state: JobState::Queued,
                succeeded: done.succeeded,
                failures: done.failures,
                running: done.runs.keys().copied().collect(),
                since_ms: now_ms,
                writing: false,
                closed: false,
            };
            self.jobs.insert(id.clone(), job);
            for (index, run) in done.runs {
                self.ensure_holder(&run.worker, run.resources);
                let assignment = Assignment {
                    task: task(&id, index),
                    attempt: run.attempt,
                    worker: run.worker.clone(),
                    resources: run.resources,
                };
                self.scheduler.restore_run(assignment, now_ms);
                let run = Run {
                    attempt: run.attempt,
                    worker: run.worker,
                    resources: run.resources,
                    phase: Phase::Restored,
                    stopping: false,
                    over: 0,
                };
                self.runs.insert(task(&id, index), run);
            }
        }
        log_event!(self.shared.log, RECOVERED; "pool" => self.cfg.pool.as_str(),
            "epoch" => self.handle.epoch().0, "jobs" => self.jobs.len(), "runs" => self.runs.len());
    }

    pub async fn run(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.finish_job_if_done(id);
        }
        while !self.handle.is_dropped() && !self.shared.stop.is_requested() {
            let received = timeout_ms(self.longest_wait_ms(), self.rx.recv()).await;
            match received {
                Ok(Ok(message)) => self.handle_message(message),
                Ok(Err(_)) => break,
                Err(_) => self.dirty = true,
            }
            for _ in 0..MESSAGES_A_TURN {
                let Ok(message) = self.rx.try_recv() else {
                    break;
                };
                self.handle_message(message);
            }
            self.turn();
        }
        self.workers.values().for_each(Worker::close);
    }

    /// Longest wait for a message: while no task is queued and no record waits, time matters only to the upkeep.
    fn longest_wait_ms(&self) -> u64 {
        let scan_ms = self.shared.cfg.timings.scan_ms;
        let is_idle = self.scheduler.stats().queued == 0
            && self.journal.is_idle()
            && self.releasing.is_none();
        if is_idle {
            scan_ms.max(TURN_MS)
        } else {
            TURN_MS
        }
    }

    fn turn(&mut self) {
        let now_ms = self.shared.now_ms();
        if now_ms >= self.upkept_ms + self.shared.cfg.timings.scan_ms {
            self.upkept_ms = now_ms;
            self.upkeep(now_ms);
        }
        if std::mem::take(&mut self.dirty) {
            self.decide();
        }
        self.journal.flush_if_due();
        self.journal.snapshot_if_due();
        if self.releasing.is_some() && self.journal.is_idle() {
            self.handle.drop_now();
            if let Some(reply) = self.releasing.take() {
                let _ = reply.try_send(());
            }
        }
    }

    fn upkeep(&mut self, now_ms: u64) {
        self.refresh_workspaces();
        self.refresh_workers();
        self.check_workers(now_ms);
        self.ask_for_shares(now_ms);
        self.publish();
    }

    fn handle_message(&mut self, message: Message) {
        self.dirty = true;
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
            Message::RowWritten { write, definite } => self.row_written(write, definite),
            Message::Report(report) => self.report(&report),
            Message::StartDone {
                worker,
                runs,
                outcome,
            } => self.start_done(&worker, &runs, &outcome),
            Message::Flushed { durable: true } => self.flushed(),
            Message::Flushed { durable: false } => self.handle.drop_now(),
            Message::Snapshotted { at, rows } => self.journal.snapshotted(at, rows),
            Message::Granted { workspace, row } => self.granted(&workspace, row),
            Message::Release { reply } => self.releasing = Some(reply),
        }
    }

    /// Whether new starts may be decided: the journal takes records and the own lease holds.
    fn may_decide(&self) -> bool {
        self.releasing.is_none()
            && !self.handle.is_blocked()
            && !self.handle.is_dropped()
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
                Decision::Start(run) => self.begin(&[run]),
                Decision::StartGang(runs) => self.begin(&runs),
                Decision::Checkpoint(run) => {
                    self.command(&run.worker, (run.task, run.attempt), RunCommand::Checkpoint);
                }
            }
        }
    }

    /// Journals starts; they are sent once the record is durable.
    fn begin(&mut self, starts: &[Assignment]) {
        for start in starts {
            let run = Run {
                attempt: start.attempt,
                worker: start.worker.clone(),
                resources: start.resources,
                phase: Phase::Journaling,
                stopping: false,
                over: 0,
            };
            let earlier = self.runs.insert(start.task.clone(), run);
            debug_assert!(
                earlier.is_none(),
                "{} is started while a run may be alive",
                start.task
            );
            if let Some(job) = self.jobs.get_mut(&start.task.job) {
                job.running.insert(start.task.index);
            }
        }
        self.journal.push(Record::starts(starts));
    }

    fn flushed(&mut self) {
        for record in self.journal.flushed() {
            match record {
                Record::Start { job, runs, .. } => {
                    for (index, attempt, _) in runs {
                        self.send_start(&task(&job, index), attempt);
                    }
                }
                Record::Ended {
                    task,
                    attempt,
                    worker,
                    ..
                } => {
                    let key = (task, attempt);
                    self.ended_open.remove(&key);
                    if let Some(link) = self.workers.get(&worker).and_then(Worker::link) {
                        link.acknowledge(key);
                    }
                }
                Record::JobDone { .. } => {}
            }
        }
    }

    fn send_start(&mut self, id: &TaskId, attempt: Attempt) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.attempt != attempt || run.phase != Phase::Journaling {
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
        run.phase = Phase::Ordered;
        let assignment = Assignment {
            task: id.clone(),
            attempt,
            worker: run.worker.clone(),
            resources: run.resources,
        };
        link.start(assignment, payload);
    }

    /// Records that a run has ended or was never started.
    pub fn finish_run(&mut self, id: &TaskId, result: TaskResult) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        self.record_end(id, &run, result);
        self.scheduler
            .record_end(id, run.attempt, result, self.shared.now_ms());
        self.after_end(id, result);
    }

    /// Journals the end of a run that is removed from the list of runs.
    pub fn record_end(&mut self, id: &TaskId, run: &Run, result: TaskResult) {
        self.shared.counters.ended_runs.add(1);
        self.ended_open.insert((id.clone(), run.attempt));
        self.journal.push(vec![Record::Ended {
            task: id.clone(),
            attempt: run.attempt,
            worker: run.worker.clone(),
            result,
        }]);
    }

    /// Brings the job of an ended run up to date.
    pub fn after_end(&mut self, id: &TaskId, result: TaskResult) {
        self.dirty = true;
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
        let broken = matches!(
            result,
            TaskResult::NotStarted | TaskResult::Lost | TaskResult::Failed
        );
        if job.spec.kind == JobKind::Gang && broken {
            // A gang runs whole or not at all.
            let rest: Vec<_> = job
                .running
                .iter()
                .map(|index| task(&id.job, *index))
                .collect();
            for id in &rest {
                self.stop_run(id);
            }
        }
        self.finish_job_if_done(&id.job);
    }

    /// Stops a run, wherever its start has got to.
    pub fn stop_run(&mut self, id: &TaskId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.stopping = true;
        let key = (id.clone(), run.attempt);
        let (phase, worker) = (run.phase, run.worker.clone());
        let link = self.workers.get(&worker).and_then(Worker::link);
        match phase {
            // Found when the record is durable.
            Phase::Journaling => {}
            Phase::Ordered if link.is_some_and(|link| link.take_back(&key)) => {
                self.finish_run(id, TaskResult::Stopped);
            }
            _ => self.command(&worker, key, RunCommand::Stop),
        }
    }

    pub fn command(&self, worker: &WorkerId, run: RunKey, command: RunCommand) {
        if let Some(link) = self.workers.get(worker).and_then(Worker::link) {
            link.command(run, command);
        }
    }

    fn publish(&self) {
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
        *lock(&self.handle.figures) = Some(PoolMetrics {
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

pub(crate) fn task(job: &JobId, index: u32) -> TaskId {
    TaskId {
        job: job.clone(),
        index,
    }
}
