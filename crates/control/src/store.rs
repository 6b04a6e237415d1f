//! Table service calls with timeouts, and conditional writes that are repeated until their outcome is known.

use {
    ragwortreel_platform::{PlatformError, Row, TableService, Txn, TxnOutcome},
    ragwortreel_runtime::{sleep_ms, timeout_ms},
    std::sync::Arc,
};

/// Timeout of one call to the table service, in ms; longer than the timeouts of the platform client.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// Initial delay before an unanswered write is repeated, in ms; doubles up to [`RETRY_MAX_MS`].
const RETRY_MIN_MS: u64 = 20;
const RETRY_MAX_MS: u64 = 1_000;

/// Outcome of a conditional write.
#[derive(Debug)]
pub(crate) enum CommitOutcome {
    /// The write took effect; `versions` holds the versions of the written rows if they are known.
    Committed { versions: Option<Vec<u64>> },
    /// The write will never take effect; `current` holds the conflicting rows.
    Conflict { current: Vec<Row> },
    /// The write will never take effect: the service refused it and no earlier attempt has an unknown outcome.
    NotDone { problem: Arc<str> },
    /// Retrying ended before the outcome was known.
    Unknown { problem: Arc<str> },
}

/// Runs a table service or object store call with [`CALL_TIMEOUT_MS`].
pub(crate) async fn with_timeout<T>(
    step: &'static str,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    let unanswered = |_| PlatformError::Unknown {
        step,
        peer: "platform".into(),
        problem: "timeout".into(),
    };
    timeout_ms(CALL_TIMEOUT_MS, call)
        .await
        .map_err(unanswered)?
}

/// Runs a transaction until its outcome is known or `should_retry` returns false.
///
/// An unanswered write is repeated with the same conditions. The repeat either takes effect, after which the earlier
/// attempt cannot, or finds the row written by the earlier attempt. This requires that the transaction checks the
/// version of its first written row and that the content of that row identifies the transaction.
pub(crate) async fn commit_until_known(
    table: &dyn TableService,
    txn: &Txn,
    mut should_retry: impl FnMut() -> bool + Send,
) -> CommitOutcome {
    let mut may_have_committed = false;
    let mut wait_ms = RETRY_MIN_MS;
    loop {
        let problem = match with_timeout("commit", table.commit(txn.clone())).await {
            Ok(TxnOutcome::Committed { versions }) => {
                return CommitOutcome::Committed {
                    versions: Some(versions),
                };
            }
            Ok(TxnOutcome::Conflict { current }) => {
                return match own_write(txn, &current) {
                    Some(version) if may_have_committed => CommitOutcome::Committed {
                        versions: (txn.writes.len() == 1).then(|| vec![version]),
                    },
                    _ => CommitOutcome::Conflict { current },
                };
            }
            Err(
                PlatformError::NotDone { problem, .. } | PlatformError::Refused { problem, .. },
            ) if !may_have_committed => {
                return CommitOutcome::NotDone { problem };
            }
            Err(
                PlatformError::NotDone { problem, .. } | PlatformError::Refused { problem, .. },
            ) => problem,
            Err(PlatformError::Unknown { problem, .. }) => {
                may_have_committed = true;
                problem
            }
        };
        if !should_retry() {
            return CommitOutcome::Unknown { problem };
        }
        sleep_ms(fastrand::u64(wait_ms / 2..=wait_ms)).await;
        wait_ms = (wait_ms * 2).min(RETRY_MAX_MS);
    }
}

/// Version of the transaction's first written row, if the table holds exactly that content.
fn own_write(txn: &Txn, current: &[Row]) -> Option<u64> {
    let first = txn.writes.first()?;
    let row = current.iter().find(|row| row.key == first.key)?;
    (Some(&row.value) == first.value.as_ref()).then_some(row.version)
}
