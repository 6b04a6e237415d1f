//! Finding out what became of a write whose answer was lost.
//!
//! The writer puts a marker into the value that no other value of the row contains, for instance its name and a counter
//! of fixed width.

use {
    crate::api::{PlatformError, Row, TableService},
    ragwortreel_runtime::{sleep, timeout_at},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// What a row tells about an unanswered conditional write of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The write took effect.
    Applied(Row),
    /// The row is still as the write expected it. The write may take effect later, until any other write of the row,
    /// such as the same write again, stops it.
    Pending(Option<Row>),
    /// The row was written by someone else. The write will not take effect any more; if it did, it was overwritten.
    Superseded(Option<Row>),
}

/// Reads back a write that was conditional on the row's version (0 for no row).
///
/// # Errors
///
/// Returns the table's error when the row could not be read before the deadline; a refusal is returned at once.
pub async fn read_back(
    table: &dyn TableService,
    key: &str,
    expected_version: u64,
    marker: &str,
    deadline: Instant,
) -> Result<ReadBackOutcome, PlatformError> {
    loop {
        let read = timeout_at(deadline, table.get(key)).await;
        match read.unwrap_or_else(|_| Err(no_time())) {
            Ok(row) => return Ok(judge(row, expected_version, marker)),
            Err(err @ PlatformError::NotDone { .. }) => return Err(err),
            Err(err) if Instant::now() + READ_PAUSE >= deadline => return Err(err),
            Err(_) => sleep(READ_PAUSE).await,
        }
    }
}

fn judge(row: Option<Row>, expected_version: u64, marker: &str) -> ReadBackOutcome {
    match row {
        Some(row) if row.value.contains(marker) => ReadBackOutcome::Applied(row),
        row if row.as_ref().map_or(0, |row| row.version) == expected_version => {
            ReadBackOutcome::Pending(row)
        }
        row => ReadBackOutcome::Superseded(row),
    }
}

fn no_time() -> PlatformError {
    PlatformError::Unknown {
        step: "read back",
        peer: Arc::from("table"),
        problem: Arc::from("no answer before the deadline"),
    }
}
