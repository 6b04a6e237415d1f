//! Deletion of expired claims.
//!
//! Each claim has an index row under the minute in which the claim was written. A sweep deletes the claims of minutes
//! beyond the retention time. The row `once-sweep` stores the last minute that was swept, so instances share the work
//! and none starts from the beginning. Claiming a released key again in a later minute also moves its index row, in the
//! same transaction. So a deletion is conditional on the version of the index row alone.

use {
    crate::{
        api::{Check, PlatformError, Row, TableService, Txn, TxnOutcome, Write},
        events,
        idempotency::record::{claim_key_of_index_key, minute_prefix},
    },
    ragwortreel_runtime::{Logger, Stop, future, log_event, sleep_ms, unix_minute},
    std::sync::Arc,
};

/// Retention time of a claim.
pub const RETENTION_MINUTES: u64 = 24 * 60;
/// Maximum number of claims deleted in one transaction; each takes two of its 100 writes.
const MAX_CLAIMS_PER_TXN: usize = 50;
/// Maximum number of minutes that one sweep processes when it has fallen behind.
const MAX_MINUTES_PER_SWEEP: u64 = 10;
/// Mean pause between two sweeps of an instance; each pause is 50 % to 150 % of it.
const MEAN_SWEEP_PAUSE_MS: u64 = 60_000;
/// Row with the last minute that was swept.
const CURSOR_KEY: &str = "once-sweep";

/// Counts of one sweep.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepStats {
    /// Claims deleted.
    pub claims: u64,
    /// Minutes that were swept completely.
    pub minutes: u64,
}

/// Sweeps periodically until a stop is requested.
pub async fn run_sweeps(table: Arc<dyn TableService>, log: Logger, stop: Stop) {
    while !stop.is_requested() {
        let pause = sleep_ms(fastrand::u64(
            MEAN_SWEEP_PAUSE_MS / 2..MEAN_SWEEP_PAUSE_MS * 3 / 2,
        ));
        future::or(pause, stop.requested()).await;
        let Some(until) = unix_minute().checked_sub(RETENTION_MINUTES) else {
            return;
        };
        match sweep(&*table, until).await {
            Ok(swept) => {
                log_event!(log, events::SWEEP_DONE; "claims" => swept.claims, "minutes" => swept.minutes);
            }
            Err(err) => log_event!(log, events::SWEEP_FAILED; "problem" => err.to_string()),
        }
    }
}

/// Deletes the claims that were written before the minute `until` since the Unix epoch. One call processes the claims
/// of at most ten minutes.
///
/// # Errors
///
/// Returns the table's error; claims that were deleted before it stay deleted.
pub async fn sweep(table: &dyn TableService, until: u64) -> Result<SweepStats, PlatformError> {
    let cursor = table.get(CURSOR_KEY).await?;
    let done = cursor
        .as_ref()
        .and_then(|row| row.value.parse::<u64>().ok());
    // Without a cursor no sweep has completed yet. The first one runs about a minute after the first start and stores
    // the cursor, so no claim is older than the retention time plus the minutes that one sweep processes.
    let first = done.map_or(until.saturating_sub(MAX_MINUTES_PER_SWEEP), |minute| {
        minute + 1
    });
    let end = until.min(first + MAX_MINUTES_PER_SWEEP);
    let mut swept = SweepStats::default();
    for minute in first..end {
        swept.claims += sweep_minute(table, minute).await?;
        swept.minutes += 1;
    }
    if swept.minutes > 0 {
        advance_cursor(table, cursor.as_ref(), end - 1).await?;
    }
    Ok(swept)
}

async fn sweep_minute(table: &dyn TableService, minute: u64) -> Result<u64, PlatformError> {
    let prefix = minute_prefix(minute);
    let mut removed = 0;
    loop {
        let entries = table.scan(&[&prefix]).await?;
        let mut conflicts = false;
        for chunk in entries.chunks(MAX_CLAIMS_PER_TXN) {
            match table.commit(removal_txn(chunk, &prefix)).await? {
                TxnOutcome::Committed { .. } => removed += chunk.len() as u64,
                // A released key was claimed again, or another instance sweeps the same minute; the index rows are read
                // again.
                TxnOutcome::Conflict { .. } => conflicts = true,
            }
        }
        if !conflicts {
            return Ok(removed);
        }
    }
}

fn removal_txn(entries: &[Row], prefix: &str) -> Txn {
    let mut txn = Txn::default();
    for entry in entries {
        txn.checks.push(Check {
            key: Arc::clone(&entry.key),
            version: entry.version,
        });
        let claim = claim_key_of_index_key(&entry.key, prefix).map(Arc::from);
        let keys = claim.into_iter().chain([Arc::clone(&entry.key)]);
        txn.writes
            .extend(keys.map(|key| Write { key, value: None }));
    }
    txn
}

async fn advance_cursor(
    table: &dyn TableService,
    old: Option<&Row>,
    minute: u64,
) -> Result<(), PlatformError> {
    let txn = Txn {
        checks: vec![Check {
            key: Arc::from(CURSOR_KEY),
            version: old.map_or(0, |row| row.version),
        }],
        writes: vec![Write {
            key: Arc::from(CURSOR_KEY),
            value: Some(Arc::from(minute.to_string())),
        }],
    };
    // A conflict means that another instance has advanced the cursor.
    table.commit(txn).await.map(drop)
}
