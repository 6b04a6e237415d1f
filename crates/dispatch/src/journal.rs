//! The leader's journal: stores the states of jobs and renews the leader's row.
//!
//! Every transaction is conditional on the leader's row and replaces it. A deposed leader therefore writes nothing, and
//! a transaction whose response was lost can be sent again: whichever copy comes second fails its condition and finds
//! the row of the first. Ends of runs are acknowledged to the workers, and starts are sent, only after they are stored
//! here.

use {
    crate::{
        Timing,
        commit_copies::commit_with_copies,
        election::{encode_leader, leader_txn},
        events::{CHECKPOINT_TOO_LONG, JOB_ENDED, JOURNAL_CONFLICT, ROW_REFUSED, SLOW_COMMIT},
        orders::{Order, StartTimes},
        row_writes::{RowWrite, job_writes, split_writes},
        rows::{
            LEADER_TABLE, LEASES_ROW, LOAD_ROW, LeaderRow, OwnedState, RUN_TIMES_ROW,
            WORKERS_TABLE, main_key, to_json,
        },
        term::Term,
    },
    async_channel::{Receiver, Sender},
    async_lock::Mutex as AsyncMutex,
    ragwortreel_model::JobId,
    ragwortreel_platform::{PlatformError, ResponseTimes, TxnOutcome, Write},
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms, timeout_ms},
    ragwortreel_workflow::{JobChange, RunTimesRow, StartOrder},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::{Arc, Mutex, atomic::Ordering},
    },
};

/// Maximum size of the rows of workers that one transaction publishes, in bytes.
const MAX_PUBLISHED_BYTES: usize = 200_000;
/// Delay before a transaction is sent again, in ms: a tenth of the longest start window.
const COMMIT_RETRY_MS: u64 = 100;
/// Interval between two publications of the load, in ms.
const LOAD_INTERVAL_MS: u64 = 500;
/// Minimum interval between two publications of the learned run times, in ms. Only the next leader reads them.
const RUN_TIMES_INTERVAL_MS: u64 = 2_000;
/// Timeout of storing the release of leadership before a planned stop, in ms.
const RELEASE_TIMEOUT_MS: u64 = 1_500;
/// Duration from which a transaction is logged, in ms: half of the longest start window. Slower transactions cause
/// delays that callers see, and as each takes at least this long, there are at most two lines a second.
const SLOW_COMMIT_MS: u64 = 500;

/// Result of a transaction of the journal.
enum CommitResult {
    Stored,
    /// The store refuses the transaction for good, for this reason.
    Refused(Arc<str>),
    TermOver,
}

/// Rows of the leader as of the last commit.
struct LastCommit {
    row: LeaderRow,
    version: u64,
    renewed_ms: u64,
    load_published_ms: u64,
    /// Published run times, and the time of their last comparison with the current ones, in ms.
    run_times: RunTimesRow,
    run_times_compared_ms: u64,
    /// Duration of the slowest recent transaction, in ms; decays with each transaction.
    recent_max_ms: u64,
    /// Durations of single copies of transactions; `recent_max_ms` includes the time until the answered copy was sent.
    response_times: ResponseTimes,
    /// Published rows of the workers by name, and the value of `Term::workers_changed` that they reflect.
    workers: BTreeMap<String, String>,
    workers_changed: u64,
}

/// State of the journal: the last commit, and the starts and waiters for the next one.
pub(crate) struct Journal {
    last_commit: AsyncMutex<LastCommit>,
    commit_waiters: Mutex<Vec<Sender<()>>>,
    /// Starts to send once they are stored, with the times of their decisions in ms.
    starts: Mutex<Vec<(StartOrder, u64)>>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Journal {
    pub(crate) fn new(row: LeaderRow, version: u64) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let last_commit = LastCommit {
            row,
            version,
            renewed_ms: boot_ms(),
            load_published_ms: 0,
            run_times: RunTimesRow::default(),
            run_times_compared_ms: 0,
            recent_max_ms: 0,
            response_times: ResponseTimes::default(),
            workers: BTreeMap::new(),
            workers_changed: 0,
        };
        Self {
            last_commit: AsyncMutex::new(last_commit),
            commit_waiters: Mutex::default(),
            starts: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }

    /// Requests a transaction before the next renewal.
    pub(crate) fn wake(&self) {
        // One queued wake-up covers any number of requests.
        let _ = self.wake_tx.try_send(());
    }

    /// Returns a channel that closes once all current changes of the scheduler are stored.
    pub(crate) fn when_stored(&self) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        lock(&self.commit_waiters).push(tx);
        self.wake();
        rx
    }

