//! Read-back of conditional writes whose response was lost.
//!
//! The written value contains a marker that no other value of the row has, such as the writer's name and a fixed-width
//! counter, so that a read of the row shows whether the write took effect.

use {
    crate::api::{PlatformError, Row, TableService},
    ragwortreel_runtime::{sleep, timeout_at},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause between two attempts to read the row.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// State of a conditional write whose response was lost, as the row shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The write took effect.
    Applied(Row),
    /// The row still has the version that the write expects. The write may yet take effect, unless another write of the
    /// row, such as a repeat of the same write, comes first.
    Pending(Option<Row>),
    /// Another writer has changed the row. The write cannot take effect any more; if it did, it was overwritten.
    Superseded(Option<Row>),
}

/// Reads the row of a write that was conditional on the row's version (0 for no row), with retries until the deadline.
///
/// # Errors
///
/// Returns the table's last error if the row could not be read before the deadline, and
/// [`PlatformError::NotDone`] and [`PlatformError::Refused`] without a retry.
pub async fn read_back(
    table: &dyn TableService,
    key: &str,
    expected_version: u64,
    marker: &str,
    deadline: Instant,
) -> Result<ReadBackOutcome, PlatformError> {
    loop {
        let read = timeout_at(deadline, table.get(key)).await;
        match read.unwrap_or_else(|_| Err(deadline_exceeded())) {
            Ok(row) => return Ok(classify(row, expected_version, marker)),
            Err(err @ (PlatformError::NotDone { .. } | PlatformError::Refused { .. })) => {
                return Err(err);
            }
            Err(err) if Instant::now() + RETRY_PAUSE >= deadline => return Err(err),
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn classify(row: Option<Row>, expected_version: u64, marker: &str) -> ReadBackOutcome {
    match row {
        Some(row) if row.value.contains(marker) => ReadBackOutcome::Applied(row),
        row if row.as_ref().map_or(0, |row| row.version) == expected_version => {
            ReadBackOutcome::Pending(row)
        }
        row => ReadBackOutcome::Superseded(row),
    }
}

fn deadline_exceeded() -> PlatformError {
    PlatformError::Unknown {
        step: "read back",
        peer: Arc::from("table"),
        problem: Arc::from("no answer before the deadline"),
    }
}
