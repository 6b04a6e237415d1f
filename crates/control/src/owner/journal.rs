//! The journal of a pool: records that are made durable before they are acted on.
//!
//! One write is in flight at a time. Each write checks the pool's row, so an owner that was replaced cannot add
//! records, and its own key, so that a repeat after a lost answer cannot add them twice.

use {
    crate::{
        events::{JOURNAL_BLOCKED, SNAPSHOT_FAILED},
        owner::{
            Message, OwnerHandle,
            ledger::{Ledger, Record},
        },
        rows::{self, SnapshotRow},
        shared::Shared,
        store::{Definite, commit_definite, limited},
    },
    async_channel::Sender,
    ragwortreel_platform::Txn,
    ragwortreel_runtime::{log_event, sleep_ms, spawn},
    std::{mem, sync::Arc},
};

/// Most bytes of records in one row; a transaction holds 256 KB.
const MAX_ROW_BYTES: usize = 200 * 1024;
/// Journal rows removed in one transaction, which holds at most 100 rows.
const REMOVED_ROWS: usize = 90;
/// Longest wait before a refused write is repeated, in ms.
const RETRY_MAX_MS: u64 = 1_000;

/// Records that stay together in one row.
type Group = Vec<Record>;

pub(crate) struct Journal {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    tx: Sender<Message>,
    row_version: u64,
    pending: Vec<Group>,
    in_flight: Option<Vec<Record>>,
    last_seq: u64,
    flushed_ms: u64,
    /// State after the last durable record.
    pub durable: Ledger,
    rows: Vec<Arc<str>>,
    since_snapshot: usize,
    snapshot_ms: u64,
    snapshot: Option<(SnapshotRow, u64)>,
    snapshotting: bool,
}

/// What recovery read of an earlier journal.
pub(crate) struct Recovered {
    pub ledger: Ledger,
    pub rows: Vec<Arc<str>>,
    pub snapshot: Option<(SnapshotRow, u64)>,
}

