//! Record of all runs on all workers, and its check.

use {
    derive_more::Display,
    ragwortreel_model::{Attempt, TaskId, TaskResult, WorkerId},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// One run of a task on a worker; times are of the clock that all workers share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Where.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: Attempt,
    /// When it started, in ms.
    pub started_ms: u64,
    /// When and how it ended; absent while it runs.
    pub ended: Option<(u64, TaskResult)>,
}

/// A breach of an invariant that the history shows.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// A task ran in two places at once.
    #[display("task {task} ran twice at once: attempts {first} and {second}")]
    Overlap {
        /// The task.
        task: TaskId,
        /// Earlier run.
        first: Attempt,
        /// Later run.
        second: Attempt,
    },
    /// A run was started twice.
    #[display("attempt {attempt} of task {task} was started twice")]
    StartedTwice {
        /// The task.
        task: TaskId,
        /// Number of the run.
        attempt: Attempt,
    },
}

/// Runs in the order in which they started.
#[derive(Debug, Default)]
pub struct RunHistory {
    runs: Mutex<Vec<RunRecord>>,
}

impl RunHistory {
    fn lock(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a start and returns the number of the record.
    pub fn start(&self, run: RunRecord) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&self, record: usize, at_ms: u64, result: TaskResult) {
        if let Some(run) = self.lock().get_mut(record) {
            run.ended = Some((at_ms, result));
        }
    }

    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.lock().clone()
    }

    /// Tasks that ran twice at once, and runs that were started twice.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut by_task: BTreeMap<TaskId, Vec<RunRecord>> = BTreeMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        by_task.into_values().flat_map(check_task).collect()
    }
}

// A run that ended in the millisecond in which the next one started does not overlap it.
fn check_task(mut runs: Vec<RunRecord>) -> Vec<Violation> {
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
