//! Traits through which the HTTP interface calls the daemon, and the types of their arguments and results.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_http::{Headers, Method, Response},
    ragwortreel_model::{
        InstanceId, JobId, JobSpec, JobStatus, Outcome, ServiceName, WorkerId, Workspace,
    },
    std::{sync::Arc, time::Instant},
};

/// Caller's request to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Name of the service within that workspace.
    pub service: ServiceName,
    /// Workspace that the request is charged to: its rate limit, queue limit and weight apply.
    pub caller: Workspace,
    /// HTTP method.
    pub method: Method,
    /// Rest of the request target after the service's name: path, beginning with `/`, and query.
    pub path: Arc<str>,
    /// Headers that are forwarded to the backend server.
    pub headers: Headers,
    /// Complete request body.
    pub body: Vec<u8>,
    /// Time from `arrived` until the deadline, in ms; absent when the caller set none.
    pub deadline_ms: Option<u64>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Idempotency key, under which the request runs at most once.
    pub idempotency_key: Option<Arc<str>>,
}

/// Result of a request to a service.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// Outcome that is reported to the caller.
    pub outcome: Outcome,
    /// Response of the backend server; present when the outcome is answered.
    pub response: Option<Response>,
    /// Reason for any other outcome than answered.
    pub reason: Arc<str>,
    /// Delay in ms before the caller should retry a request that did not run; absent when no estimate exists.
    pub retry_after_ms: Option<u64>,
}

/// Routes requests to backend servers.
#[async_trait]
pub trait ServiceCalls: Send + Sync {
    /// Sends one request to a backend server and returns the outcome.
    async fn call(&self, call: ServiceCall) -> CallReply;
}

/// Kind of an [`ApiError`], which decides the status code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiErrorKind {
    /// The input is invalid.
    Invalid,
    /// The job, workspace or other target does not exist, or the token gives no access to it.
    NotFound,
    /// The command conflicts with the current state.
    Conflict,
    /// The system cannot store or carry out the command now; nothing was changed.
    Unavailable,
    /// The command may or may not have been carried out.
    Unknown,
}

/// Failure of a command or a query of the HTTP interface.
#[derive(Debug, Clone, Display, Error)]
#[display("{problem}")]
pub struct ApiError {
    /// Kind of the failure.
    pub kind: ApiErrorKind,
    /// Description for the caller; a conflict about settings may have the current settings tree as JSON instead.
    pub problem: String,
}

impl ApiError {
    /// Creates an error of a kind.
    #[must_use]
    pub fn new(kind: ApiErrorKind, problem: impl Into<String>) -> Self {
        Self {
            kind,
            problem: problem.into(),
        }
    }
}

/// Job commands. [`ApiHandler`](crate::ApiHandler) checks that the caller has access to the job's workspace.
#[async_trait]
pub trait JobCalls: Send + Sync {
    /// Submits a job; it is stored when the status is returned.
    async fn submit(&self, spec: JobSpec) -> Result<JobStatus, ApiError>;
    /// Lists the jobs of one workspace, or of all workspaces when none is given.
    async fn list(&self, workspace: Option<&Workspace>) -> Result<Vec<JobStatus>, ApiError>;
    /// Returns the status of one job.
    async fn describe(&self, job: &JobId) -> Result<JobStatus, ApiError>;
    /// Cancels one job and returns its status.
    async fn cancel(&self, job: &JobId) -> Result<JobStatus, ApiError>;
}

/// A change of the settings.
#[derive(Debug, Clone)]
pub struct SettingsChange {
    /// Version that the change was made from.
    pub base_version: u64,
    /// Workspace whose branch is replaced; the whole tree is replaced when absent.
    pub workspace: Option<Workspace>,
    /// New content as JSON.
    pub json: Vec<u8>,
    /// Whether an operator requested the change; a workspace may not change its own quota, weight, job limit or token.
    pub by_operator: bool,
}

/// Settings tree, or branch of it, in the form that the requester may see.
#[derive(Debug, Clone)]
pub struct SettingsReply {
    /// Version of the whole tree.
    pub version: u64,
    /// Content as JSON.
    pub json: Vec<u8>,
}

/// Queries and changes of the settings.
#[async_trait]
pub trait SettingsCalls: Send + Sync {
    /// Returns one workspace's branch, or the whole tree when no workspace is given.
    async fn read(&self, workspace: Option<&Workspace>) -> Result<SettingsReply, ApiError>;
    /// Changes the tree and returns the new version. On a conflict the error's `problem` is the current tree as JSON.
    async fn change(&self, change: SettingsChange) -> Result<u64, ApiError>;
}

/// Target of a drain command.
#[derive(Debug, Clone)]
pub enum DrainTarget {
    /// Worker with this identifier.
    Worker(WorkerId),
    /// Entry instance with this identifier.
    Instance(InstanceId),
}

/// Commands and reports for operators.
#[async_trait]
pub trait Admin: Send + Sync {
    /// Stops assigning work to a worker or an instance; work that it already has continues. A drained instance stops
    /// when its requests in flight have finished.
    async fn drain(&self, target: DrainTarget) -> Result<(), ApiError>;
    /// Returns, as JSON, the counts of all requests and of those answered within the objective's latency, by service
    /// and minute, summed over all reachable instances. The rate at which a service uses up its error budget (burn
    /// rate) is computed from them.
    async fn burn_counts(&self) -> Vec<u8>;
    /// Returns the metrics of this instance in the Prometheus text format.
    fn metrics(&self) -> Vec<u8>;
    /// Checks whether this instance can accept requests.
    ///
    /// # Errors
    ///
    /// Returns the reason why it cannot.
    fn ready(&self) -> Result<(), String>;
}
