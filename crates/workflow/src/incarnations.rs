//! Incarnations of workers.
//!
//! A worker may start again under its identifier, also as another kind, with another capacity or for another service. Its
//! entry and its answers come by different ways, so either may be of a former incarnation. Nothing is started on a worker
//! unless both are of the same one, and a start names the incarnation for which it was decided.

use {
    crate::{Scheduler, StartOrder, worker::Worker},
    ragwortreel_model::WorkerId,
};

/// Incarnation of a worker: the time of its start, in Unix ms. A worker may start again under its identifier, also as another
/// kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation(pub u64);

impl Worker {
    /// Whether the entry is of the incarnation that answers. That of a former one may name another kind or capacity.
    pub(crate) fn has_own_entry(&self) -> bool {
        let both = self.spec.incarnation.zip(self.incarnation);
        both.is_none_or(|(listed, answering)| listed == answering)
    }
}

impl Scheduler {
    /// Whether a worker answers whose own entry is not listed yet, but that of a former incarnation.
    #[must_use]
    pub fn lacks_entry(&self, id: &WorkerId) -> bool {
        (self.workers.get(id)).is_some_and(|worker| !worker.has_own_entry())
    }

    /// Whether a worker still is the incarnation for which a start was decided.
    #[must_use]
    pub fn is_for_incarnation(&self, start: &StartOrder) -> bool {
        let worker = self.workers.get(&start.worker);
        worker.is_some_and(|worker| worker.incarnation == start.incarnation)
    }
}
