//! What the HTTP interface needs from the daemon.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_http::{Headers, Method, Response},
    ragwortreel_model::{
        InstanceId, JobId, JobSpec, JobStatus, Outcome, ServiceName, WorkerId, Workspace,
    },
    std::{sync::Arc, time::Instant},
};

/// A request to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Workspace that calls and is charged.
    pub caller: Workspace,
    /// HTTP method.
    pub method: Method,
    /// Path and query behind the service's name.
    pub path: Arc<str>,
    /// Headers for the backend server.
    pub headers: Headers,
    /// Whole body.
    pub body: Vec<u8>,
    /// Time left when the caller named one, in ms.
    pub deadline_ms: Option<u64>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<Arc<str>>,
}

/// Result of a request to a service.
#[derive(Debug, Clone)]
pub struct CallReply {
    /// What the caller is told.
    pub outcome: Outcome,
    /// Response of the backend server when the outcome is answered.
    pub response: Option<Response>,
    /// Why there is no answer.
    pub reason: Arc<str>,
    /// When to come back after a request that did not run, in ms.
    pub retry_after_ms: Option<u64>,
}

/// Routes requests to backend servers.
#[async_trait]
pub trait ServiceCalls: Send + Sync {
    /// Carries one request out and tells its outcome.
    async fn call(&self, call: ServiceCall) -> CallReply;
}

/// Why a command was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApiErrorKind {
    /// The input is not acceptable.
    Invalid,
    /// It does not exist.
    NotFound,
    /// It contradicts the present state.
    Conflict,
    /// The system cannot make it durable now; it was not carried out.
    Unavailable,
    /// It may or may not have been carried out.
    Unknown,
}

/// A command that was not, or perhaps not, carried out.
#[derive(Debug, Clone, Display, Error)]
#[display("{problem}")]
pub struct ApiError {
    /// Kind of refusal.
    pub kind: ApiErrorKind,
    /// What is wrong, for the caller.
    pub problem: String,
}

impl ApiError {
    /// Makes a refusal.
    #[must_use]
    pub fn new(kind: ApiErrorKind, problem: impl Into<String>) -> Self {
        Self {
            kind,
            problem: problem.into(),
        }
    }
}

/// Job commands; every call is limited to one workspace's jobs.
#[async_trait]
pub trait JobCalls: Send + Sync {
    /// Submits a job; the returned status is durable.
    async fn submit(&self, spec: JobSpec) -> Result<JobStatus, ApiError>;
    /// Lists jobs, of one workspace or of all.
    async fn list(&self, workspace: Option<&Workspace>) -> Result<Vec<JobStatus>, ApiError>;
    /// Describes one job.
    async fn describe(&self, job: &JobId) -> Result<JobStatus, ApiError>;
    /// Cancels one job.
    async fn cancel(&self, job: &JobId) -> Result<JobStatus, ApiError>;
}

/// A change of the settings.
#[derive(Debug, Clone)]
pub struct SettingsChange {
    /// Version that the change was made from.
    pub base_version: u64,
    /// Branch to replace; the whole tree when absent.
    pub workspace: Option<Workspace>,
    /// New content as JSON.
    pub json: Vec<u8>,
    /// Whether an operator asks; a workspace may not change its own quota, weight, job limit or token.
    pub by_operator: bool,
}

/// Settings as shown to an operator or a workspace.
#[derive(Debug, Clone)]
pub struct SettingsReply {
    /// Version.
    pub version: u64,
    /// Content as JSON.
    pub json: Vec<u8>,
}

/// Reading and changing settings.
#[async_trait]
pub trait SettingsCalls: Send + Sync {
    /// Reads the whole tree or one workspace's branch.
    async fn read(&self, workspace: Option<&Workspace>) -> Result<SettingsReply, ApiError>;
    /// Changes the tree; returns the new version. A conflict's problem is the current tree's JSON.
    async fn change(&self, change: SettingsChange) -> Result<u64, ApiError>;
}

/// What is to be drained.
#[derive(Debug, Clone)]
pub enum DrainTarget {
    /// A worker.
    Worker(WorkerId),
    /// An entry instance.
    Instance(InstanceId),
}

/// Commands and reports for operators.
#[async_trait]
pub trait Admin: Send + Sync {
    /// Lets a worker or an instance finish what it has and gives it nothing new.
    async fn drain(&self, target: DrainTarget) -> Result<(), ApiError>;
    /// Counts of all reachable instances for the service-level-burn report, as JSON.
    async fn burn_counts(&self) -> Vec<u8>;
    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> Vec<u8>;
    /// Whether this instance may be given requests.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    fn ready(&self) -> Result<(), String>;
}
