//! The owner's cached copy of a worker's tasks, updated from incremental reports.
//!
//! After each applied report the cache contains what a complete report of the same moment would contain, except that
//! resource usage may differ by less than the threshold below which the worker does not report a change. A report that
//! is not based on the last applied one is rejected and invalidates the cache, so that the next heartbeat requests a
//! complete report.

use {
    crate::api::{HeartbeatReply, ReportBase, ReportedTask},
    derive_more::{Display, Error},
    ragwortreel_model::{Attempt, TaskId},
    std::{collections::BTreeMap, sync::Arc},
};

/// All runs on a worker, by task and attempt.
pub type TaskTable = BTreeMap<(TaskId, Attempt), ReportedTask>;

/// Error of a report that cannot be applied to the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ReportError {
    /// The report is incremental and its base is not the last applied report.
    #[display("the base of the incremental report is not the last applied report")]
    BaseMismatch,
    /// The report is incremental and has no number or a lower number than its base.
    #[display("the incremental report has no number or a lower number than its base")]
    InvalidNumber,
}

/// Cached tasks of one worker under one ownership epoch.
#[derive(Debug, Default)]
pub struct WorkerTaskCache {
    base: Option<ReportBase>,
    tasks: Arc<TaskTable>,
}

impl WorkerTaskCache {
    /// Last applied report; absent while a complete report is needed.
    #[must_use]
    pub fn base(&self) -> Option<ReportBase> {
        self.base
    }

    /// Applies a report and returns all runs on the worker.
    ///
    /// # Errors
    ///
    /// Returns an error when the report is not based on the last applied one; [`base`](Self::base) is then absent, so
    /// that the next heartbeat requests a complete report.
    pub fn apply(&mut self, reply: HeartbeatReply) -> Result<Arc<TaskTable>, ReportError> {
        let base = self.base.take();
        if let Some(since) = reply.since {
            let report_base = ReportBase {
                incarnation: reply.incarnation,
                number: since,
            };
            if base != Some(report_base) {
                return Err(ReportError::BaseMismatch);
            }
            if reply.number.is_none_or(|number| number < since) {
                return Err(ReportError::InvalidNumber);
            }
            if !(reply.forgotten.is_empty() && reply.tasks.is_empty()) {
                let tasks = Arc::make_mut(&mut self.tasks);
                for run in &reply.forgotten {
                    tasks.remove(run);
                }
                tasks.extend(by_run(reply.tasks));
            }
        } else {
            self.tasks = Arc::new(by_run(reply.tasks).collect());
        }
        self.base = reply.number.map(|number| ReportBase {
            incarnation: reply.incarnation,
            number,
        });
        Ok(Arc::clone(&self.tasks))
    }
}

fn by_run(tasks: Vec<ReportedTask>) -> impl Iterator<Item = ((TaskId, Attempt), ReportedTask)> {
    let entry = |task: ReportedTask| ((task.task.clone(), task.attempt), task);
    tasks.into_iter().map(entry)
}
