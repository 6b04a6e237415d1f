//! Handler of HTTP requests: checks the token and the input, and calls the daemon.

use {
    crate::{
        api::{
            Admin, ApiError, ApiErrorKind, DrainTarget, JobCalls, ServiceCall, ServiceCalls,
            SettingsCalls, SettingsChange,
        },
        auth::{Authenticator, Principal},
        reply::{self, DEADLINE_HEADER, IDEMPOTENCY_HEADER},
        route::{Route, parse_route},
    },
    async_trait::async_trait,
    ragwortreel_http::{Handler, Headers, Request, Response},
    ragwortreel_model::{JobId, JobSpec, Outcome, Workspace},
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Upper limit of a caller's deadline: one day.
const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;
const MAX_JOB_SPEC_BYTES: usize = 256 * 1024;
/// Headers that are not forwarded to a backend server: those of the caller's connection (hop-by-hop headers), the token,
/// and the deadline, which this interface handles itself.
const HEADERS_NOT_FORWARDED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    DEADLINE_HEADER,
];

/// Request handler of an entry instance's HTTP interface.
pub struct ApiHandler {
    auth: Arc<Authenticator>,
    services: Arc<dyn ServiceCalls>,
    jobs: Arc<dyn JobCalls>,
    settings: Arc<dyn SettingsCalls>,
    admin: Arc<dyn Admin>,
}

#[derive(Serialize)]
struct VersionReply {
    version: u64,
}

impl ApiHandler {
    /// Creates a handler that calls these parts of the daemon.
    #[must_use]
    pub fn new(
        auth: Arc<Authenticator>,
        services: Arc<dyn ServiceCalls>,
        jobs: Arc<dyn JobCalls>,
        settings: Arc<dyn SettingsCalls>,
        admin: Arc<dyn Admin>,
    ) -> Self {
        Self {
            auth,
            services,
            jobs,
            settings,
            admin,
        }
    }

    async fn dispatch(&self, route: Route, req: Request) -> Response {
        match route {
            Route::Health => reply::raw_json(200, b"{}".to_vec()),
            Route::Ready => self.ready(),
            Route::Metrics => self.metrics(),
            route => {
                let Some(principal) = self.auth.authenticate(req.headers.get("authorization"))
                else {
                    return reply::problem_with_outcome(
                        401,
                        "a valid bearer token is needed",
                        Outcome::NotRun,
                    );
                };
                self.dispatch_authenticated(route, req, &principal).await
            }
        }
    }

    async fn dispatch_authenticated(
        &self,
        route: Route,
        req: Request,
        principal: &Principal,
    ) -> Response {
        let result = match route {
            // Callers of any workspace may use the services of any other workspace.
            Route::Service {
                workspace,
                service,
                path,
            } => {
                return match service_call(principal, workspace, service, path, req) {
                    Ok(call) => reply::call_reply(self.services.call(call).await),
                    Err(err) => reply::api_error(&err),
                };
            }
            Route::SubmitJob => self.submit(&req, principal).await,
            Route::ListJobs => self.list(principal).await,
            Route::DescribeJob(id) => self.describe(&id, principal).await,
            Route::CancelJob(id) => self.cancel(&id, principal).await,
            Route::ReadSettings(workspace) => {
                self.read_settings(workspace.as_ref(), principal).await
            }
            Route::ChangeSettings(workspace) => {
                self.change_settings(workspace, req, principal).await
            }
            Route::DrainWorker(id) => self.drain(DrainTarget::Worker(id), principal).await,
            Route::DrainInstance(id) => self.drain(DrainTarget::Instance(id), principal).await,
            Route::BurnCounts => self.burn_counts(principal).await,

            Route::Health | Route::Ready | Route::Metrics => Err(not_available()),
        };
        result.unwrap_or_else(|err| reply::api_error(&err))
    }

    async fn burn_counts(&self, principal: &Principal) -> Result<Response, ApiError> {
        operator_only(principal)?;
        Ok(reply::raw_json(200, self.admin.burn_counts().await))
    }

    fn ready(&self) -> Response {
        match self.admin.ready() {
            Ok(()) => reply::raw_json(200, b"{}".to_vec()),
            Err(reason) => reply::problem(503, &reason),
        }
    }

    fn metrics(&self) -> Response {
        let mut headers = Headers::new();
        headers.insert("content-type", "text/plain; version=0.0.4");
        Response {
            status: 200,
            headers,
            body: self.admin.metrics(),
        }
    }

    async fn submit(&self, req: &Request, principal: &Principal) -> Result<Response, ApiError> {
        if req.body.len() > MAX_JOB_SPEC_BYTES {
            return Err(ApiError::new(
                ApiErrorKind::Invalid,
                "a job specification has at most 262144 bytes",
            ));
        }
        let spec: JobSpec = serde_json::from_slice(&req.body).map_err(|err| {
            ApiError::new(ApiErrorKind::Invalid, format!("job specification: {err}"))
        })?;
        require_access(principal, &spec.workspace)?;
        spec.check().map_err(|err| {
            ApiError::new(ApiErrorKind::Invalid, format!("job specification: {err}"))
        })?;
        let status = self.jobs.submit(spec).await?;
        Ok(reply::with_outcome(
            reply::json(201, &status),
            Outcome::Answered,
        ))
    }

    async fn list(&self, principal: &Principal) -> Result<Response, ApiError> {
        let workspace = match principal {
            Principal::Operator => None,
            Principal::Workspace(workspace) => Some(workspace),
        };
        Ok(reply::json(200, &self.jobs.list(workspace).await?))
    }

