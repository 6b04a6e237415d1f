//! Token buckets: the retry budget and the rate limit of a workspace.

/// Capacity of the retry budget, in retries.
const MAX_BURST_RETRIES: u64 = 20;
/// Parts per retry; each first attempt of a request deposits `percent` parts.
const PARTS_PER_RETRY: u64 = 100;

/// Limits retries to a percentage of the requests. It starts empty, so the limit holds from the first request on.
#[derive(Debug, Default)]
pub struct RetryBudget {
    parts: u64,
}

impl RetryBudget {
    /// Credits the budget for the first attempt of a request.
    pub fn deposit(&mut self, percent: u32) {
        self.parts = (self.parts + u64::from(percent)).min(MAX_BURST_RETRIES * PARTS_PER_RETRY);
    }

    /// Takes one retry; returns false when the budget is used up.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.parts = rest;
        true
    }
}

/// Rate limit in requests per second, with a burst of one second.
#[derive(Debug)]
pub struct RateLimit {
    millitokens: u64,
    refilled_at_ms: u64,
}

impl RateLimit {
    /// A bucket that is full at `now_ms`.
    pub fn new(now_ms: u64, per_s: u64) -> Self {
        Self {
            millitokens: per_s.max(1) * 1_000,
            refilled_at_ms: now_ms,
        }
    }

    /// Takes the token of one request, or returns the time until one is available, in ms.
    pub fn try_take(&mut self, now_ms: u64, per_s: u64) -> Result<(), u64> {
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
