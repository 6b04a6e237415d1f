//! Monotonic clock, with a manual implementation for tests.
//!
//! Leases and deadlines are computed from differences between readings of one process's own monotonic clock. A reading
//! is meaningless to other processes; it is sent only to peers that echo it back unchanged.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary fixed instant, which differs between processes.
    fn now_ms(&self) -> u64;
}

/// The operating system's monotonic clock, which does not advance while the machine is suspended.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock that reads 0 now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// A clock for tests; starts at 0 and changes only by [`ManualClock::advance_ms`].
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Advances the clock by a number of milliseconds.
    pub fn advance_ms(&self, by_ms: u64) {
        self.now_ms.fetch_add(by_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }
}