    async fn describe(&self, id: &JobId, principal: &Principal) -> Result<Response, ApiError> {
        let status = self.jobs.describe(id).await?;
        // The reply is the same as for a job that does not exist, so that a caller cannot find out the identifiers of
        // another workspace's jobs.
        require_access(principal, &status.spec.workspace).map_err(|_| no_such_job(id))?;
        Ok(reply::json(200, &status))
    }

    async fn cancel(&self, id: &JobId, principal: &Principal) -> Result<Response, ApiError> {
        let status = self.jobs.describe(id).await?;
        require_access(principal, &status.spec.workspace).map_err(|_| no_such_job(id))?;
        let status = self.jobs.cancel(id).await?;
        Ok(reply::with_outcome(
            reply::json(200, &status),
            Outcome::Answered,
        ))
    }

    async fn read_settings(
        &self,
        workspace: Option<&Workspace>,
        principal: &Principal,
    ) -> Result<Response, ApiError> {
        match workspace {
            Some(workspace) => require_access(principal, workspace)?,
            None => operator_only(principal)?,
        }
        let settings = self.settings.read(workspace).await?;
        let mut response = reply::raw_json(200, settings.json);
        response
            .headers
            .insert("etag", format!("\"{}\"", settings.version));
        Ok(response)
    }

    async fn change_settings(
        &self,
        workspace: Option<Workspace>,
        req: Request,
        principal: &Principal,
    ) -> Result<Response, ApiError> {
        match &workspace {
            Some(workspace) => require_access(principal, workspace)?,
            None => operator_only(principal)?,
        }
        let base_version = base_version(&req.headers)?;
        let by_operator = *principal == Principal::Operator;
        let change = SettingsChange {
            base_version,
            workspace,
            json: req.body,
            by_operator,
        };
        let version = self.settings.change(change).await?;
        let mut response = reply::json(200, &VersionReply { version });
        response.headers.insert("etag", format!("\"{version}\""));
        Ok(reply::with_outcome(response, Outcome::Answered))
    }

    async fn drain(
        &self,
        target: DrainTarget,
        principal: &Principal,
    ) -> Result<Response, ApiError> {
        operator_only(principal)?;
        self.admin.drain(target).await?;
        Ok(reply::with_outcome(
            reply::raw_json(202, b"{}".to_vec()),
            Outcome::Answered,
        ))
    }
}

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(&self, req: Request, _peer: SocketAddr) -> Response {
        match parse_route(req.method.as_ref(), &req.path) {
            Ok(route) => self.dispatch(route, req).await,
            Err(err) => reply::route_error(&err),
        }
    }
}

fn not_available() -> ApiError {
    ApiError::new(ApiErrorKind::NotFound, "not available to this token")
}

fn no_such_job(id: &JobId) -> ApiError {
    ApiError::new(ApiErrorKind::NotFound, format!("no job {id}"))
}

fn operator_only(principal: &Principal) -> Result<(), ApiError> {
    if *principal == Principal::Operator {
        Ok(())
    } else {
        Err(not_available())
    }
}

fn require_access(principal: &Principal, workspace: &Workspace) -> Result<(), ApiError> {
    if principal.can_access(workspace) {
        Ok(())
    } else {
        Err(not_available())
    }
}

/// Returns the version in the `if-match` header, with or without quotation marks.
fn base_version(headers: &Headers) -> Result<u64, ApiError> {
    let missing = || {
        let problem = "header if-match must name the version that the change was made from";
        ApiError::new(ApiErrorKind::Invalid, problem)
    };
    let text = headers.get("if-match").ok_or_else(missing)?;
    text.trim_matches('"').parse().map_err(|_| missing())
}

fn service_call(
    principal: &Principal,
    workspace: Workspace,
    service: ragwortreel_model::ServiceName,
    path: Arc<str>,
    req: Request,
) -> Result<ServiceCall, ApiError> {
    let invalid = |problem: &str| ApiError::new(ApiErrorKind::Invalid, problem);
    let deadline_ms = match req.headers.get(DEADLINE_HEADER).map(str::parse::<u64>) {
        None => None,
        Some(Ok(value)) if (1..=MAX_DEADLINE_MS).contains(&value) => Some(value),
        Some(_) => return Err(invalid("ragwortreel-deadline-ms: expected 1 to 86400000")),
    };
    let idempotency_key = match req.headers.get(IDEMPOTENCY_HEADER) {
        None => None,
        Some(key) if is_valid_idempotency_key(key) => Some(Arc::from(key)),
        Some(_) => {
            return Err(invalid(
                "idempotency-key: expected 1 to 128 letters, digits, '-', '_' or '.'",
            ));
        }
    };
    // An operator has no workspace, so the request is charged to the workspace that offers the service.
    let caller = match principal {
        Principal::Operator => workspace.clone(),
        Principal::Workspace(own) => own.clone(),
    };
    let hop_by_hop = connection_options(&req.headers);
    let mut headers = Headers::new();
    for (name, value) in req.headers.iter() {
        if !HEADERS_NOT_FORWARDED.contains(&name) && !hop_by_hop.iter().any(|option| option == name)
        {
            headers.append(name, value);
        }
    }
    Ok(ServiceCall {
        workspace,
        service,
        method: req.method,
        caller,
        path,
        headers,
        body: req.body,
        deadline_ms,
        arrived: Instant::now(),
        idempotency_key,
    })
}

fn is_valid_idempotency_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES && key.bytes().all(allowed)
}

/// Returns the header names that the `connection` header lists; like the header itself they apply to this connection
/// only.
fn connection_options(headers: &Headers) -> Vec<String> {
    let options = headers.get("connection").unwrap_or_default();
    options
        .split(',')
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}
