//! Finalization of claims: the final state is written to the claim's row, also when responses of the table are lost.

use {
    crate::{
        api::{Check, PlatformError, Row, TableService, Txn, TxnOutcome, Write},
        events,
        idempotency::record::{ClaimRecord, ClaimState, index_key},
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

/// Maximum number of claims finalized in the background at the same time; the outcome of further ones stays unknown.
const MAX_BACKGROUND_TASKS: usize = 1_024;
/// Time after which a finalization in the background is abandoned.
const BACKGROUND_TIMEOUT: Duration = Duration::from_mins(10);
/// Initial and maximum backoff between two attempts in the background.
const BACKOFF_RANGE_MS: (u64, u64) = (200, 5_000);

/// Claim and the final state to write.
#[derive(Debug, Clone)]
pub(crate) struct Finalization {
    pub key: Arc<str>,
    /// Claim as its holder wrote it.
    pub claim: ClaimRecord,
    pub final_state: ClaimState,
}

/// Result of one attempt to finalize a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    /// The row has the final state, or no write of the holder can take effect any more.
    Done,
    /// Another claim replaced this one, or the row was deleted.
    Superseded,
    /// The table did not answer or the row changed meanwhile; the attempt has to be repeated.
    Retry,
}

/// Transaction that writes a claim's row and its index row, on the condition that the claim's row is still `old`.
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
            writes.push(write(index_key(minute, key), None));
        }
        writes.push(write(index_key(new.minute, key), Some(Arc::from(""))));
    }
    Txn {
        checks: vec![check],
        writes,
    }
}

/// Transaction that writes a claim's row but not its index row, on the condition that the row has this version.
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

impl Finalization {
    fn final_record(&self) -> ClaimRecord {
        self.claim.with_state(self.final_state.clone())
    }

    /// Makes one attempt to write the final state.
    pub(crate) async fn attempt(&self, table: &dyn TableService) -> AttemptOutcome {
        match self.next_txn(table).await {
            Ok(Some(txn)) => match table.commit(txn).await {
                Ok(TxnOutcome::Committed { .. }) => AttemptOutcome::Done,
                Ok(TxnOutcome::Conflict { .. }) | Err(_) => AttemptOutcome::Retry,
            },
            Ok(None) => AttemptOutcome::Done,
            Err(FinalizeError::Superseded) => AttemptOutcome::Superseded,
            Err(FinalizeError::Table) => AttemptOutcome::Retry,
        }
    }

    // Returns the write that is still missing, if any. A release must also prevent a claim write that has not taken
    // effect yet. That write is conditional on the row's current version, so any write of the row makes it fail.
    async fn next_txn(&self, table: &dyn TableService) -> Result<Option<Txn>, FinalizeError> {
        let is_releasing = self.final_state == ClaimState::Released;
        let Some(row) = table.get(&self.key).await? else {
            if is_releasing {
                return Ok(Some(claim_txn(&self.key, None, &self.final_record())));
            }
            return Err(FinalizeError::Superseded);
        };
        let record = ClaimRecord::parse(&row.value).ok_or(FinalizeError::Superseded)?;
        if record.holder == self.claim.holder {
            let is_running = record.state == ClaimState::Running;
            return Ok(is_running.then(|| state_txn(&self.key, row.version, &self.final_record())));
        }
        if !is_releasing {
            return Err(FinalizeError::Superseded);
        }
        let is_released = record.state == ClaimState::Released;
        Ok(is_released.then(|| state_txn(&self.key, row.version, &record)))
    }
}

enum FinalizeError {
    Superseded,
    Table,
}

impl From<PlatformError> for FinalizeError {
    fn from(_: PlatformError) -> Self {
        Self::Table
    }
}

/// Finalizes claims in background tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct BackgroundFinalizer {
    active: Arc<AtomicUsize>,
}

impl BackgroundFinalizer {
    /// Number of claims that are being finalized.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Retries a finalization until it is done or has timed out.
    pub(crate) fn start(
        &self,
        table: Arc<dyn TableService>,
        log: Logger,
        finalization: Finalization,
    ) {
        if self.active.fetch_add(1, Ordering::Relaxed) >= MAX_BACKGROUND_TASKS {
            self.active.fetch_sub(1, Ordering::Relaxed);
            log_event!(log, events::CLAIM_NOT_FINALIZED; "key" => &*finalization.key, "problem" => "too many claims are being finalized");
            return;
        }
        let active = Arc::clone(&self.active);
        spawn(async move {
            if !finalize_until(&*table, &finalization, Instant::now() + BACKGROUND_TIMEOUT).await {
                log_event!(log, events::CLAIM_NOT_FINALIZED; "key" => &*finalization.key, "problem" => "the time limit was reached");
            }
            active.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

// Retries until no further attempt is needed; returns `false` if `until` passes first.
async fn finalize_until(
    table: &dyn TableService,
    finalization: &Finalization,
    until: Instant,
) -> bool {
    let (mut backoff_ms, max_backoff_ms) = BACKOFF_RANGE_MS;
    while Instant::now() < until {
        if finalization.attempt(table).await != AttemptOutcome::Retry {
            return true;
        }
        // Jitter spreads the retries of claims that failed in the same outage.
        sleep_ms(fastrand::u64(backoff_ms / 2..=backoff_ms)).await;
        backoff_ms = (backoff_ms * 2).min(max_backoff_ms);
    }
    false
}
