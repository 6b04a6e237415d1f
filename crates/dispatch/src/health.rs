//! Health of the store, as observed by this instance.

use {
    crate::{
        CellMetrics,
        events::{STORE_RECOVERED, STORE_UNAVAILABLE},
        outages::{OutageStart, OutageTracker},
    },
    ragwortreel_runtime::{Logger, boot_ms, lock, log_event},
    std::{
        fmt::Display,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Time without an answer of the store after which an instance is not ready, in ms.
///
/// The store is called at least twice in this time. The platform needs two more seconds to route callers to other
/// instances.
const NOT_READY_AFTER_MS: u64 = 1_200;
/// Time without an answer of the store after which this instance sends it no callers' requests, in ms. The store is
/// called at least twice in this time independently of callers, and a request that it does not answer blocks its caller
/// for seconds.
const UNRESPONSIVE_AFTER_MS: u64 = 1_500;
/// Minimum retry delay for callers whose requests are not stored, in ms.
const MIN_RETRY_MS: u64 = 1_000;
/// Maximum retry delay for such callers, in ms; most outages last a few seconds.
const MAX_RETRY_MS: u64 = 4_000;

/// Time of the store's last answer, and its outages by step.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    last_success_ms: AtomicU64,
    outages: Mutex<OutageTracker>,
    metrics: Arc<CellMetrics>,
    log: Logger,
}

impl StoreHealth {
    pub(crate) fn new(log: Logger, metrics: Arc<CellMetrics>) -> Self {
        Self {
            last_success_ms: AtomicU64::new(0),
            outages: Mutex::default(),
            metrics,
            log,
        }
    }

    /// Records a successful call, and logs the end of an outage.
    pub(crate) fn record_success(&self, step: &'static str) {
        let now_ms = boot_ms();
        self.last_success_ms.store(now_ms, Ordering::Relaxed);
        if let Some(outage_ms) = lock(&self.outages).record_success(step, now_ms) {
            log_event!(self.log, STORE_RECOVERED; "step" => step, "lost_for_ms" => outage_ms);
        }
    }

    /// Records a failed call, and logs the start of an outage.
    pub(crate) fn record_failure(&self, step: &'static str, problem: &dyn Display) {
        self.metrics.record_store_failure(step);
        if let Some(OutageStart { suppressed }) =
            lock(&self.outages).record_failure(step, boot_ms())
        {
            log_event!(self.log, STORE_UNAVAILABLE; "step" => step, "problem" => problem.to_string(),
                "left_out" => suppressed);
        }
    }

    /// Whether the store has answered recently enough for this instance to be ready.
    pub(crate) fn is_ready(&self) -> bool {
        boot_ms().saturating_sub(self.last_success_ms.load(Ordering::Relaxed)) < NOT_READY_AFTER_MS
    }

    /// Whether the store has not answered for so long that it is sent no callers' requests.
    pub(crate) fn is_unresponsive(&self) -> bool {
        boot_ms().saturating_sub(self.last_success_ms.load(Ordering::Relaxed))
            >= UNRESPONSIVE_AFTER_MS
    }

    /// Retry delay for a caller whose request was not stored, in ms.
    ///
    /// It is the age of the longest ongoing outage, within bounds, because an outage will most likely last as long
    /// again.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let outage_ms = lock(&self.outages).longest_ms(boot_ms());
        outage_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}
