//! At-most-once execution of requests that carry an idempotency key.
//!
//! Before a request is sent, its key is claimed with a conditional write of a row. The holder of the claim sends the
//! request at most once. It then stores the response or, if the request certainly did not run, releases the claim.
//! Other callers with the same key find the row and replay the response, wait, or claim a released row again.
//!
//! If the table's response to a claim write is lost, the row is read back: the holder's identifier in it shows whether
//! the write took effect. If it did not, the next claim write is conditional on the row as read, so at most one of the
//! two writes can take effect. A caller that gives up while the outcome is unknown releases the claim in the
//! background, which makes a late write fail in the same way.
//!
//! Each claim also has an index row, whose key contains the minute in which the claim was written. The sweep that
//! deletes expired claims finds them by these rows.

mod finalize;
mod record;
mod sweep;

use {
    crate::api::{PlatformError, Row, TableService, TxnOutcome},
    finalize::{AttemptOutcome, BackgroundFinalizer, Finalization, claim_txn, state_txn},
    ragwortreel_model::Workspace,
    ragwortreel_runtime::{Logger, sleep, spawn, timeout_at, unix_minute},
    record::{ClaimRecord, ClaimState, claim_key, to_hex},
    sha2::{Digest, Sha256},
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

pub use {
    record::{MAX_STORED_BODY_BYTES, StoredResponse},
    sweep::{RETENTION_MINUTES, SweepStats, run_sweeps, sweep},
};

/// Initial pause between two reads of a claim that another caller holds.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum pause between two reads of a claim that another caller holds.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Attempts to read a claim's row before its state counts as unknown.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Unconfirmed claim writes after which a call fails.
const MAX_UNCONFIRMED_WRITES: u32 = 3;

/// Result of [`IdempotencyClaims::claim`].
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The caller holds the claim and may send the request once.
    Run(Claim),
    /// The request ran before; its response is replayed.
    Replay(StoredResponse),
    /// The request may have run; its response is not known.
    Unknown,
    /// The key was used for a request with another digest.
    Mismatch,
    /// The request was not claimed and must not be sent. It did not run on behalf of this call.
    Unavailable {
        /// Cause, as text for the caller and the log.
        problem: Arc<str>,
    },
}

/// Result of [`Claim::complete`] and [`Claim::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalizeOutcome {
    /// The table has stored the final state.
    Stored,
    /// The table did not confirm the write, which is retried in the background. Until it succeeds, repeats of the
    /// request get [`ClaimOutcome::Unknown`].
    Pending,
}

/// Client that claims idempotency keys on behalf of one instance.
#[derive(Clone)]
pub struct IdempotencyClaims {
    shared: Arc<Shared>,
}

struct Shared {
    table: Arc<dyn TableService>,
    /// Prefix of the holder identifiers in this client's claims.
    holder_prefix: Arc<str>,
    /// Number of the next claim attempt; it is the suffix of the attempt's holder identifier.
    next_attempt: AtomicU64,
    finalizer: BackgroundFinalizer,
    log: Logger,
}

/// Claim of an idempotency key; its holder may send the request once.
///
/// Dropping it leaves the outcome unknown permanently, as after a crash between sending and storing.
#[must_use = "a claim that is neither completed nor released leaves the request unknown"]
pub struct Claim {
    shared: Arc<Shared>,
    key: Arc<str>,
    record: ClaimRecord,
    version: u64,
}

impl std::fmt::Debug for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claim")
            .field("key", &self.key)
            .field("record", &self.record)
            .finish_non_exhaustive()
    }
}

/// SHA-256 digest of a request in hexadecimal; detects a key that is used for two different requests.
#[must_use]
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        // The length prefix separates the parts unambiguously.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    Arc::from(to_hex(&digest.finalize()))
}

/// Next step of a claim attempt, decided from the claim's row.
enum ClaimDecision {
    /// The key can be claimed by a write that is conditional on this row, or on its absence.
    Write(Option<(Row, ClaimRecord)>),
    /// Another caller holds the claim.
    Wait,
    Return(ClaimOutcome),
}

