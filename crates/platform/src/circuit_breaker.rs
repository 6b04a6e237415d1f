//! Circuit breaker with jittered back-off.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// Shortest wait before a probe.
const MIN_BACKOFF_MS: u64 = 100;
/// Longest wait before a probe.
const MAX_BACKOFF_MS: u64 = 5_000;

/// What a failure did to the breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerTransition {
    /// It opened now; the caller starts the probes.
    Opened,
    /// Its state stays.
    None,
}

/// Refuses calls to a service that fails, until a probe succeeds.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    failures: u32,
    is_open: bool,
    /// Upper bound of the next wait. It outlives the closing of the breaker until a call succeeds, so a service that
    /// answers probes but nothing else is not probed ever faster.
    backoff_ms: u64,
    opened: u64,
    rng: fastrand::Rng,
}

impl CircuitBreaker {
    /// Makes a closed breaker.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let state = State {
            failures: 0,
            is_open: false,
            backoff_ms: MIN_BACKOFF_MS,
            opened: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether calls are refused.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.lock().is_open
    }

    /// Number of times that it opened.
    #[must_use]
    pub fn open_count(&self) -> u64 {
        self.lock().opened
    }

    /// Notes a call that was answered.
    pub fn record_success(&self) {
        let mut state = self.lock();
        state.failures = 0;
        // A late answer of a call from before the outage says nothing about the service now.
        if !state.is_open {
            state.backoff_ms = MIN_BACKOFF_MS;
        }
    }

    /// Notes a call that failed.
    pub fn record_failure(&self) -> BreakerTransition {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        if state.is_open || state.failures < FAILURES_TO_OPEN {
            return BreakerTransition::None;
        }
        state.is_open = true;
        state.opened += 1;
        BreakerTransition::Opened
    }

    /// Notes a call that got no answer in its time. One is enough: a service that answers is far faster, and an instance
    /// that makes few calls would keep its callers waiting for each of them.
    pub fn record_timeout(&self) -> BreakerTransition {
        let mut state = self.lock();
        state.failures = state.failures.max(FAILURES_TO_OPEN);
        drop(state);
        self.record_failure()
    }

    /// Time to wait before the next probe: random between the shortest wait and a bound that doubles each time.
    #[must_use]
    pub fn next_probe_delay(&self) -> Duration {
        let mut state = self.lock();
        state.backoff_ms = (state.backoff_ms * 2).min(MAX_BACKOFF_MS);
        let bound_ms = state.backoff_ms;
        Duration::from_millis(state.rng.u64(MIN_BACKOFF_MS..=bound_ms))
    }

    /// Closes the breaker after a successful probe.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_open = false;
        state.failures = 0;
    }
}
