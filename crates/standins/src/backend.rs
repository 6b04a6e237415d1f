//! Backend server stand-in: serves requests over HTTP, records them and counts load beyond its limits.

mod request_log;
mod server;

pub use {
    request_log::{BackendCounts, RequestRecord},
    server::{Backend, BackendSpec, ServiceTime, serve_backend},
};