impl Journal {
    pub fn new(
        shared: &Arc<Shared>,
        handle: &Arc<OwnerHandle>,
        tx: Sender<Message>,
        row_version: u64,
        recovered: Recovered,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            handle: Arc::clone(handle),
            tx,
            row_version,
            pending: Vec::new(),
            in_flight: None,
            last_seq: 0,
            flushed_ms: 0,
            durable: recovered.ledger,
            since_snapshot: recovered.rows.len(),
            rows: recovered.rows,
            snapshot_ms: shared.now_ms(),
            snapshot: recovered.snapshot,
            snapshotting: false,
        }
    }

    pub fn push(&mut self, group: Group) {
        self.pending.push(group);
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    pub fn unflushed(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, Vec::len);
        self.pending.iter().map(Vec::len).sum::<usize>() + in_flight
    }

    /// Starts a write when records wait, none is in flight and the last one is long enough ago.
    pub fn flush_if_due(&mut self) {
        let now_ms = self.shared.now_ms();
        let due = now_ms >= self.flushed_ms + self.shared.cfg.timings.journal_flush_ms;
        if self.pending.is_empty() || self.in_flight.is_some() || !due {
            return;
        }
        self.flushed_ms = now_ms;
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
            let durable = write(&shared, &handle, &txn).await;
            let _ = tx.send(Message::Flushed { durable }).await;
        })
        .detach();
    }

    fn next_batch(&mut self) -> Vec<Record> {
        let mut bytes = 0;
        let fits = |group: &Group| {
            // An encoded record is at most about as long as its names, which are at most 128 bytes each.
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

    /// Takes the records of the write that has ended well.
    pub fn flushed(&mut self) -> Vec<Record> {
        self.shared.counters.journal_writes.add(1);
        let records = mem::take(&mut self.in_flight).unwrap_or_default();
        for record in &records {
            self.durable.apply(record);
        }
        self.since_snapshot += records.len();
        records
    }

    /// Starts a snapshot when one is due; it covers the durable records.
    pub fn snapshot_if_due(&mut self) {
        let now_ms = self.shared.now_ms();
        let (timings, limits) = (&self.shared.cfg.timings, &self.shared.cfg.limits);
        let by_time = now_ms >= self.snapshot_ms + timings.snapshot_ms && self.since_snapshot > 0;
        let by_count = self.since_snapshot >= limits.snapshot_records;
        if self.snapshotting || self.in_flight.is_some() || !(by_time || by_count) {
            return;
        }
        self.snapshotting = true;
        self.snapshot_ms = now_ms;
        self.since_snapshot = 0;
        let job = Snapshot {
            shared: Arc::clone(&self.shared),
            handle: Arc::clone(&self.handle),
            row_version: self.row_version,
            ledger: self.durable.clone(),
            rows: mem::take(&mut self.rows),
            at: SnapshotRow {
                epoch: self.handle.epoch(),
                seq: self.last_seq,
            },
            earlier: self.snapshot.clone(),
        };
        let tx = self.tx.clone();
        spawn(async move {
            let (at, rows) = job.run().await;
            let _ = tx.send(Message::Snapshotted { at, rows }).await;
        })
        .detach();
    }

    /// Takes the result of a snapshot and the journal rows that are still to be removed.
    pub fn snapshotted(&mut self, at: Option<(SnapshotRow, u64)>, mut rows: Vec<Arc<str>>) {
        self.snapshotting = false;
        match at {
            Some(at) => self.snapshot = Some(at),
            None => self.since_snapshot += rows.len(),
        }
        rows.append(&mut self.rows);
        self.rows = rows;
    }
}

/// Writes until the outcome is known; returns whether the records are durable.
async fn write(shared: &Shared, handle: &OwnerHandle, txn: &Txn) -> bool {
    let keep_on = || !handle.is_dropped() && !shared.stop.is_requested();
    let mut wait_ms = shared.cfg.timings.journal_flush_ms;
    loop {
        match commit_definite(&*shared.table, txn, keep_on).await {
            Definite::Committed { .. } => {
                handle.set_blocked(false);
                return true;
            }
            Definite::NotDone { problem } if keep_on() => {
                if !handle.set_blocked(true) {
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

struct Snapshot {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    row_version: u64,
    ledger: Ledger,
    rows: Vec<Arc<str>>,
    at: SnapshotRow,
    earlier: Option<(SnapshotRow, u64)>,
}

impl Snapshot {
    /// Returns the new snapshot with its row's version, if it is in force, and the rows not removed.
    async fn run(mut self) -> (Option<(SnapshotRow, u64)>, Vec<Arc<str>>) {
        let object = rows::snapshot_object(&self.handle.pool, &self.at);
        let content = rows::encode(&self.ledger).as_bytes().to_vec();
        let put = limited("write snapshot", self.shared.objects.put(&object, content)).await;
        if let Err(err) = put {
            log_event!(self.shared.log, SNAPSHOT_FAILED; "error" => err.to_string());
            return (None, self.rows);
        }
        let key = rows::snapshot_key(&self.handle.pool);
        let version = self.earlier.as_ref().map_or(0, |(_, version)| *version);
        let removed: Vec<_> = self
            .rows
            .drain(..self.rows.len().min(REMOVED_ROWS))
            .collect();
        let mut txn = Txn {
            checks: vec![rows::check(&key, version), self.own_check()],
            writes: vec![rows::put(&key, &self.at)],
        };
        txn.writes.extend(removed.iter().map(rows::delete));
        let keep_on = || !self.handle.is_dropped() && !self.shared.stop.is_requested();
        let definite = commit_definite(&*self.shared.table, &txn, keep_on).await;
        let version = match definite {
            Definite::Committed {
                versions: Some(versions),
            } => versions.first().copied(),
            Definite::Committed { versions: None } => self.read_version(&key).await,
            _ => None,
        };
        let Some(version) = version else {
            self.rows.splice(0..0, removed);
            return (None, self.rows);
        };
        self.shared.counters.snapshots.add(1);
        self.remove_covered().await;
        if let Some((at, _)) = &self.earlier {
            let object = rows::snapshot_object(&self.handle.pool, at);
            let _ = limited("delete snapshot", self.shared.objects.delete(&object)).await;
        }
        (Some((self.at.clone(), version)), self.rows)
    }

    fn own_check(&self) -> ragwortreel_platform::Check {
        rows::check(&rows::pool_key(&self.handle.pool), self.row_version)
    }

    async fn read_version(&self, key: &str) -> Option<u64> {
        let row = limited("read snapshot row", self.shared.table.get(key)).await;
        row.ok().flatten().map(|row| row.version)
    }

    /// Removes further rows that the snapshot covers; those that remain are removed with the next one.
    async fn remove_covered(&mut self) {
        while !self.rows.is_empty() {
            let count = self.rows.len().min(REMOVED_ROWS);
            let txn = Txn {
                checks: vec![self.own_check()],
                writes: self.rows[..count].iter().map(rows::delete).collect(),
            };
            if limited("remove journal rows", self.shared.table.commit(txn))
                .await
                .is_err()
            {
                return;
            }
            self.rows.drain(..count);
        }
    }
}
