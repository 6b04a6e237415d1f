//! Job endpoints of the HTTP interface, implemented by the control plane.

use {
    async_trait::async_trait,
    ragwortreel_caller::{JobCalls, Refusal, RefusalKind},
    ragwortreel_control::{Control, JobError},
    ragwortreel_model::{JobId, JobSpec, JobStatus, Workspace},
};

/// Implements the job endpoints with the control plane of an entry instance.
pub struct DaemonJobs {
    control: Control,
}

impl DaemonJobs {
    #[must_use]
    pub fn new(control: Control) -> Self {
        Self { control }
    }
}

#[async_trait]
impl JobCalls for DaemonJobs {
    async fn submit(&self, spec: JobSpec) -> Result<JobStatus, Refusal> {
        self.control
            .submit_job(spec)
            .await
            .map_err(|err| refusal(&err))
    }

    async fn list(&self, workspace: Option<&Workspace>) -> Result<Vec<JobStatus>, Refusal> {
        self.control
            .describe_jobs(workspace, None)
            .await
            .map_err(|err| refusal(&err))
    }

    async fn describe(&self, job: &JobId) -> Result<JobStatus, Refusal> {
        let found = self
            .control
            .describe_jobs(None, Some(job))
            .await
            .map_err(|err| refusal(&err))?;
        found
            .into_iter()
            .next()
            .ok_or_else(|| Refusal::new(RefusalKind::NotFound, format!("no job {job}")))
    }

    async fn cancel(&self, job: &JobId) -> Result<JobStatus, Refusal> {
        self.control
            .cancel_job(job, None)
            .await
            .map_err(|err| refusal(&err))
    }
}

/// Converts a job error to the refusal that is returned to the caller.
#[must_use]
pub fn refusal(err: &JobError) -> Refusal {
    let kind = match err {
        JobError::Invalid(_) => RefusalKind::Invalid,
        JobError::Conflict { .. } | JobError::Ended { .. } => RefusalKind::Conflict,
        JobError::NotFound { .. } => RefusalKind::NotFound,
        JobError::Refused { .. } => RefusalKind::Unavailable,
        JobError::Unknown { .. } => RefusalKind::Unknown,
    };
    Refusal::new(kind, err.to_string())
}
