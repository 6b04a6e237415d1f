//! Counters for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub failed_renewals: Counter,
    pub failed_scans: Counter,
    pub fences: Counter,
    pub takeovers: Counter,
    pub journal_writes: Counter,
    pub snapshots: Counter,
    pub starts: Counter,
    pub ended_runs: Counter,
    pub orphans: Counter,
}

/// One count.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
