//! Progress of the responses to one call, also to several copies of it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Bytes received in response to a call, by all its copies. Shared by reference.
#[derive(Debug, Default)]
pub struct Transfer {
    // Locked only to read or update it, never across an await.
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    copies: u32,
    bytes: u64,
    last_received: Option<Instant>,
}

impl Transfer {
    /// Number of copies that were sent.
    #[must_use]
    pub fn copies(&self) -> u32 {
        self.lock().copies
    }

    /// Bytes received by all copies, heads of responses included.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    pub(crate) fn record_copy(&self) {
        self.lock().copies += 1;
    }

    pub(crate) fn record_bytes(&self, count: u64) {
        let mut state = self.lock();
        state.bytes += count;
        state.last_received = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