impl IdempotencyClaims {
    /// Creates the client; `holder` identifies the instance in the rows of its claims.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>, holder: &str, log: Logger) -> Self {
        let shared = Shared {
            table,
            // The random part distinguishes processes that were started with the same name by mistake, and restarts.
            holder_prefix: Arc::from(format!("{holder}.{:016x}", fastrand::u64(..))),
            next_attempt: AtomicU64::new(0),
            finalizer: BackgroundFinalizer::default(),
            log,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Number of claims whose final state is being written in the background.
    #[must_use]
    pub fn pending_finalizations(&self) -> usize {
        self.shared.finalizer.active()
    }

    /// Claims a key for a request. If another caller holds the claim, waits for its final state until the deadline.
    ///
    /// If the future is dropped, a claim that it may have written is released in the background.
    pub async fn claim(
        &self,
        workspace: &Workspace,
        key: &str,
        digest: &str,
        deadline: Instant,
    ) -> ClaimOutcome {
        let number = self.shared.next_attempt.fetch_add(1, Ordering::Relaxed);
        let mut attempt = ClaimAttempt {
            shared: &self.shared,
            key: claim_key(workspace, key),
            holder: Arc::from(format!("{}.{number}", self.shared.holder_prefix)),
            digest: Arc::from(digest),
            unconfirmed_writes: 0,
            is_returned: false,
        };
        let outcome = attempt.run(deadline).await;
        attempt.is_returned = matches!(outcome, ClaimOutcome::Run(_));
        outcome
    }
}

/// One call of [`IdempotencyClaims::claim`]. Dropping it releases a claim that it may have written but not returned.
struct ClaimAttempt<'a> {
    shared: &'a Arc<Shared>,
    key: Arc<str>,
    holder: Arc<str>,
    digest: Arc<str>,
    /// Number of claim writes of this call that may have taken effect or may yet do so.
    unconfirmed_writes: u32,
    /// Whether the claim was returned to the caller.
    is_returned: bool,
}

impl Drop for ClaimAttempt<'_> {
    fn drop(&mut self) {
        if self.unconfirmed_writes > 0 && !self.is_returned {
            self.release_in_background();
        }
    }
}

impl ClaimAttempt<'_> {
    async fn run(&mut self, deadline: Instant) -> ClaimOutcome {
        let mut row = ClaimRow::Absent;
        let mut poll_interval = MIN_POLL_INTERVAL;
        while Instant::now() < deadline {
            match self.decide(row) {
                ClaimDecision::Return(outcome) => return outcome,
                ClaimDecision::Wait => {
                    if Instant::now() + poll_interval >= deadline {
                        return ClaimOutcome::Unknown;
                    }
                    sleep(poll_interval).await;
                    poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
                    row = match self.read(deadline).await {
                        Ok(row) => row,
                        Err(_) => return ClaimOutcome::Unknown,
                    };
                }
                ClaimDecision::Write(old) => match self.write_claim(old, deadline).await {
                    Ok(WriteResult::Claimed(claim)) => return ClaimOutcome::Run(claim),
                    Ok(WriteResult::NotConfirmed(current)) => row = current,
                    Err(err) => return unavailable(&err.to_string()),
                },
            }
        }
        unavailable("the deadline passed before the request was claimed")
    }

    fn decide(&self, row: ClaimRow) -> ClaimDecision {
        let (row, record) = match row {
            ClaimRow::Absent => return ClaimDecision::Write(None),
            ClaimRow::Unreadable => return ClaimDecision::Return(ClaimOutcome::Unknown),
            ClaimRow::Present(row, record) => (row, record),
        };
        if record.digest != self.digest {
            return ClaimDecision::Return(ClaimOutcome::Mismatch);
        }
        match &record.state {
            ClaimState::Running if record.holder == self.holder => {
                ClaimDecision::Return(ClaimOutcome::Run(self.new_claim(record, row.version)))
            }
            ClaimState::Running => ClaimDecision::Wait,
            ClaimState::Released => ClaimDecision::Write(Some((row, record))),
            ClaimState::Answered {
                answer: Some(answer),
            } => ClaimDecision::Return(ClaimOutcome::Replay(answer.clone())),
            ClaimState::Answered { answer: None } => ClaimDecision::Return(ClaimOutcome::Unknown),
        }
    }

    fn new_claim(&self, record: ClaimRecord, version: u64) -> Claim {
        Claim {
            shared: Arc::clone(self.shared),
            key: Arc::clone(&self.key),
            record,
            version,
        }
    }

    fn record(&self, attempt: u32) -> ClaimRecord {
        ClaimRecord {
            attempt,
            holder: Arc::clone(&self.holder),
            digest: Arc::clone(&self.digest),
            // The wall-clock time serves only the deletion of expired claims.
            minute: unix_minute(),
            state: ClaimState::Running,
        }
    }

    // Writes the claim on the condition that the row has not changed since it was read.
    async fn write_claim(
        &mut self,
        old: Option<(Row, ClaimRecord)>,
        deadline: Instant,
    ) -> Result<WriteResult, PlatformError> {
        let record = self.record(old.as_ref().map_or(0, |(_, record)| record.attempt) + 1);
        let txn = claim_txn(&self.key, old.as_ref(), &record);
        let commit = self.shared.table.commit(txn);
        // Counted before the response, so that dropping the future while it waits still releases the claim.
        self.unconfirmed_writes += 1;
        let outcome = timeout_at(deadline, commit).await;
        if !matches!(outcome, Err(_) | Ok(Err(PlatformError::Unknown { .. }))) {
            self.unconfirmed_writes -= 1;
        }
        match outcome.unwrap_or_else(|_| Err(deadline_exceeded("claim"))) {
            Ok(TxnOutcome::Committed { versions }) => {
                let version = versions.first().copied().unwrap_or_default();
                Ok(WriteResult::Claimed(self.new_claim(record, version)))
            }
            Ok(TxnOutcome::Conflict { current }) => {
                let row = current.into_iter().find(|row| row.key == self.key);
                Ok(WriteResult::NotConfirmed(ClaimRow::from(row)))
            }
            Err(err @ (PlatformError::NotDone { .. } | PlatformError::Refused { .. })) => Err(err),
            Err(err @ PlatformError::Unknown { .. }) => match self.read(deadline).await? {
                ClaimRow::Absent if self.unconfirmed_writes >= MAX_UNCONFIRMED_WRITES => Err(err),
                row => Ok(WriteResult::NotConfirmed(row)),
            },
        }
    }

    async fn read(&self, deadline: Instant) -> Result<ClaimRow, PlatformError> {
        let mut attempts = 1;
        loop {
            let read = timeout_at(deadline, self.shared.table.get(&self.key)).await;
            match read.unwrap_or_else(|_| Err(deadline_exceeded("read back the claim"))) {
                Err(PlatformError::Unknown { .. })
                    if attempts < MAX_READ_ATTEMPTS && Instant::now() < deadline =>
                {
                    attempts += 1;
                }
                result => return result.map(ClaimRow::from),
            }
        }
    }

    fn release_in_background(&self) {
        let finalization = Finalization {
            key: Arc::clone(&self.key),
            claim: self.record(1),
            final_state: ClaimState::Released,
        };
        let Shared {
            table,
            finalizer,
            log,
            ..
        } = &**self.shared;
        finalizer.start(Arc::clone(table), log.clone(), finalization);
    }
}

