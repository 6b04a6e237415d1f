//! At-most-once execution of requests that carry an idempotency key.
//!
//! Before a request is sent, its row is claimed with a conditional write. Whoever holds the claim sends the request at
//! most once and then either stores the answer or, with proof that nothing ran, releases the claim. Everyone else
//! finds the row and replays the answer, waits, or claims a released row again.
//!
//! When the table's answer to a claim is lost, the row is read back: the holder's name in it tells whether the write
//! took effect. If it did not, the next claim write is conditional on the row as read, so only one of the two can ever
//! take effect. A holder that gives up without knowing releases in the background, which stops a late write the same
//! way.

mod finalize;
mod record;
mod sweep;

use {
    crate::api::{PlatformError, Row, TableService, TxnOutcome},
    finalize::{Background, Settled, Settlement, claim_txn, state_txn},
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

/// Shortest pause between two looks at a claim that someone else holds.
const MIN_POLL: Duration = Duration::from_millis(50);
/// Longest pause between two looks.
const MAX_POLL: Duration = Duration::from_millis(500);
/// Reads of a claim's row until its state counts as not readable.
const READ_TRIES: u32 = 3;
/// Claim writes without an answer until the call is given up.
const CLAIM_TRIES: u32 = 3;

/// Result of the attempt to claim a request.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The caller holds the claim and may send the request once.
    Run(Claim),
    /// The request ran before.
    Replay(StoredResponse),
    /// The request may have run, and its answer is not known.
    Unknown,
    /// The key was used for another request.
    Mismatch,
    /// The request was not claimed and must not be sent; it did not run on behalf of this call.
    Unavailable {
        /// Why.
        problem: Arc<str>,
    },
}

/// Result of storing an answer or a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalizeOutcome {
    /// It is in the table.
    Stored,
    /// The table did not confirm it; the write is tried again in the background. Until it succeeds, repeats of the
    /// request get [`ClaimOutcome::Unknown`].
    Pending,
}

/// Claims of one instance.
#[derive(Clone)]
pub struct IdempotencyClaims {
    shared: Arc<Shared>,
}

struct Shared {
    table: Arc<dyn TableService>,
    holder: Arc<str>,
    next: AtomicU64,
    background: Background,
    log: Logger,
}

/// The right to send a request once.
///
/// Dropping it leaves the outcome unknown for good, which is right after a crash between sending and storing.
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

/// Digest of a request, by which a key that is used for two requests is noticed.
#[must_use]
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        // The length keeps the borders of the parts distinct.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    Arc::from(to_hex(&digest.finalize()))
}

/// What a claim's row allows.
enum Judgement {
    Claimable(Option<(Row, ClaimRecord)>),
    Held,
    Final(ClaimOutcome),
}

impl IdempotencyClaims {
    /// Makes the claims of an instance; `holder` is unique to this run of its process.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>, holder: &str, log: Logger) -> Self {
        let shared = Shared {
            table,
            // The random part keeps two processes apart that were given the same name by mistake.
            holder: Arc::from(format!("{holder}.{:016x}", fastrand::u64(..))),
            next: AtomicU64::new(0),
            background: Background::default(),
            log,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Number of claims that are being settled in the background.
    #[must_use]
    pub fn pending_finalizations(&self) -> usize {
        self.shared.background.running()
    }

    /// Claims a request. A claim that someone else holds is waited for until the deadline.
    ///
    /// When the future is dropped, a claim that it may have written is released in the background.
    pub async fn claim(
        &self,
        workspace: &Workspace,
        key: &str,
        digest: &str,
        deadline: Instant,
    ) -> ClaimOutcome {
        let number = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let mut attempt = Attempt {
            shared: &self.shared,
            key: claim_key(workspace, key),
            holder: Arc::from(format!("{}.{number}", self.shared.holder)),
            digest: Arc::from(digest),
            unanswered: 0,
            is_settled: false,
        };
        let begin = attempt.run(deadline).await;
        attempt.is_settled = matches!(begin, ClaimOutcome::Run(_));
        begin
    }
}

/// One call of [`IdempotencyClaims::claim`]; dropping it releases what it may have claimed and not handed over.
struct Attempt<'a> {
    shared: &'a Arc<Shared>,
    key: Arc<str>,
    holder: Arc<str>,
    digest: Arc<str>,
    /// Claim writes of this call that may have taken effect or may still do so.
    unanswered: u32,
    /// Whether the caller holds the claim.
    is_settled: bool,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if self.unanswered > 0 && !self.is_settled {
            self.release_later();
        }
    }
}

