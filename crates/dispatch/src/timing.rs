//! Timeouts and intervals of leadership and leases.

use std::time::Duration;

/// Timeouts and intervals of a cell; all but the lease are the same on all deployments.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Longest time for which a worker keeps a task without a heartbeat, in ms; set by the platform.
    pub lease_ms: u64,
    /// Time after its last successful renewal for which a leader extends leases although the store does not answer, in
    /// ms. Outages of the store last several seconds; the next leader waits this long for workers that it cannot reach.
    pub keep_alive_ms: u64,
    /// Interval between two renewals of the leader's row when nothing else is stored, in ms.
    pub renewal_interval_ms: u64,
    /// Minimum interval between two transactions of the journal, in ms; ends of runs that arrive meanwhile share one.
    pub min_commit_interval_ms: u64,
    /// Minimum interval between two reads of the worker list, in ms.
    pub min_list_interval_ms: u64,
    /// Longest time that a worker may wait for a run to end before it answers a heartbeat.
    pub heartbeat_wait: Duration,
}

/// Maximum rate by which a worker's clock may be slower than the leader's, in percent, with a margin.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 3;
/// Longest time since a worker's clock was read for which leases are granted by it, in ms: that of a heartbeat without an
/// answer, with the time for which the ends in the former answer waited to be stored.
const MAX_CLOCK_AGE_MS: u64 = 5_000;

/// Time by which a leader stops starting tasks before another instance may take over, in ms. It covers the difference
/// between sending a renewal and reading its row, and a timer that fires late.
const TAKEOVER_MARGIN_MS: u64 = 250;
/// Number of transaction durations that are added to the minimum takeover time. Another instance sees two transactions
/// later than they begin, each after one poll, and a single slow transaction must not cause a takeover.
const TAKEOVER_TRANSACTIONS: u64 = 6;

/// Most by which one clock advances further than another one in this time, in ms.
pub(crate) const fn drift_ms(ms: u64) -> u64 {
    ms * MAX_CLOCK_DRIFT_PERCENT / 100
}

impl Timing {
    /// Shortest time without a change of the leader's row after which another instance takes over, in ms: two renewals.
    pub const MIN_TAKEOVER_MS: u64 = 700;
    /// Longest time without a change of the leader's row after which another instance takes over, in ms: the longest
    /// stall that still lets short jobs meet their objective. A store that is fifty times slower than usual still
    /// commits a renewal in half of it.
    pub const MAX_TAKEOVER_MS: u64 = 1_300;

    /// Time without a change of the leader's row after which another instance takes over, in ms, when a transaction
    /// takes `transaction_ms`.
    #[must_use]
    pub fn takeover_ms(transaction_ms: u64) -> u64 {
        let extra_ms = transaction_ms.saturating_mul(TAKEOVER_TRANSACTIONS);
        (Self::MIN_TAKEOVER_MS + extra_ms).min(Self::MAX_TAKEOVER_MS)
    }

    /// Start window: time after sending its last successful renewal for which a leader starts tasks, in ms.
    ///
    /// It is shorter than the takeover time, so two leaders never start tasks at the same time.
    #[must_use]
    pub const fn start_window_ms(takeover_ms: u64) -> u64 {
        takeover_ms.saturating_sub(TAKEOVER_MARGIN_MS)
    }

    /// Timing for a platform whose workers keep tasks for at most `lease_ms` without a heartbeat.
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

    /// Interval between two reads of the worker list, in ms: half a millisecond per worker. A read of some milliseconds
    /// a page stays a small part of it, and 4,000 workers are still read within 2 s.
    #[must_use]
    pub fn list_interval_ms(&self, workers: u64) -> u64 {
        self.min_list_interval_ms.max(workers / 2)
    }

    /// Time after the sending of an order by which the lease that it grants has certainly expired, in ms, if the worker's
    /// clock was read `clock_age_ms` earlier; `None` if that is too long ago.
    ///
    /// The order names the end of the lease on the worker's clock, so it does not matter when it arrives.
    #[must_use]
    pub const fn granted_lease_bound_ms(&self, clock_age_ms: u64) -> Option<u64> {
        if clock_age_ms > MAX_CLOCK_AGE_MS {
            return None;
        }
        let drift_ms = drift_ms(clock_age_ms + self.lease_ms);
        Some(self.lease_ms + drift_ms)
    }

    /// Time after the sending of any order by which the lease that it grants has certainly expired, in ms.
    #[must_use]
    pub const fn lease_bound_ms(&self) -> u64 {
        self.lease_ms + drift_ms(MAX_CLOCK_AGE_MS + self.lease_ms)
    }

    /// Time after the recovery of a new leader by which all leases have expired on workers that only an earlier leader reached,
    /// in ms. If the former one released leadership, it had stopped to extend leases before.
    #[must_use]
    pub const fn unreached_lease_bound_ms(&self) -> u64 {
        self.keep_alive_ms + self.lease_bound_ms()
    }
}
