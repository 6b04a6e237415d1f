//! Rate limits and call counters of the platform.
//!
//! A call uses one unit of its rate limit; a large scan uses one unit for each `MAX_TXN_ROWS` rows or `MAX_TXN_BYTES`
//! bytes of its reply, rounded up, whichever gives more units.

use {
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// Rate limits of the platform; calls above them are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Write units per second; 0 for no limit.
    pub writes_per_s: u32,
    /// Read units per second; 0 for no limit.
    pub reads_per_s: u32,
}

impl RateLimits {
    /// No limits, for tests that do not depend on the rate.
    pub const NONE: Self = Self {
        writes_per_s: 0,
        reads_per_s: 0,
    };
}

impl Default for RateLimits {
    /// Returns the rates that section 1.4 of the design page states for the platform.
    fn default() -> Self {
        Self {
            writes_per_s: 500,
            reads_per_s: 2_000,
        }
    }
}

/// Call counters since the platform was created; reads and writes are counted in units of the rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Writes within the rate limit.
    pub writes: u64,
    /// Reads within the rate limit.
    pub reads: u64,
    /// Writes refused because they were above the rate limit.
    pub writes_over_limit: u64,
    /// Reads refused because they were above the rate limit.
    pub reads_over_limit: u64,
    /// Calls not executed because of an outage or a partition.
    pub refused: u64,
    /// Calls whose reply was lost.
    pub lost_answers: u64,
    /// Writes that were executed after their call had failed.
    pub late_writes: u64,
    /// Transactions rejected because a version check failed.
    pub conflicts: u64,
}

/// Token bucket with a burst of one second of tokens; a rate of 0 means no limit.
#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self {
            per_s,
            tokens: per_s,
            refilled_at: Instant::now(),
        }
    }

    fn try_take(&mut self, amount: u32) -> bool {
        if self.per_s == 0.0 {
            return true;
        }
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + refill).min(self.per_s);
        self.refilled_at = now;
        let amount = f64::from(amount);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

/// Applies the rate limits to calls and counts the calls.
#[derive(Debug)]
pub struct RateLimiter {
    writes: TokenBucket,
    reads: TokenBucket,
    /// Call counters.
    pub counts: PlatformCounts,
}

impl RateLimiter {
    /// Creates a rate limiter with full token buckets.
    #[must_use]
    pub fn new(limits: RateLimits) -> Self {
        Self {
            writes: TokenBucket::new(limits.writes_per_s),
            reads: TokenBucket::new(limits.reads_per_s),
            counts: PlatformCounts::default(),
        }
    }

    /// Takes units of the write limit; returns `false`, and takes none, if too few are left.
    pub fn try_take_writes(&mut self, amount: u32) -> bool {
        let within_limit = self.writes.try_take(amount);
        let counter = if within_limit {
            &mut self.counts.writes
        } else {
            &mut self.counts.writes_over_limit
        };
        *counter += u64::from(amount);
        within_limit
    }

    /// Takes units of the read limit; returns `false`, and takes none, if too few are left.
    pub fn try_take_reads(&mut self, amount: u32) -> bool {
        let within_limit = self.reads.try_take(amount);
        let counter = if within_limit {
            &mut self.counts.reads
        } else {
            &mut self.counts.reads_over_limit
        };
        *counter += u64::from(amount);
        within_limit
    }
}