impl Attempt<'_> {
    async fn run(&mut self, deadline: Instant) -> ClaimOutcome {
        let mut row = ClaimRow::Absent;
        let mut poll = MIN_POLL;
        while Instant::now() < deadline {
            match self.judge(row) {
                Judgement::Final(begin) => return begin,
                Judgement::Held => {
                    if Instant::now() + poll >= deadline {
                        return ClaimOutcome::Unknown;
                    }
                    sleep(poll).await;
                    poll = (poll * 2).min(MAX_POLL);
                    row = match self.read(deadline).await {
                        Ok(row) => row,
                        Err(_) => return ClaimOutcome::Unknown,
                    };
                }
                Judgement::Claimable(old) => match self.claim(old, deadline).await {
                    Ok(Claimed::Held(claim)) => return ClaimOutcome::Run(claim),
                    Ok(Claimed::Not(current)) => row = current,
                    Err(err) => return unavailable(&err.to_string()),
                },
            }
        }
        unavailable("the deadline passed before the request was claimed")
    }

    fn judge(&self, row: ClaimRow) -> Judgement {
        let (row, record) = match row {
            ClaimRow::Absent => return Judgement::Claimable(None),
            ClaimRow::Unreadable => return Judgement::Final(ClaimOutcome::Unknown),
            ClaimRow::Present(row, record) => (row, record),
        };
        if record.digest != self.digest {
            return Judgement::Final(ClaimOutcome::Mismatch);
        }
        match &record.state {
            ClaimState::Running if record.holder == self.holder => {
                Judgement::Final(ClaimOutcome::Run(self.hold(record, row.version)))
            }
            ClaimState::Running => Judgement::Held,
            ClaimState::Released => Judgement::Claimable(Some((row, record))),
            ClaimState::Answered {
                answer: Some(answer),
            } => Judgement::Final(ClaimOutcome::Replay(answer.clone())),
            ClaimState::Answered { answer: None } => Judgement::Final(ClaimOutcome::Unknown),
        }
    }

    fn hold(&self, record: ClaimRecord, version: u64) -> Claim {
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
            // Only the removal of old claims depends on the time of day.
            minute: unix_minute(),
            state: ClaimState::Running,
        }
    }

    // Writes the claim on the condition that the row is still as read.
    async fn claim(
        &mut self,
        old: Option<(Row, ClaimRecord)>,
        deadline: Instant,
    ) -> Result<Claimed, PlatformError> {
        let record = self.record(old.as_ref().map_or(0, |(_, record)| record.attempt) + 1);
        let txn = claim_txn(&self.key, old.as_ref(), &record);
        let commit = self.shared.table.commit(txn);
        // Counted before the answer, so that a call that is dropped while it waits is not forgotten.
        self.unanswered += 1;
        let outcome = timeout_at(deadline, commit).await;
        if !matches!(outcome, Err(_) | Ok(Err(PlatformError::Unknown { .. }))) {
            self.unanswered -= 1;
        }
        match outcome.unwrap_or_else(|_| Err(no_time("claim"))) {
            Ok(TxnOutcome::Committed { versions }) => {
                let version = versions.first().copied().unwrap_or_default();
                Ok(Claimed::Held(self.hold(record, version)))
            }
            Ok(TxnOutcome::Conflict { current }) => {
                let row = current.into_iter().find(|row| row.key == self.key);
                Ok(Claimed::Not(ClaimRow::from(row)))
            }
            Err(err @ PlatformError::NotDone { .. }) => Err(err),
            Err(err @ PlatformError::Unknown { .. }) => match self.read(deadline).await? {
                ClaimRow::Absent if self.unanswered >= CLAIM_TRIES => Err(err),
                row => Ok(Claimed::Not(row)),
            },
        }
    }

    async fn read(&self, deadline: Instant) -> Result<ClaimRow, PlatformError> {
        let mut tries = 1;
        loop {
            let read = timeout_at(deadline, self.shared.table.get(&self.key)).await;
            match read.unwrap_or_else(|_| Err(no_time("read back the claim"))) {
                Err(PlatformError::Unknown { .. })
                    if tries < READ_TRIES && Instant::now() < deadline =>
                {
                    tries += 1;
                }
                result => return result.map(ClaimRow::from),
            }
        }
    }

    fn release_later(&self) {
        let settlement = Settlement {
            key: Arc::clone(&self.key),
            claim: self.record(1),
            goal: ClaimState::Released,
        };
        let Shared {
            table,
            background,
            log,
            ..
        } = &**self.shared;
        background.start(Arc::clone(table), log.clone(), settlement);
    }
}

enum Claimed {
    Held(Claim),
    /// The row as it is instead.
    Not(ClaimRow),
}

/// A claim's row as it was read.
enum ClaimRow {
    Absent,
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

fn no_time(step: &'static str) -> PlatformError {
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
    /// Number of the claim of this key, from 1.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.record.attempt
    }

    /// Stores the answer, so that repeats of the request get it.
    ///
    /// When the future is dropped, the work goes on without it.
    pub async fn complete(self, answer: StoredResponse) -> FinalizeOutcome {
        let answer = answer.fits().then_some(answer);
        self.settle(ClaimState::Answered { answer }).await
    }

    /// Releases the claim on proof that the request did not run.
    ///
    /// When the future is dropped, the work goes on without it.
    pub async fn release(self) -> FinalizeOutcome {
        self.settle(ClaimState::Released).await
    }

    // A caller's deadline often ends the wait; the claim must not stay unknown for that reason.
    fn settle(self, goal: ClaimState) -> impl Future<Output = FinalizeOutcome> {
        let (done_tx, done_rx) = async_channel::bounded(1);
        spawn(async move {
            // The caller may be gone.
            let _ = done_tx.try_send(self.settle_now(goal).await);
        })
        .detach();
        async move { done_rx.recv().await.unwrap_or(FinalizeOutcome::Pending) }
    }

    async fn settle_now(self, goal: ClaimState) -> FinalizeOutcome {
        let wanted = self.record.with_state(goal.clone());
        let txn = state_txn(&self.key, self.version, &wanted);
        let outcome = self.shared.table.commit(txn).await;
        if matches!(outcome, Ok(TxnOutcome::Committed { .. })) {
            return FinalizeOutcome::Stored;
        }
        let settlement = Settlement {
            key: self.key,
            claim: self.record,
            goal,
        };
        let Shared {
            table,
            background,
            log,
            ..
        } = &*self.shared;
        // An answer that was lost is read back at once; an outage is left to the background.
        let is_unknown = matches!(outcome, Err(PlatformError::Unknown { .. }));
        if is_unknown && settlement.try_once(&**table).await == Settled::Done {
            return FinalizeOutcome::Stored;
        }
        background.start(Arc::clone(table), log.clone(), settlement);
        FinalizeOutcome::Pending
    }
}
