//! Table client with batching, a circuit breaker and a rate limit.
//!
//! Small independent transactions are collected for a few milliseconds and sent as one batch. The circuit breaker
//! refuses calls at once while the service fails. The client-side rate limit keeps this instance within its share of
//! the service's rates, also right after an outage. Calls are not retried: an error states whether the call had no
//! effect or has an unknown outcome.
//!
//! At most [`MAX_QUEUED_TXNS`] transactions are queued and [`MAX_IN_FLIGHT_BATCHES`] batches are in flight.

use {
    crate::{
        api::{MAX_TXN_BYTES, MAX_TXN_ROWS, PlatformError, Row, TableService, Txn, TxnOutcome},
        circuit_breaker::{BreakerTransition, CircuitBreaker},
        events,
        hedge::{ResponseTimes, hedge_effect},
        rate_limiter::RateLimiter,
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

mod batches;

/// Maximum number of queued transactions; further ones are refused at once.
pub const MAX_QUEUED_TXNS: usize = 1_024;
/// Maximum number of batches in flight.
pub const MAX_IN_FLIGHT_BATCHES: usize = 4;
/// Minimum time for which a batch is filled. The time is halved down to it while the bucket of the write rate limiter
/// is at least half full.
const MIN_BATCH_WINDOW: Duration = Duration::from_millis(5);
/// Maximum time for which a batch is filled. The time is doubled up to it while that bucket is less than half full.
const MAX_BATCH_WINDOW: Duration = Duration::from_millis(25);
/// Row that probes read; it need not exist.
const PROBE_KEY: &str = "probe";
const CONDITION_FAILED: &str = "the condition of the transaction does not hold";

/// Settings of [`ResilientTable`].
#[derive(Debug, Clone)]
pub struct ResilientConfig {
    /// Writes per second that the service allows to all instances together.
    pub writes_per_s: f64,
    /// Reads per second that the service allows to all instances together.
    pub reads_per_s: f64,
    /// Number of instances that share these rates.
    pub instances: u32,
    /// Timeout of one call to the service, in ms.
    pub call_timeout_ms: u64,
    /// Timeout of [`TableService`] calls, which have no deadline of their own, in ms.
    pub deadline_ms: u64,
    /// Shortest time after which a transaction without a response is sent again, in ms; `None` sends it once. For callers
    /// to whom a conflict with their own earlier copy means that the transaction took effect.
    pub hedge_ms: Option<u64>,
    /// Seed of the probe delay's jitter; differs between instances.
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
            hedge_ms: None,
            seed: fastrand::u64(..),
        }
    }
}

/// Counts since the start and current state, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableStats {
    /// Reads sent; a scan counts once for each 100 rows or 256 KB of its answer, as the service charges it.
    pub reads: u64,
    /// Writes sent; a batch counts once.
    pub writes: u64,
    /// Transactions sent in these writes.
    pub transactions: u64,
    /// Transactions refused because the queue was full.
    pub queue_refusals: u64,
    /// Calls refused because the circuit breaker was open.
    pub breaker_refusals: u64,
    /// Calls that the service refused or that did not reach it.
    pub not_done: u64,
    /// Calls that the service refused for good.
    pub refused: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Batches that were split because of a conflict or a refused transaction.
    pub split_batches: u64,
    /// Transactions in the queue now.
    pub queued: u64,
    /// Whether the circuit breaker is open now.
    pub breaker_open: bool,
    /// Number of times that the circuit breaker has opened.
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
    refused: AtomicU64,
    unknown: AtomicU64,
    split_batches: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

type Outcome = Result<TxnOutcome, PlatformError>;

/// Condition under which a queued transaction may be sent.
pub type SendCondition = Arc<dyn Fn() -> bool + Send + Sync>;

/// Caller that waits for the result of a queued transaction.
struct Waiter {
    deadline: Instant,
    /// Must hold whenever the transaction is sent, if present.
    condition: Option<SendCondition>,
    /// Set by the sender before it sends the transaction, or by the caller when its deadline passes, whichever comes
    /// first. A caller that sets it first knows that the transaction will not be sent.
    is_decided: Arc<AtomicBool>,
    reply_tx: Sender<Outcome>,
}

