//! Stand-in for backend servers.

mod record;
mod server;

pub use {
    record::{BackendCounts, RequestRecord},
    server::{Backend, BackendSpec, ServiceTime, serve_backend},
};
