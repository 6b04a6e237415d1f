//! Client-side rate limit.
//!
//! Calls reserve their turn in order of arrival and wait for it, so the calls that piled up during an outage leave at
//! the allowed rate and not all at once. No second sees more calls than the limit: the steady rate is lower by the
//! burst that may come on top of it.

use {
    ragwortreel_runtime::sleep,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Part of a second's calls at the steady rate that may leave at once after a quiet time.
const BURST_S: f64 = 0.1;

/// Token bucket whose tokens may be reserved ahead of time.
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Steady rate.
    per_s: f64,
    /// Available tokens; negative when turns are reserved ahead.
    tokens: f64,
    filled: Instant,
}

fn steady(limit_per_s: f64) -> f64 {
    limit_per_s / (1.0 + BURST_S)
}

impl State {
    fn burst(&self) -> f64 {
        (self.per_s * BURST_S).max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let grown = now.saturating_duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + grown).min(self.burst());
        self.filled = now;
    }
}

impl RateLimiter {
    /// Makes a limit of calls in any one second.
    #[must_use]
    pub fn new(limit_per_s: f64) -> Self {
        let mut state = State {
            per_s: steady(limit_per_s),
            tokens: 0.0,
            filled: Instant::now(),
        };
        state.tokens = state.burst();
        Self {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limit.
    pub fn set_limit(&self, limit_per_s: f64) {
        let mut state = self.lock();
        state.fill(Instant::now());
        state.per_s = steady(limit_per_s);
    }

    /// Whether less than half of a burst is left.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        let mut state = self.lock();
        state.fill(Instant::now());
        state.tokens < state.burst() / 2.0
    }

    /// Reserves the next turn; `None` when it would come after the deadline.
    #[must_use]
    pub fn reserve(&self, deadline: Instant) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        state.fill(now);
        let missing = (1.0 - state.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / state.per_s);
        if now + wait > deadline {
            return None;
        }
        state.tokens -= 1.0;
        Some(wait)
    }

    /// Charges calls that were made already, which delays the following ones.
    pub fn charge(&self, calls: u32) {
        let mut state = self.lock();
        state.fill(Instant::now());
        state.tokens -= f64::from(calls);
    }

    /// Waits for the next turn, however long it takes.
    pub async fn acquire(&self) {
        let wait = {
            let mut state = self.lock();
            state.fill(Instant::now());
            let missing = (1.0 - state.tokens).max(0.0);
            state.tokens -= 1.0;
            Duration::from_secs_f64(missing / state.per_s)
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Waits for the next turn; `false` when it would come after the deadline.
    pub async fn acquire_before(&self, deadline: Instant) -> bool {
        let Some(wait) = self.reserve(deadline) else {
            return false;
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
        true
    }
}
