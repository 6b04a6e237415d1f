//! The owner's copy of a worker's tasks, which reports of changes bring up to date.
//!
//! After each accepted reply the copy lists what a complete report of the same moment would list, except that a usage
//! may be off by less than what the worker holds worth reporting. A reply that does not continue the copy is refused
//! and the copy is dropped, so that the next request asks for a complete report.

use {
    crate::api::{HeartbeatReply, ReportBase, ReportedTask},
    derive_more::{Display, Error},
    ragwortreel_model::{Attempt, TaskId},
    std::{collections::BTreeMap, sync::Arc},
};

/// All tasks of a worker.
pub type TaskTable = BTreeMap<(TaskId, Attempt), ReportedTask>;

/// Reply that cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ReportError {
    /// It names changes since a report other than the one asked for.
    #[display("the report names the changes since another report than the last one")]
    BaseMismatch,
    /// It names changes but has no number or a lower number than its base.
    #[display("the report of changes has no valid number")]
    InvalidNumber,
}

/// Copy of one worker's tasks under one ownership epoch.
#[derive(Debug, Default)]
pub struct WorkerTaskCache {
    base: Option<ReportBase>,
    tasks: Arc<TaskTable>,
}

impl WorkerTaskCache {
    /// Last report that was applied; absent while a complete report is needed.
    #[must_use]
    pub fn base(&self) -> Option<ReportBase> {
        self.base
    }

    /// Applies a reply and returns all tasks of the worker.
    ///
    /// # Errors
    ///
    /// Returns an error when the reply does not continue the last one; the next request then has no base.
    pub fn apply(&mut self, reply: HeartbeatReply) -> Result<Arc<TaskTable>, ReportError> {
        let base = self.base.take();
        if let Some(since) = reply.since {
            let asked = ReportBase {
                incarnation: reply.incarnation,
                number: since,
            };
            if base != Some(asked) {
                return Err(ReportError::BaseMismatch);
            }
            if reply.number.is_none_or(|number| number < since) {
                return Err(ReportError::InvalidNumber);
            }
            if !(reply.forgotten.is_empty() && reply.tasks.is_empty()) {
                let tasks = Arc::make_mut(&mut self.tasks);
                for key in &reply.forgotten {
                    tasks.remove(key);
                }
                tasks.extend(keyed(reply.tasks));
            }
        } else {
            self.tasks = Arc::new(keyed(reply.tasks).collect());
        }
        self.base = reply.number.map(|number| ReportBase {
            incarnation: reply.incarnation,
            number,
        });
        Ok(Arc::clone(&self.tasks))
    }
}

fn keyed(tasks: Vec<ReportedTask>) -> impl Iterator<Item = ((TaskId, Attempt), ReportedTask)> {
    let key = |task: ReportedTask| ((task.task.clone(), task.attempt), task);
    tasks.into_iter().map(key)
}
