//! Client-side rate limiter.
//!
//! Calls reserve tokens in order of arrival and wait for them, so the calls that queued up during an outage are sent at
//! the allowed rate and not all at once. A full bucket and the refill of one second together have as many tokens as
//! the limit allows calls, so no period of one second has more calls than the limit. Limits below 11 calls per second
//! are an exception, because the bucket holds at least one token.

use {
    ragwortreel_runtime::sleep,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Capacity of the bucket, in seconds of refill.
const BURST_SECONDS: f64 = 0.1;

/// Token bucket whose tokens may be reserved before they are refilled.
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Tokens added per second.
    refill_per_s: f64,
    /// Available tokens; negative if tokens are reserved in advance.
    tokens: f64,
    refilled_at: Instant,
}

fn refill_rate(limit_per_s: f64) -> f64 {
    limit_per_s / (1.0 + BURST_SECONDS)
}

impl State {
    fn burst(&self) -> f64 {
        (self.refill_per_s * BURST_SECONDS).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let added = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.refill_per_s;
        self.tokens = (self.tokens + added).min(self.burst());
        self.refilled_at = now;
    }
}

impl RateLimiter {
    /// Creates a limiter that allows `limit_per_s` calls in any period of one second; the bucket is full.
    #[must_use]
    pub fn new(limit_per_s: f64) -> Self {
        let mut state = State {
            refill_per_s: refill_rate(limit_per_s),
            tokens: 0.0,
            refilled_at: Instant::now(),
        };
        state.tokens = state.burst();
        Self {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the limit, in calls per second; reserved tokens stay reserved.
    pub fn set_limit(&self, limit_per_s: f64) {
        let mut state = self.lock();
        state.refill(Instant::now());
        state.refill_per_s = refill_rate(limit_per_s);
    }

    /// Whether the bucket is less than half full.
    #[must_use]
    pub fn is_nearly_exhausted(&self) -> bool {
        let mut state = self.lock();
        state.refill(Instant::now());
        state.tokens < state.burst() / 2.0
    }

    /// Reserves a token and returns the wait until it is available; `None` if that is after the deadline.
    #[must_use]
    pub fn reserve(&self, deadline: Instant) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.lock();
        state.refill(now);
        let missing = (1.0 - state.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / state.refill_per_s);
        if now + wait > deadline {
            return None;
        }
        state.tokens -= 1.0;
        Some(wait)
    }

    /// Takes tokens for calls that were made already, which delays the following calls.
    pub fn charge(&self, calls: u32) {
        let mut state = self.lock();
        state.refill(Instant::now());
        state.tokens -= f64::from(calls);
    }

    /// Takes a token and waits until it is available, without a deadline.
    pub async fn acquire(&self) {
        let wait = {
            let mut state = self.lock();
            state.refill(Instant::now());
            let missing = (1.0 - state.tokens).max(0.0);
            state.tokens -= 1.0;
            Duration::from_secs_f64(missing / state.refill_per_s)
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Takes a token and waits until it is available; returns `false` at once if that is after the deadline.
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
