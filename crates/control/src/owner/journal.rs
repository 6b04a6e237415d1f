//! The write-ahead journal of a pool: records become durable before they are acted on.
//!
//! At most one write is in flight. Each write checks the pool's row, so that a replaced owner cannot append records,
//! and its own key, so that a repeat after a lost answer cannot append them twice.

use {
    crate::{
        events::{JOURNAL_BLOCKED, SNAPSHOT_FAILED},
        owner::{
            Message, OwnerHandle,
            progress::{JournalRecord, PoolProgress},
        },
        rows::{self, SnapshotRow},
        shared::Shared,
        store::{CommitOutcome, commit_until_known, with_timeout},
    },
    async_channel::Sender,
    ragwortreel_platform::Txn,
    ragwortreel_runtime::{log_event, sleep_ms, spawn},
    std::{mem, sync::Arc},
};

/// Largest size of the records in one row, in bytes; a transaction holds at most 256 KB.
const MAX_ROW_BYTES: usize = 200 * 1024;
/// Journal rows removed in one transaction, which holds at most 100 rows.
const ROWS_PER_REMOVAL: usize = 90;
/// Longest delay before a refused write is repeated, in ms.
const RETRY_MAX_MS: u64 = 1_000;

/// Records that must be written in the same row.
type RecordGroup = Vec<JournalRecord>;

pub(crate) struct Journal {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    tx: Sender<Message>,
    row_version: u64,
    pending: Vec<RecordGroup>,
    in_flight: Option<Vec<JournalRecord>>,
    last_seq: u64,
    last_flush_ms: u64,
    /// Progress according to all durable records.
    pub durable: PoolProgress,
    /// Keys of the journal rows that are not removed yet.
    rows: Vec<Arc<str>>,
    records_since_snapshot: usize,
    last_snapshot_ms: u64,
    /// Latest snapshot with the version of its row.
    snapshot: Option<(SnapshotRow, u64)>,
    snapshot_in_flight: bool,
}

/// Journal state read by the recovery of a pool.
pub(crate) struct RecoveredJournal {
    pub progress: PoolProgress,
    /// Keys of the journal rows.
    pub rows: Vec<Arc<str>>,
    /// Latest snapshot with the version of its row.
    pub snapshot: Option<(SnapshotRow, u64)>,
}

impl Journal {
    pub fn new(
        shared: &Arc<Shared>,
        handle: &Arc<OwnerHandle>,
        tx: Sender<Message>,
        row_version: u64,
        recovered: RecoveredJournal,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            handle: Arc::clone(handle),
            tx,
            row_version,
            pending: Vec::new(),
            in_flight: None,
            last_seq: 0,
            last_flush_ms: 0,
            durable: recovered.progress,
            records_since_snapshot: recovered.rows.len(),
            rows: recovered.rows,
            last_snapshot_ms: shared.now_ms(),
            snapshot: recovered.snapshot,
            snapshot_in_flight: false,
        }
    }

    pub fn push(&mut self, group: RecordGroup) {
        self.pending.push(group);
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    pub fn unflushed(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, Vec::len);
        self.pending.iter().map(Vec::len).sum::<usize>() + in_flight
    }

    /// Starts a write if records are pending, no write is in flight and the flush interval has passed.
    pub fn flush_if_due(&mut self) {
        let now_ms = self.shared.now_ms();
        let due = now_ms >= self.last_flush_ms + self.shared.cfg.timings.journal_flush_ms;
        if self.pending.is_empty() || self.in_flight.is_some() || !due {
            return;
        }
        self.last_flush_ms = now_ms;
        let records = self.next_batch();
        self.last_seq += 1;
        let key = rows::journal_key(&self.handle.pool, self.handle.epoch(), self.last_seq);
        let pool_key = rows::pool_key(&self.handle.pool);
        let txn = Txn {
            checks: vec![
                rows::check(&key, 0),
                rows::check(&pool_key, self.row_version),
            ],
            writes: vec![rows::put(&key, &records)],
        };
        self.rows.push(key);
        self.in_flight = Some(records);
        let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
        let tx = self.tx.clone();
        spawn(async move {
            let durable = write_until_known(&shared, &handle, &txn).await;
            let _ = tx.send(Message::JournalFlushed { durable }).await;
        })
        .detach();
    }

    fn next_batch(&mut self) -> Vec<JournalRecord> {
        let mut bytes = 0;
        let fits = |group: &RecordGroup| {
            // The names in a record, of at most 128 bytes each, make up most of its encoded length.
            bytes += group
                .iter()
                .map(|record| rows::encode(record).len() + 1)
                .sum::<usize>();
            bytes <= MAX_ROW_BYTES
        };
        let count = self
            .pending
            .iter()
            .map(fits)
            .take_while(|fits| *fits)
            .count()
            .max(1);
        self.pending.drain(..count).flatten().collect()
    }

    /// Completes a successful write and returns its records.
    pub fn complete_flush(&mut self) -> Vec<JournalRecord> {
        self.shared.counters.journal_writes.add(1);
        let records = mem::take(&mut self.in_flight).unwrap_or_default();
        for record in &records {
            self.durable.apply(record);
        }
        self.records_since_snapshot += records.len();
        records
    }

    /// Starts a snapshot of the durable records if one is due.
    pub fn snapshot_if_due(&mut self) {
        let now_ms = self.shared.now_ms();
        let (timings, limits) = (&self.shared.cfg.timings, &self.shared.cfg.limits);
        let by_time = now_ms >= self.last_snapshot_ms + timings.snapshot_ms
            && self.records_since_snapshot > 0;
        let by_count = self.records_since_snapshot >= limits.snapshot_records;
        if self.snapshot_in_flight || self.in_flight.is_some() || !(by_time || by_count) {
            return;
        }
        self.snapshot_in_flight = true;
        self.last_snapshot_ms = now_ms;
        self.records_since_snapshot = 0;
        let writer = SnapshotWriter {
            shared: Arc::clone(&self.shared),
            handle: Arc::clone(&self.handle),
            row_version: self.row_version,
            progress: self.durable.clone(),
            rows: mem::take(&mut self.rows),
            at: SnapshotRow {
                epoch: self.handle.epoch(),
                seq: self.last_seq,
            },
            previous: self.snapshot.clone(),
        };
        let tx = self.tx.clone();
        spawn(async move {
            let (at, rows) = writer.run().await;
            let _ = tx.send(Message::SnapshotFinished { at, rows }).await;
        })
        .detach();
    }

    /// Completes a snapshot; `rows` holds the journal rows that are still to be removed.
    pub fn snapshot_finished(&mut self, at: Option<(SnapshotRow, u64)>, mut rows: Vec<Arc<str>>) {
        self.snapshot_in_flight = false;
        match at {
            Some(at) => self.snapshot = Some(at),
            None => self.records_since_snapshot += rows.len(),
        }
        rows.append(&mut self.rows);
        self.rows = rows;
    }
}