    /// Queues a start that is sent once all current changes of the scheduler are stored.
    pub(crate) fn send_when_stored(&self, start: StartOrder, decided_ms: u64) {
        lock(&self.starts).push((start, decided_ms));
    }

    /// Stores that leadership is released. Returns false if that failed; other instances then take over only after
    /// the takeover time.
    pub(crate) async fn release(&self, term: &Term) -> bool {
        let released = timeout_ms(RELEASE_TIMEOUT_MS, async {
            let mut last_commit = self.last_commit.lock().await;
            last_commit.row.released = true;
            last_commit.row.extends_no_leases = true;
            let published = term.published_writes(&mut last_commit).into_iter();
            let rows = published.map(|it| it.write).collect();
            let result = term.commit_with_renewal(&mut last_commit, rows).await;
            matches!(result, CommitResult::Stored)
        });
        released.await.unwrap_or(false)
    }
}

impl Term {
    /// Stores changes as they come, and renews the leader's row.
    pub(crate) async fn run_journal(self: Arc<Self>) {
        let timing = &self.cell.cfg.timing;
        while !self.is_over() {
            // A timeout means that a renewal is due.
            let _ = timeout_ms(timing.renewal_interval_ms, self.journal.wake_rx.recv()).await;
            let mut last_commit = self.journal.last_commit.lock().await;
            if last_commit.row.released {
                return;
            }
            // Waiters are taken before the changes, so that the changes include everything that the waiters wait for.
            let waiters = mem::take(&mut *lock(&self.journal.commit_waiters));
            let mut starts = mem::take(&mut *lock(&self.journal.starts));
            let (mut changes, long) = {
                let mut scheduler = lock(&self.scheduler);
                (
                    scheduler.take_changes(),
                    scheduler.take_jobs_with_long_checkpoints(),
                )
            };
            for job in long {
                log_event!(self.cell.deps.log, CHECKPOINT_TOO_LONG; "job" => job.to_string());
            }
            // Changes are sorted by priority, because they may take several transactions, and a slow store delays the
            // later ones.
            changes.sort_by_key(|change| change.priority);
            let is_due = boot_ms() >= last_commit.renewed_ms + timing.renewal_interval_ms;
            let leases = self.leases_write();
            if changes.is_empty() && starts.is_empty() && leases.is_none() && !is_due {
                drop(waiters);
                continue;
            }
            let mut writes = self.published_writes(&mut last_commit);
            writes.extend(leases);
            {
                let stored = lock(&self.stored_segments);
                let none = BTreeSet::new();
                for change in &changes {
                    let stored = stored.get(&change.job).unwrap_or(&none);
                    writes.extend(job_writes(change, stored));
                }
            }
            let Some(refused) = self
                .store_writes(&mut last_commit, &changes, &writes, &mut starts)
                .await
            else {
                return;
            };
            drop(last_commit);
            if refused.is_empty() {
                drop(waiters);
            } else {
                // The ends of the refused jobs are acknowledged only after their final state is stored.
                lock(&self.journal.commit_waiters).extend(waiters);
                self.journal.wake();
            }
            // The changes of these jobs were stored by earlier transactions.
            starts.retain(|start| !refused.contains(&start.0.task.step.job));
            self.send_starts(starts);
            sleep_ms(timing.min_commit_interval_ms).await;
        }
    }

