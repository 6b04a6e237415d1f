//! Silence timeouts, derived from observed latencies to distinguish slow work from silent connections.

use std::{collections::VecDeque, time::Duration};

/// Number of most recent exchanges that are kept for each class.
const WINDOW_SAMPLES: usize = 64;
/// Number of most recent exchanges that are examined to detect that a class has become slower.
const RECENT_SAMPLES: usize = 16;
/// The silence timeout of a retryable request is shortened to the time until its deadline divided by this, which leaves
/// time for two more attempts.
const RETRYABLE_DEADLINE_DIVISOR: u32 = 3;
/// The silence timeout of a retryable request is not shortened below this multiple of the longest answered exchange.
const RETRYABLE_LATENCY_FACTOR: u32 = 8;
/// The silence timeout of a retryable request is not shortened below this, because shorter pauses of a healthy backend
/// server are common.
const MIN_RETRYABLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Latencies of the most recent exchanges of one class.
#[derive(Debug, Default)]
pub struct LatencyWindow {
    // Oldest first; at most `WINDOW_SAMPLES`.
    samples: VecDeque<Sample>,
}

#[derive(Debug, Clone, Copy)]
enum Sample {
    Answered(Duration),
    Silent(Duration),
}

impl LatencyWindow {
    /// Records the duration of an answered exchange.
    pub fn record_answered(&mut self, elapsed: Duration) {
        self.record(Sample::Answered(elapsed));
    }

    /// Records an exchange that was aborted because its connection was silent for `waited`.
    pub fn record_silent(&mut self, waited: Duration) {
        self.record(Sample::Silent(waited));
    }

    /// Time without progress after which a connection counts as silent; at least `base`.
    ///
    /// It is 1.5 times the longest answered exchange. If more than half of the [`RECENT_SAMPLES`] were aborted as
    /// silent, the class itself has probably become slower, and the timeout is twice the longest of their waits, so
    /// that later exchanges can complete. A single event that makes all connections of a pool silent, 8 by default,
    /// causes only half of the samples and does not double the timeout.
    pub fn silence_timeout(&self, base: Duration) -> Duration {
        let observed = self.longest_answered().unwrap_or_default() * 3 / 2;
        let recent = self.samples.iter().rev().take(RECENT_SAMPLES);
        let silent_waits: Vec<Duration> = recent
            .filter_map(|sample| match sample {
                Sample::Silent(waited) => Some(*waited),
                Sample::Answered(_) => None,
            })
            .collect();
        let doubled = if silent_waits.len() > RECENT_SAMPLES / 2 {
            silent_waits.into_iter().max().unwrap_or_default() * 2
        } else {
            Duration::ZERO
        };
        base.max(observed).max(doubled)
    }

    /// Like [`Self::silence_timeout`] for a retryable request with the time `left` until its deadline.
    ///
    /// The timeout is shortened to leave time for two more attempts, but stays far above every observed latency. It is
    /// not shortened if there are fewer than `min_samples` samples.
    pub fn retryable_silence_timeout(
        &self,
        base: Duration,
        left: Duration,
        min_samples: usize,
    ) -> Duration {
        if self.samples.len() < min_samples {
            return self.silence_timeout(base);
        }
        let longest = self.longest_answered().unwrap_or_default();
        let shortened = (left / RETRYABLE_DEADLINE_DIVISOR).max(longest * RETRYABLE_LATENCY_FACTOR);
        self.silence_timeout(shortened.max(MIN_RETRYABLE_TIMEOUT).min(base))
    }

    fn longest_answered(&self) -> Option<Duration> {
        let answered = self.samples.iter().filter_map(|sample| match sample {
            Sample::Answered(elapsed) => Some(*elapsed),
            Sample::Silent(_) => None,
        });
        answered.max()
    }

    fn record(&mut self, sample: Sample) {
        if self.samples.len() == WINDOW_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }
}

#[cfg(test)]
mod tests;
