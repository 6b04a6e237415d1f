//! The scheduler of a pool.

use {
    crate::{
        Config, Decision, PoolScheduler, PoolStats, SubmitError, TeamShare, WorkerSpec,
        WorkerState, naive::NaiveScheduler,
    },
    ragwortreel_model::{
        Assignment, Attempt, JobId, JobSpec, Pool, Resources, TaskId, TaskResult, WaitReason,
        WorkerId,
    },
};

/// Scheduler of one pool.
#[derive(Debug, Clone)]
pub struct Scheduler {
    inner: NaiveScheduler,
}

impl Scheduler {
    /// Makes a scheduler without workers, teams or jobs.
    #[must_use]
    pub const fn new(pool: Pool, cfg: Config) -> Self {
        Self {
            inner: NaiveScheduler::new(pool, cfg),
        }
    }
}

macro_rules! forward {
    ($(fn $name:ident(&mut self $(, $arg:ident: $ty:ty)*) $(-> $ret:ty)?;)*) => {$(
        fn $name(&mut self $(, $arg: $ty)*) $(-> $ret)? {
            self.inner.$name($($arg),*)
        }
    )*};
}

impl PoolScheduler for Scheduler {
    forward! {
        fn upsert_worker(&mut self, spec: WorkerSpec, now_ms: u64);
        fn set_worker_state(&mut self, worker: &WorkerId, state: WorkerState);
        fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) -> Vec<Assignment>;
        fn upsert_team(&mut self, share: TeamShare);
        fn submit(&mut self, spec: JobSpec, now_ms: u64) -> Result<(), SubmitError>;
        fn restore(&mut self, assignment: Assignment, now_ms: u64);
        fn restore_succeeded(&mut self, task: &TaskId);
        fn restore_attempt(&mut self, task: &TaskId, attempt: Attempt);
        fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<Decision>;
        fn started(&mut self, task: &TaskId, attempt: Attempt, now_ms: u64);
        fn ended(&mut self, task: &TaskId, attempt: Attempt, result: TaskResult, now_ms: u64);
        fn used(&mut self, task: &TaskId, attempt: Attempt, used: Resources);
        fn cancel(&mut self, job: &JobId, now_ms: u64) -> Vec<Assignment>;
        fn forget(&mut self, job: &JobId);
    }

    fn explain(&self, job: &JobId, now_ms: u64) -> Option<WaitReason> {
        self.inner.explain(job, now_ms)
    }

    fn stats(&self) -> PoolStats {
        self.inner.stats()
    }
}
