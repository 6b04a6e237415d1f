//! Circuit breaker with a jittered backoff between probes.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// Minimum delay before a probe.
const MIN_BACKOFF_MS: u64 = 100;
/// Maximum delay before a probe.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Effect of a recorded failure on the breaker's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerTransition {
    /// The breaker has opened; the caller starts the probes.
    Opened,
    /// The state is unchanged.
    None,
}

/// State of a circuit breaker, which refuses calls to a failing service until a probe succeeds.
#[derive(Debug)]
pub struct CircuitBreaker {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Consecutive failures.
    failures: u32,
    is_open: bool,
    /// Upper bound of the last probe delay. It is reset by a successful call and not when the breaker closes, so a
    /// service that answers probes but fails all other calls is not probed at the minimum delay again and again.
    backoff_ms: u64,
    open_count: u64,
    rng: fastrand::Rng,
}

impl CircuitBreaker {
    /// Creates a closed breaker; `seed` determines the jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let state = State {
            failures: 0,
            is_open: false,
            backoff_ms: MIN_BACKOFF_MS,
            open_count: 0,
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

    /// Number of times that the breaker has opened.
    #[must_use]
    pub fn open_count(&self) -> u64 {
        self.lock().open_count
    }

    /// Records a call that the service answered.
    pub fn record_success(&self) {
        let mut state = self.lock();
        state.failures = 0;
        // A late response to a call from before the outage does not show that the service works again.
        if !state.is_open {
            state.backoff_ms = MIN_BACKOFF_MS;
        }
    }

    /// Records a call that failed.
    pub fn record_failure(&self) -> BreakerTransition {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        if state.is_open || state.failures < FAILURES_TO_OPEN {
            return BreakerTransition::None;
        }
        state.is_open = true;
        state.open_count += 1;
        BreakerTransition::Opened
    }

    /// Records a call that timed out, which opens the breaker at once: a healthy service answers far faster, and on an
    /// instance that makes few calls each further caller would wait for the full timeout.
    pub fn record_timeout(&self) -> BreakerTransition {
        let mut state = self.lock();
        state.failures = state.failures.max(FAILURES_TO_OPEN);
        drop(state);
        self.record_failure()
    }

    /// Delay before the next probe: random between 100 ms and a bound that doubles on each call, up to 5 s.
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
