//! Responses of the HTTP interface.

use {
    crate::{
        api::{ApiError, ApiErrorKind, CallReply},
        route::RouteError,
    },
    ragwortreel_http::{Headers, Response},
    ragwortreel_model::Outcome,
    serde::Serialize,
};

/// Response header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "ragwortreel-outcome";
/// Response header with the reason for any other outcome than `answered`.
pub const REASON_HEADER: &str = "ragwortreel-reason";
/// Request header with the time until the caller's deadline, in ms.
pub const DEADLINE_HEADER: &str = "ragwortreel-deadline-ms";
/// Request header with the key under which the request runs at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Retry delay that is sent when the time until a retry can succeed is not estimated.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

#[derive(Serialize)]
struct Problem<'a> {
    problem: &'a str,
}

/// Builds a response with a value as JSON.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body)
        .unwrap_or_else(|err| format!("{{\"problem\":\"{err}\"}}").into_bytes());
    raw_json(status, body)
}

/// Builds a response from a body that is already encoded as JSON.
pub fn raw_json(status: u16, body: Vec<u8>) -> Response {
    let mut headers = Headers::new();
    headers.insert("content-type", "application/json");
    Response {
        status,
        headers,
        body,
    }
}

/// Builds an error response.
pub fn problem(status: u16, text: &str) -> Response {
    json(status, &Problem { problem: text })
}

/// Builds an error response with the outcome header.
pub fn problem_with_outcome(status: u16, text: &str, outcome: Outcome) -> Response {
    with_outcome(problem(status, text), outcome)
}

/// Sets the outcome header of a response.
pub fn with_outcome(mut response: Response, outcome: Outcome) -> Response {
    response.headers.insert(OUTCOME_HEADER, outcome.to_string());
    response
}

/// Builds the response to a request that matches no route.
pub fn route_error(err: &RouteError) -> Response {
    let status = match err {
        RouteError::TooLong => 414,
        RouteError::NotFound => 404,
        RouteError::MethodNotAllowed { .. } => 405,
        RouteError::Name(_) => 400,
    };
    problem_with_outcome(status, &err.to_string(), Outcome::NotRun)
}

/// Builds the response for a failed command.
pub fn api_error(err: &ApiError) -> Response {
    let (status, outcome) = match err.kind {
        ApiErrorKind::Invalid => (400, Outcome::NotRun),
        ApiErrorKind::NotFound => (404, Outcome::NotRun),
        ApiErrorKind::Conflict => (409, Outcome::NotRun),
        ApiErrorKind::Unavailable => (503, Outcome::NotRun),
        ApiErrorKind::Unknown => (504, Outcome::Unknown),
    };
    // The problem of a conflict about settings is the current tree as JSON, which becomes the body as it is.
    let is_settings_tree = err.kind == ApiErrorKind::Conflict && err.problem.starts_with('{');
    let mut response = if is_settings_tree {
        raw_json(status, err.problem.clone().into_bytes())
    } else {
        problem(status, &err.problem)
    };
    if err.kind == ApiErrorKind::Unavailable {
        add_retry_after(&mut response, DEFAULT_RETRY_AFTER_MS);
    }
    with_outcome(response, outcome)
}

/// Builds the response to a service request.
pub fn call_reply(reply: CallReply) -> Response {
    let CallReply {
        outcome,
        response,
        reason,
        retry_after_ms,
    } = reply;
    let mut response = match (outcome, response) {
        (Outcome::Answered, Some(response)) => return with_outcome(response, outcome),
        (Outcome::NotRun, _) => problem(503, &reason),
        (Outcome::Answered | Outcome::Unknown, _) => problem(504, &reason),
    };
    response.headers.insert(REASON_HEADER, header_text(&reason));
    if outcome == Outcome::NotRun {
        add_retry_after(
            &mut response,
            retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS),
        );
    }
    with_outcome(response, outcome)
}

/// Sets the retry delay: the standard header in whole seconds, rounded up, and a header of this interface in ms.
fn add_retry_after(response: &mut Response, wait_ms: u64) {
    response
        .headers
        .insert("retry-after", wait_ms.div_ceil(1_000).max(1).to_string());
    response
        .headers
        .insert("retry-after-ms", wait_ms.to_string());
}

/// Replaces characters that are not printable ASCII, and truncates the text to 256 characters.
fn header_text(text: &str) -> String {
    text.chars()
        .map(|c| {
            if c.is_ascii_graphic() || c == ' ' {
                c
            } else {
                '?'
            }
        })
        .take(256)
        .collect()
}