    /// Stores writes in as few transactions as possible, sends the starts of each job whose changes are stored, and returns
    /// the jobs whose changes the store refuses for good; `None` when the term is over.
    ///
    /// A transaction is refused as a whole, so a refused one is divided until the write at fault is found. The others
    /// are stored without it.
    async fn store_writes(
        &self,
        last_commit: &mut LastCommit,
        changes: &[JobChange],
        writes: &[RowWrite],
        starts: &mut Vec<(StartOrder, u64)>,
    ) -> Option<BTreeSet<JobId>> {
        let changes: BTreeMap<&JobId, &JobChange> =
            changes.iter().map(|change| (&change.job, change)).collect();
        let mut refused = BTreeSet::new();
        let mut batches = split_writes(writes);
        batches.reverse();
        while let Some(batch) = batches.pop() {
            let wanted = |it: &&RowWrite| it.job.as_ref().is_none_or(|job| !refused.contains(job));
            let rows: Vec<Write> = batch
                .iter()
                .filter(wanted)
                .map(|it| it.write.clone())
                .collect();
            match self.commit_with_renewal(last_commit, rows).await {
                CommitResult::Stored => {
                    let is_complete = |it: &&RowWrite| it.is_last && wanted(it);
                    let complete = batch
                        .iter()
                        .filter(is_complete)
                        .filter_map(|it| it.job.as_ref());
                    let jobs: BTreeSet<&JobId> = complete.collect();
                    self.record_segments(batch.iter().filter(wanted));
                    if batch.iter().any(RowWrite::is_of_leases) {
                        lock(&self.unanswered).record_stored();
                    }
                    let is_stored =
                        |start: &mut (StartOrder, u64)| jobs.contains(&start.0.task.step.job);
                    self.send_starts(starts.extract_if(.., is_stored).collect());
                    self.record_stored(jobs.iter().filter_map(|job| changes.get(job).copied()));
                }
                CommitResult::TermOver => return None,
                CommitResult::Refused(_) if batch.len() > 1 => {
                    let (first, second) = batch.split_at(batch.len() / 2);
                    batches.extend([second, first]);
                }
                CommitResult::Refused(problem) => {
                    for it in batch {
                        refused.extend(self.drop_refused_write(it, &problem));
                    }
                }
            }
        }
        Some(refused)
    }

    /// Gives up a write that the store refuses for good. A job that it belongs to fails and is returned.
    fn drop_refused_write(&self, it: &RowWrite, problem: &str) -> Option<JobId> {
        log_event!(self.cell.deps.log, ROW_REFUSED; "row" => it.write.key.to_string(),
            "bytes" => it.bytes(), "problem" => problem.to_owned(), "term" => self.number);
        self.cell.deps.metrics.record_refused_row("journal");
        let job = it.job.clone()?;
        lock(&self.scheduler).fail_unstorable(&job, boot_ms());
        Some(job)
    }

    /// Queues stored starts for their workers.
    fn send_starts(&self, starts: Vec<(StartOrder, u64)>) {
        let stored_ms = boot_ms();
        for (start, decided_ms) in starts {
            let times = StartTimes {
                decided_ms,
                stored_ms,
            };
            self.send_order(&start.worker.clone(), Order::Start(start, times));
        }
    }

