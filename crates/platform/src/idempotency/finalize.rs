//! Bringing a claim's row into its final state when answers of the table are lost.

use {
    crate::{
        api::{Check, PlatformError, Row, TableService, Txn, TxnOutcome, Write},
        events,
        idempotency::record::{ClaimRecord, ClaimState, age_key},
    },
    ragwortreel_runtime::{Logger, log_event, sleep_ms, spawn},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Claims that may be settled in the background at once; further ones stay unknown.
const BACKGROUND_LIMIT: usize = 1_024;
/// Time after which a background settlement is given up.
const BACKGROUND_TIME: Duration = Duration::from_mins(10);
/// Shortest and longest pause between two tries in the background.
const BACKGROUND_PAUSE_MS: (u64, u64) = (200, 5_000);

/// A holder's claim and the state that it shall end in.
#[derive(Debug, Clone)]
pub(crate) struct Settlement {
    pub key: Arc<str>,
    /// The claim as its holder wrote it.
    pub claim: ClaimRecord,
    pub goal: ClaimState,
}

/// Result of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Settled {
    /// The row is in the wanted state, or nothing that the holder wrote can take effect any more.
    Done,
    /// Another claim or the removal of the row has overtaken this one.
    Overtaken,
    /// The table did not answer.
    Open,
}

/// Writes a claim's row on the condition that it has a version, and its entry in the list by age.
pub(crate) fn claim_txn(
    key: &Arc<str>,
    old: Option<&(Row, ClaimRecord)>,
    new: &ClaimRecord,
) -> Txn {
    let version = old.map_or(0, |(row, _)| row.version);
    let check = Check {
        key: Arc::clone(key),
        version,
    };
    let write = |key, value| Write { key, value };
    let mut writes = vec![write(Arc::clone(key), Some(new.to_value()))];
    let old_minute = old.map(|(_, record)| record.minute);
    if old_minute != Some(new.minute) {
        if let Some(minute) = old_minute {
            writes.push(write(age_key(minute, key), None));
        }
        writes.push(write(age_key(new.minute, key), Some(Arc::from(""))));
    }
    Txn {
        checks: vec![check],
        writes,
    }
}

/// Writes only the claim's row.
pub(crate) fn state_txn(key: &Arc<str>, version: u64, new: &ClaimRecord) -> Txn {
    Txn {
        checks: vec![Check {
            key: Arc::clone(key),
            version,
        }],
        writes: vec![Write {
            key: Arc::clone(key),
            value: Some(new.to_value()),
        }],
    }
}

impl Settlement {
    fn wanted(&self) -> ClaimRecord {
        self.claim.with_state(self.goal.clone())
    }

    /// Tries once to bring the row into the wanted state.
    pub(crate) async fn try_once(&self, table: &dyn TableService) -> Settled {
        match self.next_txn(table).await {
            Ok(Some(txn)) => match table.commit(txn).await {
                Ok(TxnOutcome::Committed { .. }) => Settled::Done,
                Ok(TxnOutcome::Conflict { .. }) | Err(_) => Settled::Open,
            },
            Ok(None) => Settled::Done,
            Err(Problem::Overtaken) => Settled::Overtaken,
            Err(Problem::Table) => Settled::Open,
        }
    }

    // The write that is missing, if any. A release must also stop a claim write that has not taken effect yet: that
    // write is conditional on the row as it is now, so any write of the row stops it.
    async fn next_txn(&self, table: &dyn TableService) -> Result<Option<Txn>, Problem> {
        let is_release = self.goal == ClaimState::Released;
        let Some(row) = table.get(&self.key).await? else {
            if is_release {
                return Ok(Some(claim_txn(&self.key, None, &self.wanted())));
            }
            return Err(Problem::Overtaken);
        };
        let record = ClaimRecord::parse(&row.value).ok_or(Problem::Overtaken)?;
        if record.holder == self.claim.holder {
            let is_running = record.state == ClaimState::Running;
            return Ok(is_running.then(|| state_txn(&self.key, row.version, &self.wanted())));
        }
        if !is_release {
            return Err(Problem::Overtaken);
        }
        let is_base = record.state == ClaimState::Released;
        Ok(is_base.then(|| state_txn(&self.key, row.version, &record)))
    }
}

enum Problem {
    Overtaken,
    Table,
}

impl From<PlatformError> for Problem {
    fn from(_: PlatformError) -> Self {
        Self::Table
    }
}

/// Settles claims in the background.
#[derive(Debug, Clone, Default)]
pub(crate) struct Background {
    running: Arc<AtomicUsize>,
}

impl Background {
    /// Number of claims that are being settled.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Goes on with a settlement until it is done or the time is over.
    pub(crate) fn start(&self, table: Arc<dyn TableService>, log: Logger, settlement: Settlement) {
        if self.running.fetch_add(1, Ordering::Relaxed) >= BACKGROUND_LIMIT {
            self.running.fetch_sub(1, Ordering::Relaxed);
            log_event!(log, events::CLAIM_NOT_FINALIZED; "key" => &*settlement.key, "problem" => "too many");
            return;
        }
        let running = Arc::clone(&self.running);
        spawn(async move {
            if !settle_until(&*table, &settlement, Instant::now() + BACKGROUND_TIME).await {
                log_event!(log, events::CLAIM_NOT_FINALIZED; "key" => &*settlement.key, "problem" => "no time left");
            }
            running.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

async fn settle_until(table: &dyn TableService, settlement: &Settlement, until: Instant) -> bool {
    let (mut pause_ms, longest_ms) = BACKGROUND_PAUSE_MS;
    while Instant::now() < until {
        if settlement.try_once(table).await != Settled::Open {
            return true;
        }
        // The jitter keeps the settlements of one outage from coming back together.
        sleep_ms(fastrand::u64(pause_ms / 2..=pause_ms)).await;
        pause_ms = (pause_ms * 2).min(longest_ms);
    }
    false
}
