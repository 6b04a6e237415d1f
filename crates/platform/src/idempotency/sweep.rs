//! Removal of old claims.
//!
//! Each claim is listed under the minute in which it was written. A sweep removes the claims of past minutes. The row
//! `once-sweep` holds the last minute that is done, so that instances share the work and none starts from the
//! beginning. A claim that is renewed moves to its new minute in the same transaction, so the removal is conditional
//! on the list entry alone.

use {
    crate::{
        api::{Check, PlatformError, Row, TableService, Txn, TxnOutcome, Write},
        events,
        idempotency::record::{claim_of_age_key, minute_prefix},
    },
    ragwortreel_runtime::{Logger, Stop, future, log_event, sleep_ms, unix_minute},
    std::sync::Arc,
};

/// Time for which a claim is kept.
pub const RETENTION_MINUTES: u64 = 24 * 60;
/// Claims removed in one transaction, each of which writes two rows.
const CLAIMS_IN_TXN: usize = 50;
/// Minutes that one sweep looks at when it has fallen behind.
const MINUTES_IN_SWEEP: u64 = 10;
/// Average pause between two sweeps of one instance.
const SWEEP_PAUSE_MS: u64 = 60_000;
const CURSOR_KEY: &str = "once-sweep";

/// Result of a sweep.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepStats {
    /// Claims removed.
    pub claims: u64,
    /// Minutes that are now done.
    pub minutes: u64,
}

/// Sweeps until the stop is requested.
pub async fn run_sweeps(table: Arc<dyn TableService>, log: Logger, stop: Stop) {
    while !stop.is_requested() {
        let pause = sleep_ms(fastrand::u64(SWEEP_PAUSE_MS / 2..SWEEP_PAUSE_MS * 3 / 2));
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

/// Removes the claims of minutes before `until`, at most ten minutes' worth.
///
/// # Errors
///
/// Returns the table's error; what was removed before stays removed.
pub async fn sweep(table: &dyn TableService, until: u64) -> Result<SweepStats, PlatformError> {
    let cursor = table.get(CURSOR_KEY).await?;
    let done = cursor
        .as_ref()
        .and_then(|row| row.value.parse::<u64>().ok());
    // Without a cursor nothing was swept yet, so no claim is older than the retention time and a sweep's length.
    let first = done.map_or(until.saturating_sub(MINUTES_IN_SWEEP), |minute| minute + 1);
    let end = until.min(first + MINUTES_IN_SWEEP);
    let mut swept = SweepStats::default();
    for minute in first..end {
        swept.claims += sweep_minute(table, minute).await?;
        swept.minutes += 1;
    }
    if swept.minutes > 0 {
        move_cursor(table, cursor.as_ref(), end - 1).await?;
    }
    Ok(swept)
}

async fn sweep_minute(table: &dyn TableService, minute: u64) -> Result<u64, PlatformError> {
    let prefix = minute_prefix(minute);
    let mut removed = 0;
    loop {
        let entries = table.scan(&[&prefix]).await?;
        let mut conflicts = false;
        for part in entries.chunks(CLAIMS_IN_TXN) {
            match table.commit(removal(part, &prefix)).await? {
                TxnOutcome::Committed { .. } => removed += part.len() as u64,
                // A claim was renewed, or another instance sweeps too.
                TxnOutcome::Conflict { .. } => conflicts = true,
            }
        }
        if !conflicts {
            return Ok(removed);
        }
    }
}

fn removal(entries: &[Row], prefix: &str) -> Txn {
    let mut txn = Txn::default();
    for entry in entries {
        txn.checks.push(Check {
            key: Arc::clone(&entry.key),
            version: entry.version,
        });
        let claim = claim_of_age_key(&entry.key, prefix).map(Arc::from);
        let keys = claim.into_iter().chain([Arc::clone(&entry.key)]);
        txn.writes
            .extend(keys.map(|key| Write { key, value: None }));
    }
    txn
}

async fn move_cursor(
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
    // On a conflict another instance has moved it.
    table.commit(txn).await.map(drop)
}
