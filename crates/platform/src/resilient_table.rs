//! Table client that protects its callers and the service from each other.
//!
//! Small independent transactions are gathered for a few milliseconds and sent as one. A circuit breaker refuses calls
//! at once while the service fails. A client-side rate limit keeps this instance within its share of the service's
//! rates, also right after an outage. Nothing is retried here: a caller learns at once that its call was not done or
//! that its outcome is unknown.
//!
//! Bounds: [`MAX_QUEUED_TXNS`] transactions wait; at most [`MAX_IN_FLIGHT_BATCHES`] groups are under way.

use {
    crate::{
        api::{MAX_TXN_BYTES, MAX_TXN_ROWS, PlatformError, Row, TableService, Txn, TxnOutcome},
        circuit_breaker::{BreakerTransition, CircuitBreaker},
        events,
        rate_limiter::RateLimiter,
        txn_batch::TxnBatch,
    },
    async_channel::{Receiver, Sender},
    async_lock::Semaphore,
    async_trait::async_trait,
    ragwortreel_runtime::{Logger, log_event, spawn, timeout, timeout_at},
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Transactions that may wait to be sent; further ones are refused at once.
pub const MAX_QUEUED_TXNS: usize = 1_024;
/// Groups that may be under way at once.
pub const MAX_IN_FLIGHT_BATCHES: usize = 4;
/// Time for which transactions are gathered when turns are plentiful.
const MIN_WINDOW: Duration = Duration::from_millis(5);
/// Time for which transactions are gathered when turns are scarce.
const MAX_WINDOW: Duration = Duration::from_millis(25);
/// Row that probes read; it need not exist.
const PROBE_KEY: &str = "probe";

/// Settings of [`ResilientTable`].
#[derive(Debug, Clone)]
pub struct ResilientConfig {
    /// Writes a second that the service takes from all instances together.
    pub writes_per_s: f64,
    /// Reads a second that the service takes from all instances together.
    pub reads_per_s: f64,
    /// Instances that share these rates.
    pub instances: u32,
    /// Time limit of one call to the service, in ms.
    pub call_timeout_ms: u64,
    /// Deadline of calls that bring none, in ms.
    pub deadline_ms: u64,
    /// Seed of the back-off's jitter; differs between instances.
    pub seed: u64,
}

impl Default for ResilientConfig {
    fn default() -> Self {
        Self {
            writes_per_s: 500.0,
            reads_per_s: 2_000.0,
            instances: 9,
            call_timeout_ms: 1_000,
            deadline_ms: 2_000,
            seed: fastrand::u64(..),
        }
    }
}

/// Figures for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableStats {
    /// Reads sent; a scan counts once for each 100 rows or 256 KB of its answer, as the service charges it.
    pub reads: u64,
    /// Writes sent; a group counts once.
    pub writes: u64,
    /// Transactions sent in all these writes.
    pub transactions: u64,
    /// Transactions refused because the queue was full.
    pub queue_refusals: u64,
    /// Calls refused because the breaker was open.
    pub breaker_refusals: u64,
    /// Calls that the service did not do.
    pub not_done: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Groups that met a conflict and were split.
    pub split_batches: u64,
    /// Transactions that wait now.
    pub queued: u64,
    /// Whether the breaker is open now.
    pub breaker_open: bool,
    /// Number of times that the breaker opened.
    pub breaker_openings: u64,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    transactions: AtomicU64,
    queue_refusals: AtomicU64,
    breaker_refusals: AtomicU64,
    not_done: AtomicU64,
    unknown: AtomicU64,
    split_batches: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

type Outcome = Result<TxnOutcome, PlatformError>;

/// A transaction that waits for its result.
#[derive(Debug)]
struct Waiting {
    deadline: Instant,
    /// Set by whoever decides first: the sender that takes it, or the caller that gives up. The caller thereby knows
    /// whether the transaction was certainly not sent.
    is_decided: Arc<AtomicBool>,
    reply_tx: Sender<Outcome>,
}

impl Waiting {
    // Decides that the transaction is sent; `false` when its caller gave up before.
    fn take(&self) -> bool {
        !self.is_decided.swap(true, Ordering::AcqRel)
    }

    fn answer(&self, outcome: Outcome) {
        // The channel holds one message and gets only one; the caller may be gone.
        let _ = self.reply_tx.try_send(outcome);
    }
}

/// Table client with grouping, circuit breaker and rate limit.
pub struct ResilientTable {
    shared: Arc<Shared>,
    queue_tx: Sender<(Txn, Waiting)>,
}

struct Shared {
    inner: Arc<dyn TableService>,
    cfg: ResilientConfig,
    breaker: CircuitBreaker,
    write_rate: RateLimiter,
    read_rate: RateLimiter,
    counters: Counters,
    in_flight: Arc<Semaphore>,
    /// Ends the wait before a probe.
    probe_tx: Sender<()>,
    probe_rx: Receiver<()>,
    log: Logger,
}

fn not_done(step: &'static str, problem: &str) -> PlatformError {
    PlatformError::NotDone {
        step,
        peer: Arc::from("table"),
        problem: Arc::from(problem),
    }
}

fn unknown(step: &'static str, problem: &str) -> PlatformError {
    PlatformError::Unknown {
        step,
        peer: Arc::from("table"),
        problem: Arc::from(problem),
    }
}

impl ResilientTable {
    /// Wraps a client and starts the task that sends groups; it ends when this object is dropped.
    #[must_use]
    pub fn new(inner: Arc<dyn TableService>, cfg: ResilientConfig, log: Logger) -> Self {
        let (queue_tx, queue_rx) = async_channel::bounded(MAX_QUEUED_TXNS);
        let share = f64::from(cfg.instances.max(1));
        let (probe_tx, probe_rx) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            inner,
            probe_tx,
            probe_rx,
            breaker: CircuitBreaker::new(cfg.seed),
            write_rate: RateLimiter::new(cfg.writes_per_s / share),
            read_rate: RateLimiter::new(cfg.reads_per_s / share),
            counters: Counters::default(),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT_BATCHES)),
            cfg,
            log,
        });
        spawn(send_groups(Arc::clone(&shared), queue_rx)).detach();
        Self { shared, queue_tx }
    }

    /// Sets the number of instances that share the service's rates.
    pub fn set_instances(&self, instances: u32) {
        let share = f64::from(instances.max(1));
        let Shared {
            cfg,
            write_rate,
            read_rate,
            ..
        } = &*self.shared;
        write_rate.set_limit(cfg.writes_per_s / share);
        read_rate.set_limit(cfg.reads_per_s / share);
    }

    /// Probes the service at once if the breaker is open, because other calls of this instance are answered again.
    pub fn request_probe(&self) {
        if self.shared.breaker.is_open() {
            // The channel holds one message, which is enough.
            let _ = self.shared.probe_tx.try_send(());
        }
    }

    /// Figures for metrics.
    #[must_use]
    pub fn stats(&self) -> TableStats {
        let Shared {
            breaker, counters, ..
        } = &*self.shared;
        let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TableStats {
            reads: value(&counters.reads),
            writes: value(&counters.writes),
            transactions: value(&counters.transactions),
            queue_refusals: value(&counters.queue_refusals),
            breaker_refusals: value(&counters.breaker_refusals),
            not_done: value(&counters.not_done),
            unknown: value(&counters.unknown),
            split_batches: value(&counters.split_batches),
            queued: self.queue_tx.len() as u64,
            breaker_open: breaker.is_open(),
            breaker_openings: breaker.open_count(),
        }
    }

    fn default_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.shared.cfg.deadline_ms)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotDone`] when the transaction was certainly not sent or refused by the service, and
    /// [`PlatformError::Unknown`] when its answer did not come before the deadline.
    pub async fn commit_before(&self, txn: Txn, deadline: Instant) -> Outcome {
        let step = "commit";
        if !txn.fits() {
            return Err(not_done(step, "the transaction is too large"));
        }
        self.shared.check_breaker(step)?;
        let (reply_tx, reply_rx) = async_channel::bounded(1);
        let is_decided = Arc::new(AtomicBool::new(false));
        let waiting = Waiting {
            deadline,
            is_decided: Arc::clone(&is_decided),
            reply_tx,
        };
        if self.queue_tx.try_send((txn, waiting)).is_err() {
            count(&self.shared.counters.queue_refusals);
            return Err(not_done(step, "the queue is full"));
        }
        match timeout_at(deadline, reply_rx.recv()).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(unknown(step, "the sender stopped")),
            Err(_) if is_decided.swap(true, Ordering::AcqRel) => {
                Err(unknown(step, "no answer before the deadline"))
            }
            Err(_) => Err(not_done(step, "the deadline passed in the queue")),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error when the breaker is open or no answer came before the deadline.
    pub async fn get_before(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Row>, PlatformError> {
        let call = self.shared.inner.get(key);
        self.shared.read("get row", deadline, call).await
    }

    /// Reads all rows whose keys begin with any of the prefixes.
    ///
    /// # Errors
    ///
    /// Returns an error when the breaker is open or no answer came before the deadline.
    pub async fn scan_before(
        &self,
        prefixes: &[&str],
        deadline: Instant,
    ) -> Result<Vec<Row>, PlatformError> {
        let call = self.shared.inner.scan(prefixes);
        let rows = self.shared.read("scan", deadline, call).await?;
        self.shared.charge_rows(&rows);
        Ok(rows)
    }
}

#[async_trait]
impl TableService for ResilientTable {
    async fn commit(&self, txn: Txn) -> Outcome {
        self.commit_before(txn, self.default_deadline()).await
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.get_before(key, self.default_deadline()).await
    }

    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        self.scan_before(prefixes, self.default_deadline()).await
    }
}

impl Shared {
    fn check_breaker(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.breaker.is_open() {
            return Ok(());
        }
        count(&self.counters.breaker_refusals);
        Err(not_done(step, "the circuit breaker is open"))
    }

    // The service charges a scan by the size of its answer, which is known only now.
    fn charge_rows(&self, rows: &[Row]) {
        let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
        let reads = (rows.len().div_ceil(MAX_TXN_ROWS)).max(bytes.div_ceil(MAX_TXN_BYTES));
        let further = u32::try_from(reads.saturating_sub(1)).unwrap_or(u32::MAX);
        (self.counters.reads).fetch_add(further.into(), Ordering::Relaxed);
        self.read_rate.charge(further);
    }

    fn call_limit(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.cfg.call_timeout_ms)
    }

    // Makes one call to the service until a limit and notes its result.
    async fn call<T>(
        self: &Arc<Self>,
        step: &'static str,
        limit: Instant,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let time = limit.saturating_duration_since(Instant::now());
        let full_time = Duration::from_millis(self.cfg.call_timeout_ms);
        let is_cut_short = time < full_time * 9 / 10;
        match timeout_at(limit, call).await {
            Ok(Ok(answer)) => {
                self.breaker.record_success();
                Ok(answer)
            }
            Ok(Err(err)) => {
                self.note_failure(&err, self.breaker.record_failure());
                Err(err)
            }
            Err(_) => {
                let err = unknown(step, "no answer in time");
                // A call whose caller had little time says nothing about the service.
                let change = if is_cut_short {
                    self.breaker.record_failure()
                } else {
                    self.breaker.record_timeout()
                };
                self.note_failure(&err, change);
                Err(err)
            }
        }
    }

    fn note_failure(self: &Arc<Self>, err: &PlatformError, change: BreakerTransition) {
        count(match err {
            PlatformError::NotDone { .. } => &self.counters.not_done,
            PlatformError::Unknown { .. } => &self.counters.unknown,
        });
        if change == BreakerTransition::Opened {
            log_event!(self.log, events::BREAKER_OPENED; "problem" => err.to_string());
            spawn(probe(Arc::clone(self))).detach();
        }
    }

    async fn read<T>(
        self: &Arc<Self>,
        step: &'static str,
        deadline: Instant,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        self.check_breaker(step)?;
        if !self.read_rate.acquire_before(deadline).await {
            return Err(not_done(step, "above this instance's share of the rate"));
        }
        // The breaker may have opened during the wait.
        self.check_breaker(step)?;
        count(&self.counters.reads);
        let limit = self.call_limit().min(deadline);
        self.call(step, limit, call).await
    }
}

// Reads until the service answers. A read is used, because a probe must not put a caller's write at risk.
async fn probe(shared: Arc<Shared>) {
    loop {
        // An elapsed time is the end of the wait; a message ends it early.
        let _ = timeout(shared.breaker.next_probe_delay(), shared.probe_rx.recv()).await;
        let limit = shared.call_limit();
        if !shared.read_rate.acquire_before(limit).await {
            continue;
        }
        count(&shared.counters.reads);
        if let Ok(Ok(_)) = timeout_at(limit, shared.inner.get(PROBE_KEY)).await {
            shared.breaker.close();
            log_event!(shared.log, events::BREAKER_CLOSED);
            return;
        }
    }
}

async fn send_groups(shared: Arc<Shared>, queue_rx: Receiver<(Txn, Waiting)>) {
    let mut window = MIN_WINDOW;
    let mut carried = None;
    loop {
        let first = match carried.take() {
            Some(first) => first,
            None => match queue_rx.recv().await {
                Ok(first) => first,
                Err(_) => return,
            },
        };
        let mut group = TxnBatch::default();
        group.push(first.0, first.1);
        carried = gather(&mut group, &queue_rx, Instant::now() + window).await;
        // Members whose deadline passes during the wait for a turn are taken out before the group is sent.
        let permit = Arc::clone(&shared.in_flight).acquire_arc().await;
        shared.write_rate.acquire().await;
        if carried.is_none() {
            carried = gather(&mut group, &queue_rx, Instant::now()).await;
        }
        window = if shared.write_rate.is_nearly_exhausted() {
            (window * 2).min(MAX_WINDOW)
        } else {
            (window / 2).max(MIN_WINDOW)
        };
        let shared = Arc::clone(&shared);
        spawn(async move {
            send(&shared, group).await;
            drop(permit);
        })
        .detach();
    }
}

// Fills the group until an instant; returns a transaction that does not fit.
async fn gather(
    group: &mut TxnBatch<Waiting>,
    queue_rx: &Receiver<(Txn, Waiting)>,
    until: Instant,
) -> Option<(Txn, Waiting)> {
    while !group.is_full() {
        let next = match queue_rx.try_recv() {
            Ok(next) => next,
            Err(_) if Instant::now() >= until => return None,
            Err(_) => timeout_at(until, queue_rx.recv()).await.ok()?.ok()?,
        };
        if !group.accepts(&next.0) {
            return Some(next);
        }
        group.push(next.0, next.1);
    }
    None
}

async fn send(shared: &Arc<Shared>, mut group: TxnBatch<Waiting>) {
    let now = Instant::now();
    // A member whose caller has given up is answered already.
    let unwanted = |waiting: &Waiting| {
        waiting.deadline <= now || waiting.reply_tx.is_closed() || !waiting.take()
    };
    let expired = group.remove(unwanted);
    for waiting in expired {
        waiting.answer(Err(not_done("commit", "the deadline passed in the queue")));
    }
    let mut groups = vec![group];
    let mut is_first = true;
    while let Some(group) = groups.pop() {
        if group.is_empty() {
            continue;
        }
        if !std::mem::take(&mut is_first) {
            shared.write_rate.acquire().await;
        }
        if let Err(err) = shared.check_breaker("commit") {
            answer_all(group, &err);
            continue;
        }
        count(&shared.counters.writes);
        let members = group.len() as u64;
        (shared.counters.transactions).fetch_add(members, Ordering::Relaxed);
        let call = shared.inner.commit(group.txn());
        match shared.call("commit", shared.call_limit(), call).await {
            Ok(outcome) => groups.extend(settle(shared, group, outcome)),
            Err(err) => answer_all(group, &err),
        }
    }
}

fn settle(
    shared: &Shared,
    group: TxnBatch<Waiting>,
    outcome: TxnOutcome,
) -> Vec<TxnBatch<Waiting>> {
    let is_divided = group.len() > 1 && matches!(outcome, TxnOutcome::Conflict { .. });
    if is_divided {
        count(&shared.counters.split_batches);
    }
    let division = group.split_outcome(outcome);
    for (waiting, outcome) in division.completed {
        waiting.answer(Ok(outcome));
    }
    division.resend
}

fn answer_all(group: TxnBatch<Waiting>, err: &PlatformError) {
    for waiting in group.into_members() {
        waiting.answer(Err(err.clone()));
    }
}
