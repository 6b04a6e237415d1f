//! Progress of the responses to one call, also to several copies of it.

use {
    crate::MessageError,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Bytes received in response to a call, by all its copies. Shared by reference.
///
/// The time that a response takes grows with its size, so the deadline of a call bounds only the time without a
/// response. A response that is arriving may take longer: until no byte has arrived for the stall timeout, or until it
/// exceeds the deadline by the longest extension.
#[derive(Debug, Default)]
pub struct Transfer {
    stall_timeout: Duration,
    max_extension: Duration,
    group: Option<Arc<Transfer>>,
    max_body_bytes: Option<u64>,
    // Locked only to read or update it, never across an await.
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    copies: u32,
    bytes: u64,
    first_received: Option<Instant>,
    last_received: Option<Instant>,
    is_refused: bool,
}

impl Transfer {
    /// Creates the state of a call whose deadline may be extended; that of [`Self::default`] is not.
    #[must_use]
    pub fn new(stall_timeout: Duration, max_extension: Duration) -> Self {
        Self {
            stall_timeout,
            max_extension,
            group: None,
            max_body_bytes: None,
            state: Mutex::default(),
        }
    }

    /// Counts this call among those of a group, which are made at the same time and divide a link.
    #[must_use]
    pub fn in_group(mut self, group: &Arc<Self>) -> Self {
        self.group = Some(Arc::clone(group));
        self
    }

    /// Refuses a response that declares a larger body, before the body is read.
    #[must_use]
    pub fn with_max_body(mut self, bytes: u64) -> Self {
        self.max_body_bytes = Some(bytes);
        self
    }

    /// Whether a response was refused because it declares too large a body.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.lock().is_refused
    }

    /// Time of the first byte; `None` before it.
    #[must_use]
    pub fn first_received(&self) -> Option<Instant> {
        self.lock().first_received
    }

    /// Time of the last byte of this call or of its group; `None` before the first one.
    #[must_use]
    pub fn last_received(&self) -> Option<Instant> {
        let group = self.group.as_ref().and_then(|it| it.last_received());
        self.lock().last_received.max(group)
    }

    /// Deadline of the call, extended while bytes arrive.
    pub(crate) fn extended(&self, deadline: Instant) -> Instant {
        let last_received = self.lock().last_received;
        let stalled = last_received.map(|last| last + self.stall_timeout);
        let extended = stalled.map(|at| at.min(deadline + self.max_extension));
        extended.map_or(deadline, |at| at.max(deadline))
    }

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

    /// Checks the declared size of a body, and records whether it is too large.
    pub(crate) fn check_body(&self, bytes: u64) -> Result<(), MessageError> {
        if self.max_body_bytes.is_some_and(|most| bytes > most) {
            self.lock().is_refused = true;
            return Err(MessageError::BodyTooLarge);
        }
        Ok(())
    }

    pub(crate) fn record_copy(&self) {
        self.lock().copies += 1;
    }

    pub(crate) fn record_bytes(&self, count: u64) {
        if let Some(group) = &self.group {
            group.record_bytes(count);
        }
        let now = Instant::now();
        let mut state = self.lock();
        state.bytes += count;
        state.first_received.get_or_insert(now);
        state.last_received = Some(now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
