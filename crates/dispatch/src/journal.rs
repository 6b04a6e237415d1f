//! The leader's writes: states of jobs, and the renewal of its own row.
//!
//! Every transaction is conditional on the leader's row and replaces it, so a deposed leader writes nothing, and a
//! transaction whose answer was lost can be sent again: whichever copy comes second fails its condition and finds the
//! first one's row. Ends of runs are acknowledged to the workers, and starts are sent, only after they are stored here.

use {
    crate::{
        Timing,
        election::{encode, leader_txn},
        events::{JOB_ENDED, JOURNAL_CONFLICT, JOURNAL_SLOW},
        orders::{Order, StartTimes},
        rows::{LEADER_TABLE, LOAD_ROW, LeaderRow, StateRow, WORKERS_TABLE, json, main_key},
        term::Term,
    },
    async_channel::{Receiver, Sender},
    async_lock::Mutex as AsyncMutex,
    ragwortreel_model::JobId,
    ragwortreel_platform::{PlatformError, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms, timeout_ms},
    ragwortreel_workflow::{JobChange, StartOrder},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::{Arc, Mutex, atomic::Ordering},
    },
};

/// Rows of one transaction beside the leader's own two and those of the workers; the store takes at most 100.
const MAX_ROWS: usize = 80;
/// Bytes of their values; the store takes 1 MB, in which a value takes a third more.
const MAX_BYTES: usize = 500_000;
/// Pause before a transaction is sent again, in ms: a tenth of the longest time for which a renewal allows starts.
const RETRY_MS: u64 = 100;
/// Time between two publications of the load, in ms.
const LOAD_MS: u64 = 500;
/// Time that the renewal for a planned stop may take, in ms.
const RELEASE_MS: u64 = 1_500;
/// Duration from which a transaction gets a line of its own, in ms: half of the longest time for which a renewal allows starts.
/// Slower ones delay what callers see, and as each line takes this long, there are at most two a second.
const SLOW_MS: u64 = 500;

/// Row of the leader as it was last stored.
struct Stored {
    row: LeaderRow,
    version: u64,
    renewed_ms: u64,
    load_ms: u64,
    /// Time that the slowest of the recent transactions took, in ms.
    slow_ms: u64,
    /// Rows of the known workers, and the count of changes that they stand for.
    workers: BTreeMap<String, String>,
    workers_changed: u64,
}

/// State of the leader's writes.
pub(crate) struct Journal {
    stored: AsyncMutex<Stored>,
    acknowledgements: Mutex<Vec<Sender<()>>>,
    /// Starts that are sent once they are stored, with the times of their decisions.
    starts: Mutex<Vec<(StartOrder, u64)>>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Journal {
    pub(crate) fn new(row: LeaderRow, version: u64) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let stored = Stored {
            row,
            version,
            renewed_ms: boot_ms(),
            load_ms: 0,
            slow_ms: 0,
            workers: BTreeMap::new(),
            workers_changed: 0,
        };
        Self {
            stored: AsyncMutex::new(stored),
            acknowledgements: Mutex::default(),
            starts: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }

    /// Asks for a transaction.
    pub(crate) fn wake(&self) {
        // The channel holds one wake-up, which stands for any number.
        let _ = self.wake_tx.try_send(());
    }

    /// A channel that closes once everything that the scheduler knows by now is stored.
    pub(crate) fn when_stored(&self) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        lock(&self.acknowledgements).push(tx);
        self.wake();
        rx
    }

    /// Has a start sent once everything that the scheduler knows by now is stored.
    pub(crate) fn send_when_stored(&self, start: StartOrder, decided_ms: u64) {
        lock(&self.starts).push((start, decided_ms));
    }

    /// Tells the other instances that leadership is free; false when that could not be stored, so that they take over only
    /// after the usual time.
    pub(crate) async fn release(&self, term: &Term) -> bool {
        let released = timeout_ms(RELEASE_MS, async {
            let mut stored = self.stored.lock().await;
            stored.row.released = true;
            term.store(&mut stored, Vec::new()).await
        });
        released.await.unwrap_or(false)
    }
}

