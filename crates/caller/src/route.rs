//! Routes of the HTTP interface, and the parsing of request targets.

use {
    derive_more::{Display, Error},
    ragwortreel_model::{InstanceId, JobId, NameError, ServiceName, WorkerId, Workspace},
    std::sync::Arc,
};

const MAX_TARGET_BYTES: usize = 4096;

/// Operation that the method and the path of a request select.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// `ANY /v1/services/WORKSPACE/SERVICE/PATH`.
    Service {
        /// Workspace that offers the service.
        workspace: Workspace,
        /// Name of the service within that workspace.
        service: ServiceName,
        /// Path and query, beginning with `/`.
        path: Arc<str>,
    },
    /// `POST /v1/jobs`.
    SubmitJob,
    /// `GET /v1/jobs`.
    ListJobs,
    /// `GET /v1/jobs/ID`.
    DescribeJob(JobId),
    /// `DELETE /v1/jobs/ID`.
    CancelJob(JobId),
    /// `GET /v1/settings` or `GET /v1/settings/workspaces/WORKSPACE`.
    ReadSettings(Option<Workspace>),
    /// `PUT /v1/settings` or `PUT /v1/settings/workspaces/WORKSPACE`.
    ChangeSettings(Option<Workspace>),
    /// `POST /v1/workers/ID/drain`.
    DrainWorker(WorkerId),
    /// `POST /v1/instances/ID/drain`.
    DrainInstance(InstanceId),
    /// `GET /v1/burn`.
    BurnCounts,
    /// `GET /metrics`.
    Metrics,
    /// `GET /health`.
    Health,
    /// `GET /ready`.
    Ready,
}

/// Mismatch between a request and the routes of the interface.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RouteError {
    /// The target is longer than 4096 bytes.
    #[display("the request target is longer than {MAX_TARGET_BYTES} bytes")]
    TooLong,
    /// No route has this path.
    #[display("no such path")]
    NotFound,
    /// A route has this path, but not this method.
    #[display("method not allowed, expected {allowed}")]
    MethodNotAllowed {
        /// Methods that the path accepts, as text for the reply.
        allowed: &'static str,
    },
    /// A name in the path is invalid.
    #[display("{_0}")]
    Name(NameError),
}

/// Returns the route of a request's method and target.
///
/// # Errors
///
/// Returns an error when the target is too long, no route matches, or a name in the path is invalid.
pub fn parse_route(method: &str, target: &str) -> Result<Route, RouteError> {
    if target.len() > MAX_TARGET_BYTES {
        return Err(RouteError::TooLong);
    }
    if let Some(rest) = target.strip_prefix("/v1/services/") {
        return parse_service(rest);
    }
    let path = target.split_once('?').map_or(target, |(path, _query)| path);
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments.as_slice() {
        ["v1", "jobs"] => route_for_method(
            method,
            &[("GET", Route::ListJobs), ("POST", Route::SubmitJob)],
        ),
        ["v1", "jobs", id] => {
            let id = JobId::new(id).map_err(RouteError::Name)?;
            route_for_method(
                method,
                &[
                    ("GET", Route::DescribeJob(id.clone())),
                    ("DELETE", Route::CancelJob(id)),
                ],
            )
        }
        ["v1", "settings"] => settings_route(method, None),
        ["v1", "settings", "workspaces", workspace] => settings_route(
            method,
            Some(Workspace::new(workspace).map_err(RouteError::Name)?),
        ),
        ["v1", "workers", id, "drain"] => {
            let id = WorkerId::new(id).map_err(RouteError::Name)?;
            route_for_method(method, &[("POST", Route::DrainWorker(id))])
        }
        ["v1", "instances", id, "drain"] => {
            let id = InstanceId::new(id).map_err(RouteError::Name)?;
            route_for_method(method, &[("POST", Route::DrainInstance(id))])
        }
        ["v1", "burn"] => route_for_method(method, &[("GET", Route::BurnCounts)]),
        ["metrics"] => route_for_method(method, &[("GET", Route::Metrics)]),
        ["health"] => route_for_method(method, &[("GET", Route::Health)]),
        ["ready"] => route_for_method(method, &[("GET", Route::Ready)]),
        _ => Err(RouteError::NotFound),
    }
}

fn parse_service(rest: &str) -> Result<Route, RouteError> {
    let (workspace, rest) = rest.split_once('/').ok_or(RouteError::NotFound)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') {
        Arc::from(path)
    } else {
        Arc::from(format!("/{path}"))
    };
    let workspace = Workspace::new(workspace).map_err(RouteError::Name)?;
    let service = ServiceName::new(service).map_err(RouteError::Name)?;
    Ok(Route::Service {
        workspace,
        service,
        path,
    })
}

fn settings_route(method: &str, workspace: Option<Workspace>) -> Result<Route, RouteError> {
    let read = Route::ReadSettings(workspace.clone());
    route_for_method(
        method,
        &[("GET", read), ("PUT", Route::ChangeSettings(workspace))],
    )
}

fn route_for_method(method: &str, routes: &[(&str, Route)]) -> Result<Route, RouteError> {
    if let Some((_, route)) = routes.iter().find(|(allowed, _)| *allowed == method) {
        return Ok(route.clone());
    }
    let has = |wanted| routes.iter().any(|(method, _)| *method == wanted);
    let allowed = match (has("GET"), has("POST"), has("DELETE"), has("PUT")) {
        (true, true, ..) => "GET or POST",
        (true, _, true, _) => "GET or DELETE",
        (true, _, _, true) => "GET or PUT",
        (true, ..) => "GET",
        _ => "POST",
    };
    Err(RouteError::MethodNotAllowed { allowed })
}
