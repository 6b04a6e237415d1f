//! Leader election.
//!
//! All instances follow a small table in which the leader renews its row. An instance takes over when the row has not
//! changed for the takeover time while the store answered, when the leader released leadership, or when the row names a
//! former incarnation of the instance itself. A takeover is one conditional write, so at most one instance succeeds.

use {
    crate::{
        Cell, Timing,
        cell::STORE_RETRY_MS,
        events::TAKEOVER_FAILED,
        rows::{LEADER_ROW, LEADER_TABLE, LeaderRow, MAIN_PARTITION, main_key, to_json},
        term::Term,
    },
    ragwortreel_platform::{Check, FeedError, PlatformError, TableRows, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{Stop, boot_ms, log_event, sleep_ms},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Long-poll timeout of the leader's table; bounds the delay of a takeover.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two polls while a leader renews its row, in ms; two polls fit into the shortest time after which an
/// instance takes over.
const POLL_INTERVAL_MS: u64 = 300;
/// Pause between two polls of an instance with low capacity while a leader renews its row, in ms. Together with the
/// publication interval of the load it stays below 2 s, the maximum age of the count of waiting jobs.
const LOW_CAPACITY_POLL_INTERVAL_MS: u64 = 700;
/// Pause between two polls while no leader renews its row, in ms.
const VACANT_POLL_INTERVAL_MS: u64 = 40;
/// Time without a change of the leader's row after which [`VACANT_POLL_INTERVAL_MS`] applies, in ms.
const VACANT_AFTER_MS: u64 = 1_000;
/// Maximum random delay of a takeover, in ms; prevents all instances from trying at once.
const TAKEOVER_JITTER_MS: u64 = 60;
/// Takeover delay for each second of uptime, in ms. Instances are restarted in turn, so the one that was restarted last
/// is the least likely to be stopped next.
const UPTIME_DELAY_MS_PER_S: u64 = 4;
/// Maximum takeover delay for uptime, in ms.
const MAX_UPTIME_DELAY_MS: u64 = 200;

/// Follows the leader's table, and takes over when no other instance leads.
pub(crate) async fn run(cell: Arc<Cell>, stop: Stop) {
    let mut election = Election {
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
        election.poll().await;
    }
    if let Some(term) = election.term.take() {
        term.release("the instance stops").await;
    }
}

/// State of an instance in the leader election.
struct Election {
    cell: Arc<Cell>,
    /// Version of the store after which changes are followed; `None` to read the whole table.
    cursor: Option<u64>,
    /// Version of the leader's row, and the time at which its last change was seen, in ms.
    leader_version: u64,
    leader_changed_ms: u64,
    /// Random delay of this instance's takeovers, in ms.
    jitter_ms: u64,
    /// Time at which this instance began to take part, in ms.
    started_ms: u64,
    term: Option<Arc<Term>>,
    /// Whether the last poll failed.
    is_store_lost: bool,
}

impl Election {
    async fn poll(&mut self) {
        let feed = &self.cell.deps.feed;
        let result = match self.cursor {
            None => feed
                .part(LEADER_TABLE, MAIN_PARTITION)
                .await
                .map_err(FeedError::Failed),
            Some(after) => feed.changes(LEADER_TABLE, after, FEED_POLL_TIMEOUT).await,
        };
        match result {
            Ok(rows) => {
                self.cell.health.record_success("follow leader");
                if self.is_store_lost {
                    self.is_store_lost = false;
                    for table in &self.cell.deps.job_tables {
                        table.request_probe();
                    }
                }
                self.apply(&rows);
                self.lead_if_needed().await;
                sleep_ms(self.poll_interval_ms()).await;
            }
            Err(FeedError::HistoryGone | FeedError::TooLarge) => self.cursor = None,
            Err(FeedError::Failed(err)) => {
                self.cell.health.record_failure("follow leader", &err);
                self.is_store_lost = true;
                // The outage may have prevented the leader from renewing its row, so the takeover time starts anew.
                self.leader_changed_ms = boot_ms() + STORE_RETRY_MS;
                sleep_ms(STORE_RETRY_MS).await;
            }
        }
    }

    fn poll_interval_ms(&self) -> u64 {
        let is_quiet = boot_ms().saturating_sub(self.leader_changed_ms) >= VACANT_AFTER_MS;
        if is_quiet && self.term.is_none() {
            VACANT_POLL_INTERVAL_MS
        } else if self.cell.cfg.leader_capacity.is_sufficient() {
            POLL_INTERVAL_MS
        } else {
            LOW_CAPACITY_POLL_INTERVAL_MS
        }
    }

    fn apply(&mut self, changes: &TableRows) {
        let now_ms = boot_ms();
        if self.cursor.is_none() && self.leader_changed_ms == 0 {
            self.leader_changed_ms = now_ms;
        }
        self.cell.view.apply(&changes.rows, now_ms);
        self.cell.has_synced.store(true, Ordering::Relaxed);
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
            self.cell.set_term(None);
            self.leader_changed_ms = boot_ms();
        }
        if self.term.is_some() || !self.cell.has_routes() || !self.is_takeover_due() {
            return;
        }
        match self.take_over().await {
            Ok(Some(term)) => {
                self.cell.set_term(Some(&term));
                self.term = Some(term);
            }
            Ok(None) => {
                // Another instance changed the row; it is read again before the next attempt.
                self.cursor = None;
            }
            Err(err) => {
                log_event!(self.cell.deps.log, TAKEOVER_FAILED; "problem" => err.to_string());
                self.cursor = None;
            }
        }
    }

    /// Whether no other instance seems to lead, and the takeover delay of this instance, if any, has passed.
    fn is_takeover_due(&self) -> bool {
        let unchanged_ms = boot_ms().saturating_sub(self.leader_changed_ms);
        let capacity = self.cell.cfg.leader_capacity;
        let Some((leader, _)) = self.cell.view.leader() else {
            return unchanged_ms >= capacity.takeover_delay_ms() + self.jitter_ms;
        };
        // If the former leader's capacity is not higher than that of this instance, probably no instance with a higher
        // one is left to wait for.
        let capacity_delay_ms = if capacity < leader.leader_capacity {
            capacity.takeover_delay_ms()
        } else {
            0
        };
        let uptime_ms = boot_ms().saturating_sub(self.started_ms);
        let uptime_delay_ms = (uptime_ms * UPTIME_DELAY_MS_PER_S / 1_000).min(MAX_UPTIME_DELAY_MS);
        let delay_ms = capacity_delay_ms + self.jitter_ms + uptime_delay_ms;
        let is_former_incarnation = leader.instance == self.cell.cfg.instance
            && leader.incarnation != self.cell.incarnation;
        if is_former_incarnation {
            return true;
        }
        if leader.released {
            return unchanged_ms >= delay_ms;
        }
        unchanged_ms >= leader.takeover_ms + delay_ms
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
            extends_no_leases: false,
            leader_capacity: self.cell.cfg.leader_capacity,
            takeover_ms: Timing::MAX_TAKEOVER_MS,
        };
        let sent_ms = boot_ms();
        let outcome = self.cell.deps.table.commit(leader_txn(&row, version)).await;
        let version = match outcome {
            Ok(TxnOutcome::Committed { versions }) => versions.first().copied().unwrap_or(0),
            Ok(TxnOutcome::Conflict { .. }) => return Ok(None),
            Err(err @ (PlatformError::NotDone { .. } | PlatformError::Refused { .. })) => {
                return Err(err);
            }
            Err(PlatformError::Unknown { .. }) => {
                // The write may have taken effect, so the row is read back.
                let found = self
                    .cell
                    .deps
                    .table
                    .get(&main_key(LEADER_TABLE, LEADER_ROW))
                    .await?;
                let ours = found.filter(|found| found.value == encode_leader(&row));
                let Some(found) = ours else {
                    return Ok(None);
                };
                found.version
            }
        };
        // The version proves that the former leader has stored nothing since this row was read.
        let former = former.map(|(former, _)| former);
        let term = Term::new(
            Arc::clone(&self.cell),
            row,
            version,
            sent_ms,
            former.as_ref(),
        );
        term.spawn_task("decisions", Arc::clone(&term).run())
            .detach();
        Ok(Some(term))
    }
}

/// Encodes the leader's row.
pub(crate) fn encode_leader(row: &LeaderRow) -> Arc<str> {
    to_json(row).into()
}

/// Builds a transaction that replaces the leader's row if it still has the given version.
pub(crate) fn leader_txn(row: &LeaderRow, version: u64) -> Txn {
    Txn {
        checks: vec![Check {
            key: main_key(LEADER_TABLE, LEADER_ROW),
            version,
        }],
        writes: vec![Write {
            key: main_key(LEADER_TABLE, LEADER_ROW),
            value: Some(encode_leader(row)),
        }],
    }
}
