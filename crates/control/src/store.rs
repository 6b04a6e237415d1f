//! Conditional writes with a definite outcome.

use {
    ragwortreel_platform::{PlatformError, Row, TableService, Txn, TxnOutcome},
    ragwortreel_runtime::{sleep_ms, timeout_ms},
    std::sync::Arc,
};

/// Time for one call to the table service, in ms; above the platform client's own limits.
const CALL_LIMIT_MS: u64 = 5_000;
/// Wait before an unanswered write is repeated, in ms; doubles up to [`RETRY_MAX_MS`].
const RETRY_MIN_MS: u64 = 20;
const RETRY_MAX_MS: u64 = 1_000;

/// Outcome of a conditional write.
#[derive(Debug)]
pub(crate) enum Definite {
    /// It took effect; the versions of its written rows, when they are known.
    Committed { versions: Option<Vec<u64>> },
    /// It never takes effect; the rows that were in its way.
    Conflict { current: Vec<Row> },
    /// It never takes effect: the service refused it and no earlier try is open.
    NotDone { problem: Arc<str> },
    /// The time was used up while the outcome is open.
    Unknown { problem: Arc<str> },
}

/// Runs a call with the time limit of this package.
pub(crate) async fn limited<T>(
    step: &'static str,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let unanswered = |_| PlatformError::Unknown {
        step,
        peer: "platform".into(),
        problem: "timeout".into(),
    };
    timeout_ms(CALL_LIMIT_MS, call).await.map_err(unanswered)?
}

/// Runs a transaction until its outcome is known or `keep_on` returns false.
///
/// An unanswered write is repeated with the same conditions. The repeat either takes effect, after which the earlier
/// one cannot, or finds the earlier one's row. For this the transaction must check the version of its first written
/// row, and the content of that row must be recognisable.
pub(crate) async fn commit_definite(
    table: &dyn TableService,
    txn: &Txn,
    mut keep_on: impl FnMut() -> bool + Send,
) -> Definite {
    let mut maybe_done = false;
    let mut wait_ms = RETRY_MIN_MS;
    loop {
        let problem = match limited("commit", table.commit(txn.clone())).await {
            Ok(TxnOutcome::Committed { versions }) => {
                return Definite::Committed {
                    versions: Some(versions),
                };
            }
            Ok(TxnOutcome::Conflict { current }) => {
                return match own_write(txn, &current) {
                    Some(version) if maybe_done => Definite::Committed {
                        versions: (txn.writes.len() == 1).then(|| vec![version]),
                    },
                    _ => Definite::Conflict { current },
                };
            }
            Err(PlatformError::NotDone { problem, .. }) if !maybe_done => {
                return Definite::NotDone { problem };
            }
            Err(PlatformError::NotDone { problem, .. }) => problem,
            Err(PlatformError::Unknown { problem, .. }) => {
                maybe_done = true;
                problem
            }
        };
        if !keep_on() {
            return Definite::Unknown { problem };
        }
        sleep_ms(fastrand::u64(wait_ms / 2..=wait_ms)).await;
        wait_ms = (wait_ms * 2).min(RETRY_MAX_MS);
    }
}

/// Version of the transaction's first written row, when the table holds exactly that content.
fn own_write(txn: &Txn, current: &[Row]) -> Option<u64> {
    let first = txn.writes.first()?;
    let row = current.iter().find(|row| row.key == first.key)?;
    (Some(&row.value) == first.value.as_ref()).then_some(row.version)
}
