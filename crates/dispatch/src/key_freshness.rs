//! Age of the proof that the configuration in force is the newest one.
//!
//! A withdrawn key must be refused by every instance a fixed time after the store has acknowledged the configuration
//! without it, also by an instance that was suspended or cut off from the store. Therefore an instance accepts keys only
//! while it has a fresh proof: a response of the store that contained the newest configuration or reported no change.
//! The response may be older than its arrival, so the age of a proof counts from the sending of the call, on a clock
//! that includes time in suspension. A failed call proves nothing, and a configuration that cannot be parsed may have
//! withdrawn keys, so nothing is proven until a readable one is found.

use {
    ragwortreel_model::Clock,
    ragwortreel_runtime::{boot_ms, lock},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Part of the revocation time by which a proof expires earlier, in percent. A clock may be 3% slow (see
/// [`Timing`](crate::Timing)); the rest is for the steps between the check and its effect.
const MARGIN_PERCENT: u64 = 4;
/// Number of polls per revocation time. A lost poll takes 1.5 s more to fail, and the configuration is read again 0.2 s
/// later. With ten polls in 5 s, the proof is then still fresh and a new key known within 3 s, also in a store that
/// takes 400 ms to answer; with polls of 1 s, the new key would take 3.1 s.
const POLLS_PER_REVOCATION: u64 = 10;
/// Shortest and longest time that the store is asked to wait for a change of the configuration, in ms.
const MIN_POLL_MS: u64 = 200;
const MAX_POLL_MS: u64 = 1_000;

/// Clock of [`boot_ms`], which includes time in suspension.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now_ms(&self) -> u64 {
        boot_ms()
    }
}

/// Change of the proof from fresh to too old or back, each reported once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessChange {
    /// The proof is too old; keys are not accepted.
    Lost {
        /// Age of the proof, in ms.
        age_ms: u64,
    },
    /// There is a fresh proof again.
    Regained {
        /// Time since the loss was noticed, in ms.
        lost_for_ms: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    /// Time at which the call of the last proof was sent, in ms.
    proven_ms: Option<u64>,
    /// Whether the last configuration that was read cannot be parsed or applied.
    is_unreadable: bool,
    /// Time at which the loss of the proof was noticed, in ms.
    lost_ms: Option<u64>,
}

/// Proof that the configuration in force is the newest one.
pub struct KeyFreshness {
    /// Age from which a proof is too old, in ms; `None` if proofs do not expire.
    max_age_ms: Option<u64>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl KeyFreshness {
    /// Creates the state without a proof. `revocation_ms` is the time after which a withdrawn key must be refused;
    /// without it, the acceptance of keys does not expire.
    #[must_use]
    pub fn new(revocation_ms: Option<u64>, clock: Arc<dyn Clock>) -> Self {
        Self {
            max_age_ms: revocation_ms.map(|ms| ms - ms * MARGIN_PERCENT / 100),
            clock,
            state: Mutex::default(),
        }
    }

    /// Time on the clock by which the age of a proof is measured, in ms.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records that a call sent at this time returned a readable configuration, which is in force now.
    pub fn record_readable(&self, sent_ms: u64) {
        let mut state = lock(&self.state);
        state.is_unreadable = false;
        state.proven_ms = state.proven_ms.max(Some(sent_ms));
    }

    /// Records that a call sent at this time reported no change since the last read.
    pub fn record_unchanged(&self, sent_ms: u64) {
        let mut state = lock(&self.state);
        if !state.is_unreadable {
            state.proven_ms = state.proven_ms.max(Some(sent_ms));
        }
    }

    /// Records that the newest configuration cannot be parsed or applied, so that the one in force is not the newest.
    pub fn record_unreadable(&self) {
        lock(&self.state).is_unreadable = true;
    }

    /// Whether the proof is fresh enough for keys to be accepted.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let Some(max_age_ms) = self.max_age_ms else {
            return true;
        };
        let proven_ms = lock(&self.state).proven_ms;
        proven_ms.is_some_and(|proven_ms| self.now_ms().saturating_sub(proven_ms) < max_age_ms)
    }

    /// Returns a change since the last call that is to be logged.
    pub fn take_change(&self) -> Option<FreshnessChange> {
        let is_fresh = self.is_fresh();
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        match (is_fresh, state.lost_ms) {
            (false, None) => {
                // Before the first proof nothing is lost.
                let age_ms = now_ms.saturating_sub(state.proven_ms?);
                state.lost_ms = Some(now_ms);
                Some(FreshnessChange::Lost { age_ms })
            }
            (true, Some(lost_ms)) => {
                state.lost_ms = None;
                let lost_for_ms = now_ms.saturating_sub(lost_ms);
                Some(FreshnessChange::Regained { lost_for_ms })
            }
            _ => None,
        }
    }

    /// Time that the store is asked to wait for a change of the configuration. Its response proves only that nothing
    /// had changed when the poll was sent, so the wait is a small part of the revocation time.
    #[must_use]
    pub fn poll_wait(&self) -> Duration {
        let wait_ms = self.max_age_ms.map_or(MAX_POLL_MS, |ms| {
            (ms / POLLS_PER_REVOCATION).clamp(MIN_POLL_MS, MAX_POLL_MS)
        });
        Duration::from_millis(wait_ms)
    }
}
