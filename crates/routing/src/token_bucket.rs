//! Token buckets: the retry budget and the rate limit of a workspace.

/// Retries that a workspace may save up.
const MAX_BURST_RETRIES: u64 = 20;
/// Parts of a token; one request earns `percent` parts of a retry.
const PARTS_PER_RETRY: u64 = 100;

/// Retries allowed as a percentage of requests. It starts empty, so that the bound holds from the first request on.
#[derive(Debug, Default)]
pub struct RetryBudget {
    parts: u64,
}

impl RetryBudget {
    /// A request has been sent for the first time.
    pub fn earn(&mut self, percent: u32) {
        self.parts = (self.parts + u64::from(percent)).min(MAX_BURST_RETRIES * PARTS_PER_RETRY);
    }

    /// Takes one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.parts = rest;
        true
    }
}

/// Requests a second, with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    millitokens: u64,
    refilled_at_ms: u64,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(now_ms: u64, per_s: u64) -> Self {
        Self {
            millitokens: per_s.max(1) * 1_000,
            refilled_at_ms: now_ms,
        }
    }

    /// Takes one request, or returns the time until one is available, in ms.
    pub fn take(&mut self, now_ms: u64, per_s: u64) -> Result<(), u64> {
        let per_s = per_s.max(1);
        let gained = now_ms
            .saturating_sub(self.refilled_at_ms)
            .saturating_mul(per_s);
        self.millitokens = self.millitokens.saturating_add(gained).min(per_s * 1_000);
        self.refilled_at_ms = now_ms;
        match self.millitokens.checked_sub(1_000) {
            Some(rest) => {
                self.millitokens = rest;
                Ok(())
            }
            None => Err((1_000 - self.millitokens).div_ceil(per_s)),
        }
    }
}