impl Term {
    /// Stores changes as they come, and renews the leader's row.
    pub(crate) async fn keep_journal(self: Arc<Self>) {
        let timing = &self.cell.cfg.timing;
        while !self.is_over() {
            // An elapsed time is the wake-up of a renewal.
            let _ = timeout_ms(timing.renewal_interval_ms, self.journal.wake_rx.recv()).await;
            let mut stored = self.journal.stored.lock().await;
            if stored.row.released {
                return;
            }
            // Acknowledgements are taken before the changes, so that these hold all that was known then.
            let acknowledged = mem::take(&mut *lock(&self.journal.acknowledgements));
            let mut starts = mem::take(&mut *lock(&self.journal.starts));
            let mut changes = lock(&self.scheduler).take_changes();
            // Of several transactions the first is stored earlier, which counts when the store is slow.
            changes.sort_by_key(|change| change.priority);
            let is_due = boot_ms() >= stored.renewed_ms + timing.renewal_interval_ms;
            if changes.is_empty() && starts.is_empty() && !is_due {
                drop(acknowledged);
                continue;
            }
            for group in groups_of(&changes) {
                let rows = group.iter().map(row_of).collect();
                if !self.store(&mut stored, rows).await {
                    return;
                }
                let jobs: BTreeSet<&JobId> = group.iter().map(|change| &change.job).collect();
                let is_stored =
                    |start: &mut (StartOrder, u64)| jobs.contains(&start.0.task.step.job);
                self.send_starts(starts.extract_if(.., is_stored).collect());
                self.note_stored(group);
            }
            drop(acknowledged);
            drop(stored);
            // The jobs of these were stored by the transactions before.
            self.send_starts(starts);
            sleep_ms(timing.min_commit_interval_ms).await;
        }
    }

    /// Sends starts that are stored.
    fn send_starts(&self, starts: Vec<(StartOrder, u64)>) {
        let stored_ms = boot_ms();
        for (start, decided_ms) in starts {
            let times = StartTimes {
                decided_ms,
                stored_ms,
            };
            self.send(&start.worker.clone(), Order::Start(start, times));
        }
    }

    /// Shows states that are stored, and forgets jobs that have ended.
    fn note_stored(&self, changes: &[JobChange]) {
        self.show(changes.iter().map(|it| (it.job.clone(), it.state)));
        for change in changes.iter().filter(|change| change.state.is_final()) {
            log_event!(self.cell.deps.log, JOB_ENDED; "job" => change.job.to_string(),
                "queue" => change.queue.to_string(), "state" => change.state.to_string(),
                "age_ms" => change.age_ms, "term" => self.number);
            let state = change.state.to_string();
            let metrics = &self.cell.deps.metrics;
            metrics.job_ended(&change.queue, &state, change.age_ms);
            self.forget(&change.job);
        }
    }

