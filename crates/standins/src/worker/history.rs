//! History of all runs on all workers, and the check for overlapping runs of a task and runs started twice.

use {
    derive_more::Display,
    ragwortreel_model::{Attempt, TaskId, TaskResult, WorkerId},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// One run of a task on a worker; times are in ms on the clock that all workers share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Worker that executed the run.
    pub worker: WorkerId,
    /// Task of the run.
    pub task: TaskId,
    /// Sequence number of the run within the task.
    pub attempt: Attempt,
    /// Start time.
    pub started_ms: u64,
    /// Time and result of the end; absent while the run is in progress.
    pub ended: Option<(u64, TaskResult)>,
}

/// Violation of an invariant in a run history.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// Two runs of a task overlapped in time.
    #[display("task {task} ran twice at once: attempts {first} and {second}")]
    Overlap {
        /// Task with overlapping runs.
        task: TaskId,
        /// Run that started first.
        first: Attempt,
        /// Run that started before the first one had ended.
        second: Attempt,
    },
    /// The same run was started more than once.
    #[display("attempt {attempt} of task {task} was started twice")]
    StartedTwice {
        /// Task of the repeated run.
        task: TaskId,
        /// Sequence number of the run.
        attempt: Attempt,
    },
}

/// All runs of a fleet, in the order in which they started.
#[derive(Debug, Default)]
pub struct RunHistory {
    runs: Mutex<Vec<RunRecord>>,
}

impl RunHistory {
    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start and returns the index of the record, which [`RunHistory::end`] takes.
    pub fn start(&self, run: RunRecord) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Records the end of the run at an index; `at_ms` is on the shared clock.
    pub fn end(&self, index: usize, at_ms: u64, result: TaskResult) {
        if let Some(run) = self.lock().get_mut(index) {
            run.ended = Some((at_ms, result));
        }
    }

    /// Returns a copy of all records.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Returns the overlapping runs of a task and the runs that were started twice.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut by_task: BTreeMap<TaskId, Vec<RunRecord>> = BTreeMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        by_task.into_values().flat_map(check_runs_of_task).collect()
    }
}

// Runs that end and start in the same millisecond do not count as overlapping.
fn check_runs_of_task(mut runs: Vec<RunRecord>) -> Vec<Violation> {
    let end_of = |run: &RunRecord| run.ended.map_or(u64::MAX, |(at_ms, _)| at_ms);
    runs.sort_by_key(|run| (run.started_ms, end_of(run)));
    let mut found = Vec::new();
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            if first.attempt == second.attempt {
                found.push(Violation::StartedTwice {
                    task: first.task.clone(),
                    attempt: first.attempt,
                });
            }
            if second.started_ms < end_of(first) {
                found.push(Violation::Overlap {
                    task: first.task.clone(),
                    first: first.attempt,
                    second: second.attempt,
                });
            }
        }
    }
    found
}
