//! Whether the store answers this instance.

use {
    crate::{
        CellMetrics,
        events::{STORE_BACK, STORE_LOST},
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
/// The store is asked at least twice in this time. The platform needs two more seconds to send callers elsewhere.
const STALE_MS: u64 = 1_200;
/// Time without an answer of the store after which this instance sends it no callers' requests, in ms. The store is asked
/// at least twice in this time whatever callers do, and a request that it does not answer holds its caller for seconds.
const SILENT_MS: u64 = 1_500;
/// Shortest time after which a caller is asked to come back when the store takes nothing, in ms.
const MIN_RETRY_MS: u64 = 1_000;
/// Longest such time, in ms; most outages last a few seconds.
const MAX_RETRY_MS: u64 = 4_000;

/// When the store answered, and which steps it does not answer.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    answered_ms: AtomicU64,
    outages: Mutex<OutageTracker>,
    metrics: Arc<CellMetrics>,
    log: Logger,
}

impl StoreHealth {
    pub(crate) fn new(log: Logger, metrics: Arc<CellMetrics>) -> Self {
        Self {
            answered_ms: AtomicU64::new(0),
            outages: Mutex::default(),
            metrics,
            log,
        }
    }

    /// Notes a call that was answered.
    pub(crate) fn answered(&self, step: &'static str) {
        let now_ms = boot_ms();
        self.answered_ms.store(now_ms, Ordering::Relaxed);
        if let Some(lost_for_ms) = lock(&self.outages).record_success(step, now_ms) {
            log_event!(self.log, STORE_BACK; "step" => step, "lost_for_ms" => lost_for_ms);
        }
    }

    /// Notes a call that was not answered.
    pub(crate) fn failed(&self, step: &'static str, problem: &dyn Display) {
        self.metrics.store_failure(step);
        if let Some(OutageStart { suppressed }) =
            lock(&self.outages).record_failure(step, boot_ms())
        {
            log_event!(self.log, STORE_LOST; "step" => step, "problem" => problem.to_string(),
                "left_out" => suppressed);
        }
    }

    /// Whether the store answered a short time ago.
    pub(crate) fn is_fresh(&self) -> bool {
        boot_ms().saturating_sub(self.answered_ms.load(Ordering::Relaxed)) < STALE_MS
    }

    /// Whether the store has not answered any call of this instance for some time.
    pub(crate) fn is_silent(&self) -> bool {
        boot_ms().saturating_sub(self.answered_ms.load(Ordering::Relaxed)) >= SILENT_MS
    }

    /// Time after which a caller whose request the store did not take should come back, in ms.
    ///
    /// An outage that has lasted for some time will most likely last as long again.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let lost_ms = lock(&self.outages).longest_ms(boot_ms());
        lost_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}