impl Waiter {
    // Marks the transaction as sent; returns `false` if its caller has given up.
    fn mark_sent(&self) -> bool {
        !self.is_decided.swap(true, Ordering::AcqRel)
    }

    fn may_be_sent(&self) -> bool {
        (self.condition.as_ref()).is_none_or(|holds| holds())
    }

    fn reply(&self, outcome: Outcome) {
        // The channel has room for its only message. An error means that the caller is gone.
        let _ = self.reply_tx.try_send(outcome);
    }
}

/// Table client with batching, a circuit breaker and a rate limit.
pub struct ResilientTable {
    shared: Arc<Shared>,
    queue_tx: Sender<(Txn, Waiter)>,
}

struct Shared {
    inner: Arc<dyn TableService>,
    cfg: ResilientConfig,
    breaker: CircuitBreaker,
    write_rate: RateLimiter,
    read_rate: RateLimiter,
    counters: Counters,
    /// Durations of transactions.
    response_times: ResponseTimes,
    in_flight: Arc<Semaphore>,
    /// Ends the delay before a probe early.
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
    /// Wraps a client and starts the task that sends batches, which ends when this object is dropped.
    #[must_use]
    pub fn new(inner: Arc<dyn TableService>, cfg: ResilientConfig, log: Logger) -> Self {
        let (queue_tx, queue_rx) = async_channel::bounded(MAX_QUEUED_TXNS);
        let instances = f64::from(cfg.instances.max(1));
        let (probe_tx, probe_rx) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            inner,
            probe_tx,
            probe_rx,
            breaker: CircuitBreaker::new(cfg.seed),
            write_rate: RateLimiter::new(cfg.writes_per_s / instances),
            read_rate: RateLimiter::new(cfg.reads_per_s / instances),
            counters: Counters::default(),
            response_times: ResponseTimes::default(),
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT_BATCHES)),
            cfg,
            log,
        });
        spawn(batches::send_batches(Arc::clone(&shared), queue_rx)).detach();
        Self { shared, queue_tx }
    }

    /// Sets the number of instances that share the service's rates.
    pub fn set_instances(&self, instances: u32) {
        let instances = f64::from(instances.max(1));
        let Shared {
            cfg,
            write_rate,
            read_rate,
            ..
        } = &*self.shared;
        write_rate.set_limit(cfg.writes_per_s / instances);
        read_rate.set_limit(cfg.reads_per_s / instances);
    }

    /// Probes the service at once if the circuit breaker is open; for callers that know that the service answers again.
    pub fn request_probe(&self) {
        if self.shared.breaker.is_open() {
            // If the channel is full, a probe is requested already.
            let _ = self.shared.probe_tx.try_send(());
        }
    }

    /// Counts since the start and current state, for metrics.
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
            refused: value(&counters.refused),
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

    /// Queues a transaction, which is sent in a batch, and waits for its result.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotDone`] if the transaction was not sent or the service refused it,
    /// [`PlatformError::Refused`] if it is too large or refused for good, and [`PlatformError::Unknown`] if it was sent and
    /// no response came before the deadline.
    pub async fn commit_before(&self, txn: Txn, deadline: Instant) -> Outcome {
        self.commit_if(txn, deadline, None).await
    }

    /// Like [`commit_before`](Self::commit_before), with a condition that is evaluated whenever the transaction is sent:
    /// the time in the queue is not bounded while the process is suspended, so an earlier check may be outdated.
    ///
    /// # Errors
    ///
    /// As `commit_before`; a transaction that is not sent because of its condition is [`PlatformError::NotDone`].
    pub async fn commit_if(
        &self,
        txn: Txn,
        deadline: Instant,
        condition: Option<SendCondition>,
    ) -> Outcome {
        let step = "commit";
        if !txn.fits() {
            return Err(PlatformError::Refused {
                step,
                peer: Arc::from("table"),
                problem: Arc::from("the transaction is too large"),
            });
        }
        self.shared.check_breaker(step)?;
        let (reply_tx, reply_rx) = async_channel::bounded(1);
        let is_decided = Arc::new(AtomicBool::new(false));
        let waiter = Waiter {
            deadline,
            condition,
            is_decided: Arc::clone(&is_decided),
            reply_tx,
        };
        if self.queue_tx.try_send((txn, waiter)).is_err() {
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

    /// Reads one row; `None` if it does not exist.
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

    // Charges the reads of a scan beyond the first: the service charges by the size of the response, which is known only
    // after the call.
    fn charge_rows(&self, rows: &[Row]) {
        let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
        let reads = (rows.len().div_ceil(MAX_TXN_ROWS)).max(bytes.div_ceil(MAX_TXN_BYTES));
        let additional = u32::try_from(reads.saturating_sub(1)).unwrap_or(u32::MAX);
        (self.counters.reads).fetch_add(additional.into(), Ordering::Relaxed);
        self.read_rate.charge(additional);
    }

    fn call_deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.cfg.call_timeout_ms)
    }

    // Commits a transaction. Sends it again while it gets no response, if the settings ask for that and it may be sent.
    async fn commit(&self, txn: Txn, may_be_sent: impl Fn() -> bool) -> Outcome {
        let Some(min_ms) = self.cfg.hedge_ms else {
            return self.inner.commit(txn).await;
        };
        let first_ms = self.response_times.hedge_after_ms(min_ms);
        hedge_effect(&[first_ms, 2 * first_ms], |number| {
            // The first copy follows the check in `send` at once.
            let is_refused = number > 0 && !may_be_sent();
            let call = self.inner.commit(txn.clone());
            async move {
                if is_refused {
                    return Err(not_done("commit", CONDITION_FAILED));
                }
                self.response_times.measure(Duration::ZERO, call).await
            }
        })
        .await
    }

    // Makes one call to the service and records its result in the circuit breaker and the counters.
    async fn call<T>(
        self: &Arc<Self>,
        step: &'static str,
        call_deadline: Instant,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let time_left = call_deadline.saturating_duration_since(Instant::now());
        let call_timeout = Duration::from_millis(self.cfg.call_timeout_ms);
        // A full call also has slightly less than the timeout left, because its deadline was computed earlier.
        let is_shortened = time_left < call_timeout * 9 / 10;
        match timeout_at(call_deadline, call).await {
            Ok(Ok(response)) => {
                self.breaker.record_success();
                Ok(response)
            }
            Ok(Err(err)) => {
                let transition = if matches!(err, PlatformError::Refused { .. }) {
                    // The service works; the call was at fault.
                    self.breaker.record_success();
                    BreakerTransition::None
                } else {
                    self.breaker.record_failure()
                };
                self.handle_failure(&err, transition);
                Err(err)
            }
            Err(_) => {
                let err = unknown(step, "no answer in time");
                // A call that its caller's deadline cut short says little about the service and counts as one failure.
                let transition = if is_shortened {
                    self.breaker.record_failure()
                } else {
                    self.breaker.record_timeout()
                };
                self.handle_failure(&err, transition);
                Err(err)
            }
        }
    }

    fn handle_failure(self: &Arc<Self>, err: &PlatformError, transition: BreakerTransition) {
        count(match err {
            PlatformError::NotDone { .. } => &self.counters.not_done,
            PlatformError::Refused { .. } => &self.counters.refused,
            PlatformError::Unknown { .. } => &self.counters.unknown,
        });
        if transition == BreakerTransition::Opened {
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
        // The breaker may have opened during the wait for the rate limit.
        self.check_breaker(step)?;
        count(&self.counters.reads);
        let call_deadline = self.call_deadline().min(deadline);
        self.call(step, call_deadline, call).await
    }
}

// Probes the service until it answers, then closes the breaker. Probes are reads, so that no caller's write is used to
// test whether the service works.
async fn probe(shared: Arc<Shared>) {
    loop {
        // Waits until the delay has elapsed or a probe is requested.
        let _ = timeout(shared.breaker.next_probe_delay(), shared.probe_rx.recv()).await;
        let call_deadline = shared.call_deadline();
        if !shared.read_rate.acquire_before(call_deadline).await {
            continue;
        }
        count(&shared.counters.reads);
        if let Ok(Ok(_)) = timeout_at(call_deadline, shared.inner.get(PROBE_KEY)).await {
            shared.breaker.close();
            log_event!(shared.log, events::BREAKER_CLOSED);
            return;
        }
    }
}