    /// Records stored states, and removes finished jobs from the scheduler.
    fn record_stored<'a>(&self, changes: impl Iterator<Item = &'a JobChange> + Clone) {
        self.record_stored_states(changes.clone().map(|it| {
            let state = OwnedState {
                state: it.state,
                workspace: it.workspace.clone(),
            };
            (it.job.clone(), state)
        }));
        for change in changes.filter(|change| change.state.is_final()) {
            log_event!(self.cell.deps.log, JOB_ENDED; "job" => change.job.to_string(),
                "queue" => change.queue.to_string(), "state" => change.state.to_string(),
                "age_ms" => change.age_ms, "term" => self.number);
            let state = change.state.to_string();
            let metrics = &self.cell.deps.metrics;
            metrics.record_job_end(&change.queue, &state, change.age_ms);
            self.finish_job(&change.job);
        }
    }

    /// Commits rows with a renewal of the leader's row, and retries until they are certainly stored, the store refuses them
    /// for good, or the term is over.
    async fn commit_with_renewal(
        &self,
        last_commit: &mut LastCommit,
        rows: Vec<Write>,
    ) -> CommitResult {
        let has_rows = !rows.is_empty();
        let mut row = last_commit.row.clone();
        row.renewal += 1;
        row.takeover_ms = Timing::takeover_ms(last_commit.recent_max_ms);
        // Other instances may read a shorter takeover time from now on; a longer one counts only once it is certainly
        // stored.
        self.shorten_start_window(row.takeover_ms);
        let mut txn = leader_txn(&row, last_commit.version);
        txn.writes.extend(rows);
        let bytes = txn.bytes();
        let started_ms = boot_ms();
        let mut attempts = 0;
        loop {
            let is_over = || self.is_over();
            let answer = commit_with_copies(
                started_ms,
                bytes,
                &last_commit.response_times,
                is_over,
                || {
                    attempts += 1;
                    let call = self.cell.deps.table.commit(txn.clone());
                    async move {
                        let result = call.await;
                        // Each failure is recorded here, because during a silence no copy is the last one.
                        if let Err(err) = &result {
                            self.cell.health.record_failure("journal", err);
                        }
                        result
                    }
                },
            );
            let mut sent_ms = started_ms;
            let outcome = answer.await.map(|(counts_from_ms, outcome)| {
                sent_ms = counts_from_ms;
                outcome
            });
            let version = match outcome {
                Ok(TxnOutcome::Committed { versions }) => versions.first().copied(),
                Ok(TxnOutcome::Conflict { current }) => {
                    let expected = encode_leader(&row);
                    let found = current.iter().find(|found| found.value == expected);
                    if found.is_none() {
                        log_event!(self.cell.deps.log, JOURNAL_CONFLICT; "term" => self.number);
                        self.step_down("the leader's row was changed by another instance");
                        return CommitResult::TermOver;
                    }
                    found.map(|found| found.version)
                }
                Err(PlatformError::Refused { problem, .. }) if has_rows => {
                    return CommitResult::Refused(problem);
                }
                Err(err) => {
                    // Only the first retry of a transaction that may have taken effect is sent without a delay;
                    // otherwise an outage that resets connections causes two hundred attempts a second.
                    if attempts > 1 || !matches!(err, PlatformError::Unknown { .. }) {
                        sleep_ms(COMMIT_RETRY_MS).await;
                    }
                    None
                }
            };
            if let Some(version) = version {
                self.cell.health.record_success("journal");
                let took_ms = boot_ms().saturating_sub(started_ms);
                self.cell.deps.metrics.record_commit(took_ms);
                lock(&self.stats).record_transaction(took_ms, bytes);
                if took_ms >= SLOW_COMMIT_MS {
                    log_event!(self.cell.deps.log, SLOW_COMMIT; "term" => self.number,
                        "took_ms" => took_ms, "attempts" => attempts,
                        "rows" => txn.writes.len());
                }
                self.record_renewal(sent_ms);
                self.set_start_window(row.takeover_ms);
                // The maximum decays by a tenth with each transaction, so that a slow one counts for some seconds.
                last_commit.recent_max_ms = took_ms.max(last_commit.recent_max_ms * 9 / 10);
                last_commit.renewed_ms = sent_ms;
                last_commit.row = row;
                last_commit.version = version;
                return CommitResult::Stored;
            }
            if self.is_over() {
                return CommitResult::TermOver;
            }
        }
    }

    /// Write of the leases of workers that do not answer, if they have changed. None is stored before the recovery, when
    /// workers of the former term may be unknown.
    fn leases_write(&self) -> Option<RowWrite> {
        if !self.has_recovered() {
            return None;
        }
        let row = lock(&self.unanswered).next_row(self.number, boot_ms())?;
        let key = main_key(WORKERS_TABLE, LEASES_ROW);
        Some(RowWrite::published(key, to_json(&row).into()))
    }

    /// Rows of the load, the workers and the run times, which the leader publishes to the other instances. They are stored
    /// by the next transaction, which is retried until the term is over, so they count as stored. Rows of workers beyond
    /// the size of a transaction follow in the next one.
    fn published_writes(&self, last_commit: &mut LastCommit) -> Vec<RowWrite> {
        let now_ms = boot_ms();
        let mut writes = Vec::new();
        let mut add = |table, name: &str, value: String| {
            writes.push(RowWrite::published(main_key(table, name), value.into()));
        };
        // The waiting jobs are unknown until the stored jobs are read.
        if self.has_recovered() && now_ms >= last_commit.load_published_ms + LOAD_INTERVAL_MS {
            last_commit.load_published_ms = now_ms;
            let mut load = lock(&self.scheduler).load();
            load.age_ms = self.jobs_age_ms();
            add(LEADER_TABLE, LOAD_ROW, to_json(&load));
        }
        if self.has_recovered()
            && now_ms >= last_commit.run_times_compared_ms + RUN_TIMES_INTERVAL_MS
        {
            last_commit.run_times_compared_ms = now_ms;
            let row = lock(&self.scheduler).run_times_row();
            if row.differs_noticeably(&last_commit.run_times) {
                add(LEADER_TABLE, RUN_TIMES_ROW, to_json(&row));
                last_commit.run_times = row;
            }
        }
        let changed = self.workers_changed.load(Ordering::Acquire);
        if changed == last_commit.workers_changed {
            return writes;
        }
        let mut bytes = 0;
        for (name, row) in self.worker_rows() {
            let value = to_json(&row);
            if last_commit.workers.get(&name) == Some(&value) {
                continue;
            }
            if bytes > 0 && bytes + value.len() > MAX_PUBLISHED_BYTES {
                return writes;
            }
            bytes += value.len();
            add(WORKERS_TABLE, &name, value.clone());
            last_commit.workers.insert(name, value);
        }
        last_commit.workers_changed = changed;
        writes
    }
}
