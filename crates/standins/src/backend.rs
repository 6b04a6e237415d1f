//! Stand-in for backend servers.

mod request_log;
mod server;

pub use {
    request_log::{BackendCounts, RequestRecord},
    server::{Backend, BackendSpec, ServiceTime, serve_backend},
};
