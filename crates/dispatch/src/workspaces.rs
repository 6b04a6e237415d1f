//! Log lines about workspaces, and the labels of their metrics.

use {
    crate::events::{JOB_OVER_SHARE, STEP_EXCEEDS_LIMIT, STEP_WAITS_FOR_LIMIT},
    ragwortreel_model::Workspace,
    ragwortreel_runtime::{Logger, lock, log_event},
    ragwortreel_workflow::WorkspaceNotice,
    std::{collections::BTreeSet, sync::Mutex},
};

/// Most workspaces with a label value of their own; bounds the number of time series.
const MAX_LABELS: usize = 32;
/// Label value of all other workspaces.
const OTHER: &str = "other";

pub(crate) fn log_notices(log: &Logger, notices: Vec<WorkspaceNotice>) {
    for notice in notices {
        match notice {
            WorkspaceNotice::OverShare(job, workspace) => {
                log_event!(log, JOB_OVER_SHARE; "job" => job.to_string(),
                    "workspace" => workspace.to_string());
            }
            WorkspaceNotice::WaitsForLimit(step, workspace) => {
                log_event!(log, STEP_WAITS_FOR_LIMIT; "step" => step.to_string(),
                    "workspace" => workspace.to_string());
            }
            WorkspaceNotice::ExceedsLimit(step, workspace) => {
                log_event!(log, STEP_EXCEEDS_LIMIT; "step" => step.to_string(),
                    "workspace" => workspace.to_string());
            }
        }
    }
}

/// Label values of workspaces: the first ones keep their names, the others share one value.
#[derive(Debug, Default)]
pub struct WorkspaceLabels {
    named: Mutex<BTreeSet<Workspace>>,
}

impl WorkspaceLabels {
    /// All label values in use but that of the other workspaces.
    pub fn named(&self) -> Vec<String> {
        lock(&self.named).iter().map(ToString::to_string).collect()
    }

    /// Label value of a workspace.
    pub fn get(&self, workspace: &Workspace) -> String {
        let mut named = lock(&self.named);
        if named.len() < MAX_LABELS {
            named.insert(workspace.clone());
        }
        if named.contains(workspace) {
            workspace.to_string()
        } else {
            OTHER.to_owned()
        }
    }
}

#[cfg(test)]
mod tests;
