//! Statistics of a leader's work between two summaries.

use std::mem;

/// Statistics of a leader's work since the last summary.
#[derive(Debug, Default)]
pub(crate) struct TermStats {
    pub(crate) decisions: u64,
    pub(crate) decision_max_ms: u64,
    pub(crate) transactions: u64,
    pub(crate) transaction_max_ms: u64,
    /// Bytes of the values in all transactions.
    pub(crate) stored_bytes: usize,
    /// Number of answered starts; their durations count from the decision.
    pub(crate) starts: u64,
    pub(crate) start_max_ms: u64,
    pub(crate) start_sum_ms: u64,
}

impl TermStats {
    /// Returns the statistics and resets them.
    pub(crate) fn take(&mut self) -> Self {
        mem::take(self)
    }

    pub(crate) fn record_decision(&mut self, took_ms: u64) {
        self.decisions += 1;
        self.decision_max_ms = self.decision_max_ms.max(took_ms);
    }

    pub(crate) fn record_transaction(&mut self, took_ms: u64, bytes: usize) {
        self.transactions += 1;
        self.transaction_max_ms = self.transaction_max_ms.max(took_ms);
        self.stored_bytes += bytes;
    }

    pub(crate) fn record_start(&mut self, took_ms: u64) {
        self.starts += 1;
        self.start_max_ms = self.start_max_ms.max(took_ms);
        self.start_sum_ms += took_ms;
    }
}
