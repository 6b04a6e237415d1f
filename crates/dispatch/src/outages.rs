//! Outages of the store, or of another instance, as this instance's steps see them.
//!
//! The store has parts that fail on their own, so each step has its own outage: one state for all steps would begin and
//! end with every answer of a part that still works.

use std::collections::BTreeMap;

/// Time without a failure of a step after which the next failure begins another outage, in ms. It is longer than one
/// call of the store with its pause; a step that is no longer taken would otherwise count as failing for ever.
const GAP_MS: u64 = 5_000;
/// Shortest time between two lines about the beginning of one step's outages, in ms. A step that alternates between
/// parts of the store would write a pair of lines for each turn.
const REPEAT_MS: u64 = 5_000;

/// A line about the beginning of an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageStart {
    /// Outages of the step that began and ended since the last line and got none.
    pub suppressed: u64,
}

#[derive(Debug, Default)]
struct Outage {
    /// Time of the first and the last failure, while it lasts.
    span: Option<(u64, u64)>,
    /// Whether its beginning got a line.
    told: bool,
    told_ms: Option<u64>,
    suppressed: u64,
}

/// Outages by step.
#[derive(Debug, Default)]
pub struct OutageTracker {
    steps: BTreeMap<&'static str, Outage>,
}

impl OutageTracker {
    /// Notes a call that was not answered; returns what to write when an outage begins with it.
    pub fn record_failure(&mut self, step: &'static str, now_ms: u64) -> Option<OutageStart> {
        let outage = self.steps.entry(step).or_default();
        if let Some((_, last_ms)) = &mut outage.span
            && now_ms.saturating_sub(*last_ms) < GAP_MS
        {
            *last_ms = now_ms;
            return None;
        }
        outage.span = Some((now_ms, now_ms));
        let is_repeat = |told_ms: u64| now_ms.saturating_sub(told_ms) < REPEAT_MS;
        outage.told = !outage.told_ms.is_some_and(is_repeat);
        if !outage.told {
            outage.suppressed += 1;
            return None;
        }
        outage.told_ms = Some(now_ms);
        let suppressed = std::mem::take(&mut outage.suppressed);
        Some(OutageStart { suppressed })
    }

    /// Notes a call that was answered; returns how long an outage lasted whose beginning got a line, in ms.
    pub fn record_success(&mut self, step: &'static str, now_ms: u64) -> Option<u64> {
        let outage = self.steps.get_mut(step)?;
        let (since_ms, _) = outage.span.take()?;
        outage.told.then(|| now_ms.saturating_sub(since_ms))
    }

    /// Age of the oldest outage that lasts, in ms; 0 for none.
    #[must_use]
    pub fn longest_ms(&self, now_ms: u64) -> u64 {
        let spans = self.steps.values().filter_map(|outage| outage.span);
        let lasting = spans.filter(|(_, last_ms)| now_ms.saturating_sub(*last_ms) < GAP_MS);
        let ages = lasting.map(|(since_ms, _)| now_ms.saturating_sub(since_ms));
        ages.max().unwrap_or(0)
    }
}
