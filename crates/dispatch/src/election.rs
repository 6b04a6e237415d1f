//! Which instance leads the cell.
//!
//! All instances follow a small table in which the leader renews its row. An instance takes over when the row has
//! not changed for some time while the store answered, when the leader gave up, or when the row names a former life of
//! the instance itself. The taking is one conditional write, so at most one succeeds.

use {
    crate::{
        Cell, Timing,
        cell::STORE_PAUSE_MS,
        events::TAKEOVER_FAILED,
        rows::{LEADER_ROW, LEADER_TABLE, LeaderRow, MAIN_PARTITION, json, main_key},
        term::Term,
    },
    ragwortreel_platform::{Check, FeedError, PlatformError, TableRows, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{Stop, boot_ms, log_event, sleep_ms},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Longest time that the store may wait for a change before it answers; bounds the delay of a takeover.
const FEED_WAIT: Duration = Duration::from_millis(400);
/// Pause between two readings of changes while a leader renews its row, in ms: two readings fall into the shortest time
/// after which an instance takes over.
const FEED_PAUSE_MS: u64 = 300;
/// The same for an instance that leaves the lead to stronger ones. With the time between two publications of the load it
/// stays below the 2 s that the count of waiting jobs may be old.
const WEAK_PAUSE_MS: u64 = 700;
/// The same while no leader renews its row.
const VACANT_PAUSE_MS: u64 = 40;
/// Time without a change of the leader's row from which it counts as vacant for these pauses, in ms.
const QUIET_MS: u64 = 1_000;
/// Longest random delay of a takeover, in ms, so that not all instances try at once.
const TAKEOVER_JITTER_MS: u64 = 60;
/// Delay for each second that this instance has run, in ms, and the longest such delay. Instances are restarted in turn,
/// so one that has just been restarted is the least likely to be stopped next.
const AGE_DELAY_MS: u64 = 4;
const MAX_AGE_DELAY_MS: u64 = 200;

/// Follows the leader's table, and leads when no other instance does.
pub(crate) async fn follow(cell: Arc<Cell>, stop: Stop) {
    let mut follower = Follower {
        jitter_ms: fastrand::u64(0..TAKEOVER_JITTER_MS),
        started_ms: boot_ms(),
        cell,
        cursor: None,
        leader_version: 0,
        leader_changed_ms: 0,
        term: None,
        is_store_lost: false,
    };
    while !stop.is_requested() {
        follower.step().await;
    }
    if let Some(term) = follower.term.take() {
        term.release("the instance stops").await;
    }
}

struct Follower {
    cell: Arc<Cell>,
    cursor: Option<u64>,
    /// Version of the leader's row, and when it was last seen to change.
    leader_version: u64,
    leader_changed_ms: u64,
    /// Random time for which this instance leaves the lead to others, in ms.
    jitter_ms: u64,
    started_ms: u64,
    term: Option<Arc<Term>>,
    /// Whether the last call to the store failed.
    is_store_lost: bool,
}

impl Follower {
    async fn step(&mut self) {
        let feed = &self.cell.deps.feed;
        let result = match self.cursor {
            None => feed
                .part(LEADER_TABLE, MAIN_PARTITION)
                .await
                .map_err(FeedError::Failed),
            Some(after) => feed.changes(LEADER_TABLE, after, FEED_WAIT).await,
        };
        match result {
            Ok(rows) => {
                self.cell.health.answered("follow leader");
                if self.is_store_lost {
                    self.is_store_lost = false;
                    for table in &self.cell.deps.job_tables {
                        table.probe_soon();
                    }
                }
                self.apply(&rows);
                self.lead_if_needed().await;
                sleep_ms(self.pause_ms()).await;
            }
            Err(FeedError::HistoryGone) => self.cursor = None,
            Err(FeedError::Failed(err)) => {
                self.cell.health.failed("follow leader", &err);
                self.is_store_lost = true;
                // The leader could not renew either, perhaps; it gets its full time again.
                self.leader_changed_ms = boot_ms() + STORE_PAUSE_MS;
                sleep_ms(STORE_PAUSE_MS).await;
            }
        }
    }

    fn pause_ms(&self) -> u64 {
        let is_quiet = boot_ms().saturating_sub(self.leader_changed_ms) >= QUIET_MS;
        if is_quiet && self.term.is_none() {
            VACANT_PAUSE_MS
        } else if self.cell.cfg.leader_capacity.is_sufficient() {
            FEED_PAUSE_MS
        } else {
            WEAK_PAUSE_MS
        }
    }

    fn apply(&mut self, changes: &TableRows) {
        let now_ms = boot_ms();
        if self.cursor.is_none() && self.leader_changed_ms == 0 {
            self.leader_changed_ms = now_ms;
        }
        self.cell.view.apply(&changes.rows, now_ms);
        self.cell.synced.store(true, Ordering::Relaxed);
        self.cursor = Some(changes.version);
        let version = self.cell.view.leader().map_or(0, |(_, version)| version);
        if version != self.leader_version {
            self.leader_version = version;
            self.leader_changed_ms = now_ms;
        }
    }

    async fn lead_if_needed(&mut self) {
        if self.term.as_ref().is_some_and(|term| term.is_over()) {
            self.term = None;
            self.cell.lead(None);
            self.leader_changed_ms = boot_ms();
        }
        if self.term.is_some() || !self.cell.has_routes() || !self.is_vacant() {
            return;
        }
        match self.take_over().await {
            Ok(Some(term)) => {
                self.cell.lead(Some(&term));
                self.term = Some(term);
            }
            Ok(None) => {
                // The row is read again before the next try.
                self.cursor = None;
            }
            Err(err) => {
                log_event!(self.cell.deps.log, TAKEOVER_FAILED; "problem" => err.to_string());
                self.cursor = None;
            }
        }
    }

    fn is_vacant(&self) -> bool {
        let silent_ms = boot_ms().saturating_sub(self.leader_changed_ms);
        let strength = self.cell.cfg.leader_capacity;
        let Some((leader, _)) = self.cell.view.leader() else {
            return silent_ms >= strength.delay_ms() + self.jitter_ms;
        };
        // Where the leader was no stronger, most likely nobody is.
        let weakness_ms = if strength < leader.leader_capacity {
            strength.delay_ms()
        } else {
            0
        };
        let age_ms = boot_ms().saturating_sub(self.started_ms);
        let age_delay_ms = (age_ms * AGE_DELAY_MS / 1_000).min(MAX_AGE_DELAY_MS);
        let delay_ms = weakness_ms + self.jitter_ms + age_delay_ms;
        let is_former_life = leader.instance == self.cell.cfg.instance
            && leader.incarnation != self.cell.incarnation;
        if is_former_life {
            return true;
        }
        if leader.released {
            return silent_ms >= delay_ms;
        }
        silent_ms >= leader.takeover_ms + delay_ms
    }

    async fn take_over(&self) -> Result<Option<Arc<Term>>, PlatformError> {
        let former = self.cell.view.leader();
        let (number, version) = match &former {
            None => (1, 0),
            Some((leader, version)) => (leader.term + 1, *version),
        };
        let row = LeaderRow {
            instance: self.cell.cfg.instance.clone(),
            address: self.cell.cfg.helper_address,
            incarnation: self.cell.incarnation,
            term: number,
            renewal: 0,
            released: false,
            leader_capacity: self.cell.cfg.leader_capacity,
            takeover_ms: Timing::MAX_TAKEOVER_MS,
        };
        let sent_ms = boot_ms();
        let outcome = self.cell.deps.table.commit(leader_txn(&row, version)).await;
        let version = match outcome {
            Ok(TxnOutcome::Committed { versions }) => versions.first().copied().unwrap_or(0),
            Ok(TxnOutcome::Conflict { .. }) => return Ok(None),
            Err(err @ PlatformError::NotDone { .. }) => return Err(err),
            Err(PlatformError::Unknown { .. }) => {
                // Perhaps it took effect.
                let found = self
                    .cell
                    .deps
                    .table
                    .get(&main_key(LEADER_TABLE, LEADER_ROW))
                    .await?;
                let ours = found.filter(|found| found.value == encode(&row));
                let Some(found) = ours else {
                    return Ok(None);
                };
                found.version
            }
        };
        let term = Term::new(Arc::clone(&self.cell), row, version, sent_ms);
        term.spawn_task("decisions", Arc::clone(&term).run())
            .detach();
        Ok(Some(term))
    }
}

/// The value of the leader's row.
pub(crate) fn encode(row: &LeaderRow) -> Arc<str> {
    json(row).into()
}

/// Transaction that replaces the leader's row if it has a version.
pub(crate) fn leader_txn(row: &LeaderRow, version: u64) -> Txn {
    Txn {
        checks: vec![Check {
            key: main_key(LEADER_TABLE, LEADER_ROW),
            version,
        }],
        writes: vec![Write {
            key: main_key(LEADER_TABLE, LEADER_ROW),
            value: Some(encode(row)),
        }],
    }
}
