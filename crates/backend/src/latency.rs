//! Learned latency, which separates long work from silence.

use std::{collections::VecDeque, time::Duration};

/// Exchanges that are remembered for each class.
const WINDOW: usize = 64;
/// Last exchanges that are looked at to find that a class has become slower.
const RECENT: usize = 16;
/// Part of the time left that a request which may be sent again waits on one connection.
const RESEND_SHARE: u32 = 3;
/// How many times longer than the longest answered exchange such a request waits at least.
const RESEND_FACTOR: u32 = 8;
/// Shortest time after which such a request is given up; shorter pauses of a healthy backend server are common.
const MIN_RESEND_PATIENCE: Duration = Duration::from_millis(100);

/// Latencies of the last exchanges of one class.
#[derive(Debug, Default)]
pub struct Latency {
    // Oldest first; at most `WINDOW`.
    samples: VecDeque<Sample>,
}

#[derive(Debug, Clone, Copy)]
enum Sample {
    Answered(Duration),
    Silent(Duration),
}

impl Latency {
    /// Records the duration of an answered exchange.
    pub fn record_answered(&mut self, elapsed: Duration) {
        self.record(Sample::Answered(elapsed));
    }

    /// Records an exchange that was given up as silent.
    pub fn record_silent(&mut self, waited: Duration) {
        self.record(Sample::Silent(waited));
    }

    /// Time without progress that this class can explain; at least `floor`.
    ///
    /// It is one and a half times the longest answered exchange. When most of the last exchanges were given up, the
    /// class itself has become slower, and the time doubles so that the next ones can show it. A single event in
    /// which a share's 8 connections go silent together is not enough for that.
    pub fn patience(&self, floor: Duration) -> Duration {
        let learned = self.longest_answered().unwrap_or_default() * 3 / 2;
        let recent = self.samples.iter().rev().take(RECENT);
        let given_up: Vec<Duration> = recent
            .filter_map(|sample| match sample {
                Sample::Silent(waited) => Some(*waited),
                Sample::Answered(_) => None,
            })
            .collect();
        let doubled = if given_up.len() > RECENT / 2 {
            given_up.into_iter().max().unwrap_or_default() * 2
        } else {
            Duration::ZERO
        };
        floor.max(learned).max(doubled)
    }

    /// Like [`Self::patience`] for a request that may be sent again, with this time left until its deadline.
    ///
    /// It is short enough for two more attempts, but far longer than anything seen; with fewer than `min_samples` it
    /// is not shortened.
    pub fn resend_patience(&self, floor: Duration, left: Duration, min_samples: usize) -> Duration {
        if self.samples.len() < min_samples {
            return self.patience(floor);
        }
        let longest = self.longest_answered().unwrap_or_default();
        let shortened = (left / RESEND_SHARE).max(longest * RESEND_FACTOR);
        self.patience(shortened.max(MIN_RESEND_PATIENCE).min(floor))
    }

    fn longest_answered(&self) -> Option<Duration> {
        let answered = self.samples.iter().filter_map(|sample| match sample {
            Sample::Answered(elapsed) => Some(*elapsed),
            Sample::Silent(_) => None,
        });
        answered.max()
    }

    fn record(&mut self, sample: Sample) {
        if self.samples.len() == WINDOW {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }
}

#[cfg(test)]
mod tests;