/// Writes until the outcome is known; returns whether the records are durable.
async fn write_until_known(shared: &Shared, handle: &OwnerHandle, txn: &Txn) -> bool {
    let should_retry = || !handle.is_ownership_ended() && !shared.stop.is_requested();
    let mut wait_ms = shared.cfg.timings.journal_flush_ms;
    loop {
        match commit_until_known(&*shared.table, txn, should_retry).await {
            CommitOutcome::Committed { .. } => {
                handle.set_journal_blocked(false);
                return true;
            }
            CommitOutcome::NotDone { problem } if should_retry() => {
                if !handle.set_journal_blocked(true) {
                    log_event!(shared.log, JOURNAL_BLOCKED; "pool" => handle.pool.as_str(),
                        "error" => &*problem);
                }
            }
            _ => return false,
        }
        sleep_ms(fastrand::u64(wait_ms / 2..=wait_ms)).await;
        wait_ms = (wait_ms * 2).min(RETRY_MAX_MS);
    }
}

struct SnapshotWriter {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    row_version: u64,
    progress: PoolProgress,
    rows: Vec<Arc<str>>,
    at: SnapshotRow,
    previous: Option<(SnapshotRow, u64)>,
}

impl SnapshotWriter {
    /// Returns the new snapshot with its row's version if it was committed, and the journal rows that were not
    /// removed.
    async fn run(mut self) -> (Option<(SnapshotRow, u64)>, Vec<Arc<str>>) {
        let object = rows::snapshot_object(&self.handle.pool, &self.at);
        let content = rows::encode(&self.progress).as_bytes().to_vec();
        let put = with_timeout("write snapshot", self.shared.objects.put(&object, content)).await;
        if let Err(err) = put {
            log_event!(self.shared.log, SNAPSHOT_FAILED; "error" => err.to_string());
            return (None, self.rows);
        }
        let key = rows::snapshot_key(&self.handle.pool);
        let version = self.previous.as_ref().map_or(0, |(_, version)| *version);
        let removed: Vec<_> = self
            .rows
            .drain(..self.rows.len().min(ROWS_PER_REMOVAL))
            .collect();
        let mut txn = Txn {
            checks: vec![rows::check(&key, version), self.ownership_check()],
            writes: vec![rows::put(&key, &self.at)],
        };
        txn.writes.extend(removed.iter().map(rows::delete));
        let should_retry = || !self.handle.is_ownership_ended() && !self.shared.stop.is_requested();
        let outcome = commit_until_known(&*self.shared.table, &txn, should_retry).await;
        let version = match outcome {
            CommitOutcome::Committed {
                versions: Some(versions),
            } => versions.first().copied(),
            CommitOutcome::Committed { versions: None } => self.read_version(&key).await,
            _ => None,
        };
        let Some(version) = version else {
            self.rows.splice(0..0, removed);
            return (None, self.rows);
        };
        self.shared.counters.snapshots.add(1);
        self.remove_covered().await;
        if let Some((at, _)) = &self.previous {
            let object = rows::snapshot_object(&self.handle.pool, at);
            let _ = with_timeout("delete snapshot", self.shared.objects.delete(&object)).await;
        }
        (Some((self.at.clone(), version)), self.rows)
    }

    fn ownership_check(&self) -> ragwortreel_platform::Check {
        rows::check(&rows::pool_key(&self.handle.pool), self.row_version)
    }

    async fn read_version(&self, key: &str) -> Option<u64> {
        let row = with_timeout("read snapshot row", self.shared.table.get(key)).await;
        row.ok().flatten().map(|row| row.version)
    }

    /// Removes further rows that the snapshot covers; rows that remain are removed with the next snapshot.
    async fn remove_covered(&mut self) {
        while !self.rows.is_empty() {
            let count = self.rows.len().min(ROWS_PER_REMOVAL);
            let txn = Txn {
                checks: vec![self.ownership_check()],
                writes: self.rows[..count].iter().map(rows::delete).collect(),
            };
            if with_timeout("remove journal rows", self.shared.table.commit(txn))
                .await
                .is_err()
            {
                return;
            }
            self.rows.drain(..count);
        }
    }
}
