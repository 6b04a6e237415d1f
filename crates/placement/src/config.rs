//! Settings of a pool's scheduler.

/// Settings of a scheduler; every field has a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Most tasks in the queue; a job that would exceed it is refused.
    pub max_queued_tasks: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            max_queued_tasks: 1_000_000,
        }
    }
}
