//! Times that leadership and leases rest on.

use std::time::Duration;

/// Times of a cell; all but the lease are the same on all deployments.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Longest time for which a worker keeps a task without being asked, in ms; the platform's bound.
    pub lease_ms: u64,
    /// Time after its last successful renewal for which a leader that the store does not answer keeps tasks alive, in
    /// ms. Outages of the store last several seconds; the next leader waits this long for workers that it cannot reach.
    pub keep_alive_ms: u64,
    /// Time between two renewals of the leader's row when nothing else is stored, in ms.
    pub renewal_interval_ms: u64,
    /// Shortest time between two transactions of the journal, in ms; ends that come meanwhile share one.
    pub min_commit_interval_ms: u64,
    /// Shortest time between two readings of the list of workers, in ms.
    pub min_list_interval_ms: u64,
    /// Longest time that a worker may wait for an end before it answers a heartbeat.
    pub heartbeat_wait: Duration,
}

/// How much slower than ours a worker's clock may run, in percent, with a margin.
const SLOW_CLOCK_PERCENT: u64 = 3;
/// Time that an order may be under way when its lease is computed, in ms.
const ORDER_SLACK_MS: u64 = 700;

/// Time by which a leader stops starting tasks before another instance may take over, in ms: the difference between the
/// sending of a renewal and the reading of its row, and a timer that fires late.
const TAKEOVER_MARGIN_MS: u64 = 250;
/// Times of a transaction by which a takeover waits longer. An observer sees two transactions later than they begin, each
/// after one reading, and a single slow one must not change the leader.
const TRANSACTION_FACTOR: u64 = 6;

impl Timing {
    /// Shortest time without a change of the leader's row after which another instance takes over, in ms: two renewals.
    pub const MIN_TAKEOVER_MS: u64 = 700;
    /// Longest such time, in ms: the longest stall that short jobs survive within their objective; a store that is fifty
    /// times slower than usual still takes a renewal in half of it.
    pub const MAX_TAKEOVER_MS: u64 = 1_300;

    /// Time after which another instance takes over while transactions take some time, in ms.
    #[must_use]
    pub fn takeover_ms(transaction_ms: u64) -> u64 {
        let slow_ms = transaction_ms.saturating_mul(TRANSACTION_FACTOR);
        (Self::MIN_TAKEOVER_MS + slow_ms).min(Self::MAX_TAKEOVER_MS)
    }

    /// Time after the sending of its last successful renewal for which a leader starts tasks, in ms.
    ///
    /// It is shorter than the time of a takeover, so two leaders never start tasks at the same time.
    #[must_use]
    pub const fn start_window_ms(takeover_ms: u64) -> u64 {
        takeover_ms.saturating_sub(TAKEOVER_MARGIN_MS)
    }

    /// Times for a platform whose workers keep tasks for at most `lease_ms`.
    #[must_use]
    pub const fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            keep_alive_ms: 8_000,
            renewal_interval_ms: 300,
            min_commit_interval_ms: 20,
            min_list_interval_ms: 800,
            heartbeat_wait: Duration::from_secs(2),
        }
    }

    /// Time between two readings of the list of workers, in ms: half a millisecond a worker, so that a reading of some
    /// milliseconds a page stays a small part of it, and 4,000 workers are still read within 2 s.
    #[must_use]
    pub fn list_interval_ms(&self, workers: u64) -> u64 {
        self.min_list_interval_ms.max(workers / 2)
    }

    /// Time after an order by which everything that it keeps alive has certainly lapsed, in ms.
    #[must_use]
    pub const fn lease_bound_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * SLOW_CLOCK_PERCENT / 100 + ORDER_SLACK_MS
    }

    /// Time after a takeover by which everything has lapsed on workers that only an earlier leader reached, in ms.
    #[must_use]
    pub const fn unreached_lease_bound_ms(&self) -> u64 {
        self.keep_alive_ms + self.lease_bound_ms()
    }
}
