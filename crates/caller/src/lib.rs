//! HTTP interface for callers and operators.
//!
//! [`ApiHandler`] parses the request target into a [`Route`], checks the bearer token and the input, and calls the
//! traits that the daemon implements: [`ServiceCalls`], [`JobCalls`], [`SettingsCalls`] and [`Admin`]. Every response to
//! a service request or a job command has its outcome in the header [`OUTCOME_HEADER`]: `answered` (the request was
//! executed and the response is complete), `not-run` (it was certainly not executed) or `unknown` (it may or may not
//! have been executed).

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
    auth::{Authenticator, Principal},
    handler::ApiHandler,
    reply::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER, REASON_HEADER},
    route::{Route, RouteError, parse_route},
};
