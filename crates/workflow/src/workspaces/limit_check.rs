//! Check of a job against the limit of its workspace at its submission.

use {
    super::{UNLIMITED, is_within},
    crate::{JobRequest, WorkspacePolicy},
    derive_more::{Display, Error},
    ragwortreel_model::Resources,
};

/// Step that cannot start under the present limit of its workspace.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "step {step}: {} needs {need}, more than the present limit of its workspace: {limit} (0: no limit)",
    if *is_gang { "the gang" } else { "a task" }
)]
pub struct LimitError {
    /// Index of the step.
    pub step: usize,
    /// Whether the need is that of a gang, not of a single task.
    pub is_gang: bool,
    /// Least resources with which the step starts.
    pub need: Resources,
    /// Most resources that the workspace may use at once; 0 means no limit.
    pub limit: Resources,
}

impl JobRequest {
    /// Checks that every step can start under the limit of the job's workspace: a gang as a whole, and any other step
    /// with one task at a time.
    ///
    /// # Errors
    ///
    /// Returns the first step that cannot start until the limit is raised.
    pub fn check_limit(&self, policy: &WorkspacePolicy) -> Result<(), LimitError> {
        for (index, step) in self.steps.iter().enumerate() {
            let need = step.least_need().unwrap_or(UNLIMITED);
            if !is_within(&need, policy) {
                return Err(LimitError {
                    step: index,
                    is_gang: step.gang,
                    need,
                    limit: policy.limit,
                });
            }
        }
        Ok(())
    }
}
