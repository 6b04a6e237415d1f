//! Settings of a pool's scheduler.

/// Limits, intervals and defaults of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Maximum number of queued tasks; a job that would exceed it is rejected.
    pub max_queued_tasks: usize,
    /// Share of the processors and of the memory of a worker that service placement leaves free where possible, in
    /// millionths.
    pub headroom_ppm: u64,
    /// Run time assumed for batch and gang tasks that declare none and have no history, in ms.
    pub default_run_time_ms: u64,
    /// Minimum time that a single task must wait before it may get the reservation, in ms. For the same time its job
    /// class must have been the first in rank of the blocked classes of single tasks, without a start. Without this
    /// second condition, all older single tasks of an overloaded pool would get the reservation before a gang.
    pub reserve_after_ms: u64,
    /// Interval at which the reservation is planned again, in ms.
    pub replan_interval_ms: u64,
    /// First quarantine of a worker whose starts fail, and first backoff of a job that fails on several workers, in ms.
    pub initial_backoff_ms: u64,
    /// Upper bound of quarantines and backoffs, in ms.
    pub max_backoff_ms: u64,
    /// Number of different jobs whose starts must fail without a success in between before their worker is quarantined,
    /// and number of different healthy workers on which a job must fail before it is backed off.
    pub failure_threshold: usize,
    /// Minimum share of the declared size that is allocated to a task, in percent.
    pub min_size_percent: u64,
    /// Maximum share of the declared size that is allocated to a task, in percent.
    pub max_size_percent: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_queued_tasks: 1_000_000,
            headroom_ppm: 100_000,
            default_run_time_ms: 600_000,
            reserve_after_ms: 10_000,
            replan_interval_ms: 1_000,
            initial_backoff_ms: 30_000,
            max_backoff_ms: 600_000,
            failure_threshold: 3,
            min_size_percent: 50,
            max_size_percent: 200,
        }
    }
}

impl Config {
    /// Exponential wait before the next attempt after `level` earlier waits, in ms.
    pub(crate) fn backoff_ms(&self, level: u32) -> u64 {
        let factor = 1_u64.checked_shl(level).unwrap_or(u64::MAX);
        (self.initial_backoff_ms.saturating_mul(factor)).min(self.max_backoff_ms)
    }
}
