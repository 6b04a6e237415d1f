//! Monotonic time, replaceable in tests.
//!
//! Leases and deadlines use only differences of one process's own monotonic clock. A clock value never leaves the
//! process, except where the peer echoes it back unchanged.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Milliseconds since an arbitrary fixed point of this process.
    fn now_ms(&self) -> u64;
}

/// The operating system's monotonic clock.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Starts a clock at zero.
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

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance_ms(&self, by_ms: u64) {
        self.now_ms.fetch_add(by_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }
}
