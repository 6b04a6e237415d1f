//! Rate limits and counters of the platform's services.

use {
    serde::{Deserialize, Serialize},
    std::time::Instant,
};

/// Rate limits; reads and writes above them are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Writes a second; 0 for no limit.
    pub writes_per_s: u32,
    /// Reads a second; 0 for no limit.
    pub reads_per_s: u32,
}

impl RateLimits {
    /// No limits, for tests of behaviour that has nothing to do with rates.
    pub const NONE: Self = Self {
        writes_per_s: 0,
        reads_per_s: 0,
    };
}

impl Default for RateLimits {
    /// The rates of section 1.4 of the design page.
    fn default() -> Self {
        Self {
            writes_per_s: 500,
            reads_per_s: 2_000,
        }
    }
}

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Charged writes.
    pub writes: u64,
    /// Charged reads.
    pub reads: u64,
    /// Writes refused above the rate limit.
    pub writes_over_limit: u64,
    /// Reads refused above the rate limit.
    pub reads_over_limit: u64,
    /// Calls that met an outage or a partition.
    pub refused: u64,
    /// Calls whose answer was lost or cut.
    pub lost_answers: u64,
    /// Writes that took effect late.
    pub late_writes: u64,
    /// Transactions that met a failed check.
    pub conflicts: u64,
}

/// Token bucket that holds the tokens of one second.
#[derive(Debug)]
struct Bucket {
    per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self {
            per_s,
            tokens: per_s,
            filled: Instant::now(),
        }
    }

    fn take(&mut self, amount: u32) -> bool {
        if self.per_s == 0.0 {
            return true;
        }
        let now = Instant::now();
        let grown = now.duration_since(self.filled).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + grown).min(self.per_s);
        self.filled = now;
        let amount = f64::from(amount);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

/// Charges calls against the limits and counts them.
#[derive(Debug)]
pub struct RateLimiter {
    writes: Bucket,
    reads: Bucket,
    /// Calls so far.
    pub counts: PlatformCounts,
}

impl RateLimiter {
    /// Makes a meter with full buckets.
    #[must_use]
    pub fn new(limits: RateLimits) -> Self {
        Self {
            writes: Bucket::new(limits.writes_per_s),
            reads: Bucket::new(limits.reads_per_s),
            counts: PlatformCounts::default(),
        }
    }

    /// Charges writes; `false` when they are above the limit.
    pub fn take_writes(&mut self, amount: u32) -> bool {
        let taken = self.writes.take(amount);
        let counter = if taken {
            &mut self.counts.writes
        } else {
            &mut self.counts.writes_over_limit
        };
        *counter += u64::from(amount);
        taken
    }

    /// Charges reads; `false` when they are above the limit.
    pub fn take_reads(&mut self, amount: u32) -> bool {
        let taken = self.reads.take(amount);
        let counter = if taken {
            &mut self.counts.reads
        } else {
            &mut self.counts.reads_over_limit
        };
        *counter += u64::from(amount);
        taken
    }
}