/// Result of a claim write.
enum WriteResult {
    Claimed(Claim),
    /// The table did not confirm the write. Contains the current row, which holds this call's claim if an earlier write
    /// without a response took effect.
    NotConfirmed(ClaimRow),
}

/// A claim's row as read from the table.
enum ClaimRow {
    Absent,
    /// The row exists, but its content is not a claim.
    Unreadable,
    Present(Row, ClaimRecord),
}

impl From<Option<Row>> for ClaimRow {
    fn from(row: Option<Row>) -> Self {
        let Some(row) = row else { return Self::Absent };
        match ClaimRecord::parse(&row.value) {
            Some(record) => Self::Present(row, record),
            None => Self::Unreadable,
        }
    }
}

fn deadline_exceeded(step: &'static str) -> PlatformError {
    PlatformError::Unknown {
        step,
        peer: Arc::from("table"),
        problem: Arc::from("no answer before the deadline"),
    }
}

fn unavailable(problem: &str) -> ClaimOutcome {
    ClaimOutcome::Unavailable {
        problem: Arc::from(problem),
    }
}

impl Claim {
    /// Number of claims of this key so far, from 1.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.record.attempt
    }

    /// Stores the response for replay to repeats of the request.
    ///
    /// If the future is dropped, the write continues in the background.
    pub async fn complete(self, answer: StoredResponse) -> FinalizeOutcome {
        let answer = answer.fits().then_some(answer);
        self.finalize(ClaimState::Answered { answer }).await
    }

    /// Releases the claim, so that a repeat may run; only for a request that certainly did not run.
    ///
    /// If the future is dropped, the write continues in the background.
    pub async fn release(self) -> FinalizeOutcome {
        self.finalize(ClaimState::Released).await
    }

    // Runs in a task of its own: a caller's deadline often drops the future, and the claim must not stay unknown then.
    fn finalize(self, final_state: ClaimState) -> impl Future<Output = FinalizeOutcome> {
        let (done_tx, done_rx) = async_channel::bounded(1);
        spawn(async move {
            // The receiver is gone if the caller dropped the future.
            let _ = done_tx.try_send(self.write_final_state(final_state).await);
        })
        .detach();
        async move { done_rx.recv().await.unwrap_or(FinalizeOutcome::Pending) }
    }

    async fn write_final_state(self, final_state: ClaimState) -> FinalizeOutcome {
        let final_record = self.record.with_state(final_state.clone());
        let txn = state_txn(&self.key, self.version, &final_record);
        let outcome = self.shared.table.commit(txn).await;
        if matches!(outcome, Ok(TxnOutcome::Committed { .. })) {
            return FinalizeOutcome::Stored;
        }
        let finalization = Finalization {
            key: self.key,
            claim: self.record,
            final_state,
        };
        let Shared {
            table,
            finalizer,
            log,
            ..
        } = &*self.shared;
        // After a lost response the row is read back at once; during an outage the background task retries.
        let is_unknown = matches!(outcome, Err(PlatformError::Unknown { .. }));
        if is_unknown && finalization.attempt(&**table).await == AttemptOutcome::Done {
            return FinalizeOutcome::Stored;
        }
        finalizer.start(Arc::clone(table), log.clone(), finalization);
        FinalizeOutcome::Pending
    }
}
