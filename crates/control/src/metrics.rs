//! Counters and placement samples for metrics.

use {
    async_channel::{Receiver, Sender},
    ragwortreel_model::{JobKind, Workspace},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Capacity of the placement sample queue; samples are dropped while it is full.
const PLACEMENT_QUEUE: usize = 4_096;

/// Sample for the placement latency metric, taken when a task starts for the first time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementSample {
    /// Workspace of the job.
    pub workspace: Workspace,
    /// Kind of the job.
    pub kind: JobKind,
    /// Time from the job's acceptance, or from the pool's takeover if later, until the worker confirmed the start, in
    /// ms.
    pub waited_ms: u64,
}

/// Bounded queue of placement samples.
#[derive(Debug)]
pub(crate) struct Placements {
    tx: Sender<PlacementSample>,
    rx: Receiver<PlacementSample>,
}

impl Default for Placements {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(PLACEMENT_QUEUE);
        Self { tx, rx }
    }
}

impl Placements {
    pub fn report(&self, placement: PlacementSample) {
        let _ = self.tx.try_send(placement);
    }

    pub fn reader(&self) -> Receiver<PlacementSample> {
        self.rx.clone()
    }
}

/// Counters since the start of the process.
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
