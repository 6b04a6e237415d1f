//! Settings of a pool's scheduler.

/// Settings of a scheduler; every field has a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Most tasks in the queue; a job that would exceed it is refused.
    pub max_queued_tasks: usize,
    /// Share of a worker that services leave free where possible, in millionths.
    pub headroom_ppm: u64,
    /// Run time assumed for a batch or gang task that declares none and has no history, in ms.
    pub default_run_time_ms: u64,
    /// Time for which a single task must be first in rank without starting before it may hold a reservation, in ms.
    /// By age alone, gangs would queue behind every older single task of an overloaded pool.
    pub reserve_after_ms: u64,
    /// Time between two plans of the same reservation, in ms.
    pub replan_interval_ms: u64,
    /// First wait of a worker that fails what it starts, and of a job that fails on several workers, in ms.
    pub initial_backoff_ms: u64,
    /// Longest such wait, in ms.
    pub max_backoff_ms: u64,
    /// Start failures in a row of different jobs that quarantine a worker, and different healthy workers on which a
    /// job fails before it is backed off.
    pub failure_threshold: usize,
    /// Least share of the declared size that is reserved for a task, in percent.
    pub min_size_percent: u64,
    /// Largest share of the declared size that is reserved for a task, in percent.
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
    /// Wait before the next attempt after `level` earlier waits, in ms.
    pub(crate) fn backoff_ms(&self, level: u32) -> u64 {
        let factor = 1_u64.checked_shl(level).unwrap_or(u64::MAX);
        (self.initial_backoff_ms.saturating_mul(factor)).min(self.max_backoff_ms)
    }
}