    /// Stores rows with a renewal, until it is certain that they are stored; false when the term is over.
    async fn store(&self, stored: &mut Stored, rows: Vec<Write>) -> bool {
        let mut row = stored.row.clone();
        row.renewal += 1;
        row.takeover_ms = Timing::takeover_ms(stored.slow_ms);
        // Others may see a shorter time from now on, and a longer one only once it is certain that it is stored.
        self.shorten_permission(row.takeover_ms);
        let mut txn = leader_txn(&row, stored.version);
        txn.writes.extend(rows);
        self.add_own_rows(stored, &mut txn);
        let begun_ms = boot_ms();
        let mut attempts = 0;
        loop {
            let sent_ms = boot_ms();
            attempts += 1;
            let version = match self.cell.deps.table.commit(txn.clone()).await {
                Ok(TxnOutcome::Committed { versions }) => versions.first().copied(),
                Ok(TxnOutcome::Conflict { current }) => {
                    let ours = encode(&row);
                    let found = current.iter().find(|found| found.value == ours);
                    if found.is_none() {
                        log_event!(self.cell.deps.log, JOURNAL_CONFLICT; "term" => self.number);
                        self.depose("the leader's row was changed by another instance");
                        return false;
                    }
                    found.map(|found| found.version)
                }
                Err(err) => {
                    self.cell.health.failed("journal", &err);
                    // Only the first repeat of a transaction that may have taken effect goes out at once: an outage
                    // that resets connections was met by two hundred attempts a second.
                    if attempts > 1 || matches!(err, PlatformError::NotDone { .. }) {
                        sleep_ms(RETRY_MS).await;
                    }
                    None
                }
            };
            if let Some(version) = version {
                self.cell.health.answered("journal");
                let took_ms = boot_ms().saturating_sub(begun_ms);
                self.cell.deps.metrics.journal(took_ms);
                let values = txn.writes.iter().filter_map(|write| write.value.as_ref());
                let bytes = values.map(|value| value.len()).sum();
                lock(&self.figures).transaction(took_ms, bytes);
                if took_ms >= SLOW_MS {
                    log_event!(self.cell.deps.log, JOURNAL_SLOW; "term" => self.number,
                        "took_ms" => took_ms, "attempts" => attempts,
                        "rows" => txn.writes.len());
                }
                self.renewed(sent_ms);
                self.set_permission(row.takeover_ms);
                // One in ten of the former figure is forgotten with each transaction, so some slow seconds are remembered.
                stored.slow_ms = took_ms.max(stored.slow_ms * 9 / 10);
                stored.renewed_ms = sent_ms;
                stored.row = row;
                stored.version = version;
                return true;
            }
            if self.is_over() {
                return false;
            }
        }
    }

    /// Adds the rows by which the leader informs the others. The transaction is sent until it is stored or the term is
    /// over, so the rows count as stored.
    fn add_own_rows(&self, stored: &mut Stored, txn: &mut Txn) {
        let now_ms = boot_ms();
        let mut add = |table, name: &str, value: String| {
            txn.writes.push(Write {
                key: main_key(table, name),
                value: Some(value.into()),
            });
        };
        // Before the stored jobs are read, the waiting ones are not known.
        if self.has_recovered() && now_ms >= stored.load_ms + LOAD_MS {
            stored.load_ms = now_ms;
            let mut load = lock(&self.scheduler).load();
            load.age_ms = self.jobs_age_ms();
            add(LEADER_TABLE, LOAD_ROW, json(&load));
        }
        let changed = self.workers_changed.load(Ordering::Acquire);
        if changed == stored.workers_changed {
            return;
        }
        stored.workers_changed = changed;
        for (name, row) in self.worker_rows() {
            let value = json(&row);
            if stored.workers.get(&name) != Some(&value) {
                add(WORKERS_TABLE, &name, value.clone());
                stored.workers.insert(name, value);
            }
        }
    }
}

/// The row of a changed job.
fn row_of(change: &JobChange) -> Write {
    let state = StateRow {
        state: change.state,
        progress: change.progress.clone(),
    };
    Write {
        key: Term::state_key(&change.job),
        value: Some(state.encode()),
    }
}

/// Changes divided by transactions; at least one, for the renewal.
fn groups_of(changes: &[JobChange]) -> Vec<&[JobChange]> {
    let mut groups = Vec::new();
    let (mut begin, mut bytes) = (0, 0);
    for (index, change) in changes.iter().enumerate() {
        let size = change.progress.estimated_bytes();
        if index - begin >= MAX_ROWS || (index > begin && bytes + size > MAX_BYTES) {
            groups.push(&changes[begin..index]);
            (begin, bytes) = (index, 0);
        }
        bytes += size;
    }
    groups.push(&changes[begin..]);
    groups
}
