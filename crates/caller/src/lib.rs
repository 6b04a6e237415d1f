//! HTTP interface for callers and operators.
//!
//! [`ApiHandler`] parses a request into a [`Route`], checks the bearer token, and calls the traits behind which the
//! daemon keeps its logic. Every response to a service request or a job command names its outcome in the header
//! [`OUTCOME_HEADER`].

mod api;
mod auth;
mod handler;
mod reply;
mod route;

pub use {
    api::{
        Admin, ApiError, ApiErrorKind, CallReply, DrainTarget, JobCalls, ServiceCall, ServiceCalls,
        SettingsCalls, SettingsChange, SettingsReply,
    },
    auth::{Authenticator, Principal, token_digest},
    handler::ApiHandler,
    reply::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, REASON_HEADER},
    route::{Route, RouteError, parse_route},
};
