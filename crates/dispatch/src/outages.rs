//! Outages of the store or of another instance, by the step that fails.
//!
//! A step is a named operation such as `read jobs`, not a step of a job.
//!
//! Partitions of the store fail independently, so each step has its own outage: a single one for all steps would start
//! and end with every answer of a partition that still works.

use std::collections::BTreeMap;

/// Time without a failure of a step after which the next failure starts another outage, in ms. It is longer than one
/// store call with its retry delay. Without it, a step that is no longer executed would count as failing forever.
const OUTAGE_GAP_MS: u64 = 5_000;
/// Minimum interval between two log lines about the start of a step's outages, in ms. A step that alternates between
/// partitions would otherwise log a pair of lines for each change.
const MIN_LOG_INTERVAL_MS: u64 = 5_000;

/// Start of an outage that is to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageStart {
    /// Number of outages of the step that were not logged since the last logged one.
    pub suppressed: u64,
}

#[derive(Debug, Default)]
struct Outage {
    /// Times of the first and the last failure, in ms; `None` when no outage is in progress.
    span: Option<(u64, u64)>,
    /// Whether the start of the outage was logged.
    is_logged: bool,
    last_logged_ms: Option<u64>,
    suppressed: u64,
}

/// Outages by step; all times are in ms of one clock.
#[derive(Debug, Default)]
pub struct OutageTracker {
    steps: BTreeMap<&'static str, Outage>,
}

impl OutageTracker {
    /// Records a failed call; returns what to log if an outage starts with it.
    pub fn record_failure(&mut self, step: &'static str, now_ms: u64) -> Option<OutageStart> {
        let outage = self.steps.entry(step).or_default();
        if let Some((_, last_ms)) = &mut outage.span
            && now_ms.saturating_sub(*last_ms) < OUTAGE_GAP_MS
        {
            *last_ms = now_ms;
            return None;
        }
        outage.span = Some((now_ms, now_ms));
        let is_recent =
            |last_logged_ms: u64| now_ms.saturating_sub(last_logged_ms) < MIN_LOG_INTERVAL_MS;
        outage.is_logged = !outage.last_logged_ms.is_some_and(is_recent);
        if !outage.is_logged {
            outage.suppressed += 1;
            return None;
        }
        outage.last_logged_ms = Some(now_ms);
        let suppressed = std::mem::take(&mut outage.suppressed);
        Some(OutageStart { suppressed })
    }

    /// Records a successful call; returns the duration of the outage that it ends, in ms, if its start was logged.
    pub fn record_success(&mut self, step: &'static str, now_ms: u64) -> Option<u64> {
        let outage = self.steps.get_mut(step)?;
        let (since_ms, _) = outage.span.take()?;
        outage.is_logged.then(|| now_ms.saturating_sub(since_ms))
    }

    /// Age of the longest outage in progress, in ms; 0 for none.
    #[must_use]
    pub fn longest_ms(&self, now_ms: u64) -> u64 {
        let spans = self.steps.values().filter_map(|outage| outage.span);
        let ongoing = spans.filter(|(_, last_ms)| now_ms.saturating_sub(*last_ms) < OUTAGE_GAP_MS);
        let ages = ongoing.map(|(since_ms, _)| now_ms.saturating_sub(since_ms));
        ages.max().unwrap_or(0)
    }
}
