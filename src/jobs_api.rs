//! Job endpoints of the HTTP interface, implemented by the control plane.

use {
    async_trait::async_trait,
    ragwortreel_caller::{ApiError, ApiErrorKind, JobCalls},
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
    async fn submit(&self, spec: JobSpec) -> Result<JobStatus, ApiError> {
        self.control
            .submit_job(spec)
            .await
            .map_err(|err| api_error(&err))
    }

    async fn list(&self, workspace: Option<&Workspace>) -> Result<Vec<JobStatus>, ApiError> {
        self.control
            .describe_jobs(workspace, None)
            .await
            .map_err(|err| api_error(&err))
    }

    async fn describe(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        let found = self
            .control
            .describe_jobs(None, Some(job))
            .await
            .map_err(|err| api_error(&err))?;
        found
            .into_iter()
            .next()
            .ok_or_else(|| ApiError::new(ApiErrorKind::NotFound, format!("no job {job}")))
    }

    async fn cancel(&self, job: &JobId) -> Result<JobStatus, ApiError> {
        self.control
            .cancel_job(job, None)
            .await
            .map_err(|err| api_error(&err))
    }
}

/// Converts a job error to the error that is returned to the caller.
#[must_use]
pub fn api_error(err: &JobError) -> ApiError {
    let kind = match err {
        JobError::Invalid(_) => ApiErrorKind::Invalid,
        JobError::Conflict { .. } | JobError::Ended { .. } => ApiErrorKind::Conflict,
        JobError::NotFound { .. } => ApiErrorKind::NotFound,
        JobError::Refused { .. } => ApiErrorKind::Unavailable,
        JobError::Unknown { .. } => ApiErrorKind::Unknown,
    };
    ApiError::new(kind, err.to_string())
}
