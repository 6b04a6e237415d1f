//! Interface for sending requests to backend servers.

use {
    async_trait::async_trait,
    ragwortreel_http::{Request, Response},
    ragwortreel_model::WorkClass,
    ragwortreel_routing::SlotWatch,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Destination and limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Work class of the request; short and long requests do not share idle connections.
    pub class: WorkClass,
    /// Time without progress after which a connection counts as silent.
    pub silent_after: Duration,
    /// Whether the request may be sent again after an unknown outcome.
    pub retryable: bool,
}

/// Result of a request at a backend server.
#[derive(Debug)]
pub enum Reply {
    /// The complete response to the request.
    Answered(Response),
    /// The backend server accepted no byte of the request; holds the reason.
    NotRun(Arc<str>),
    /// The request may or may not have run; holds the reason.
    Unknown(Arc<str>),
}

/// Sends requests to backend servers.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request and waits for its complete response until the deadline or until the slot is revoked.
    async fn send(&self, target: Target, req: Request, deadline: Instant, slot: SlotWatch)
    -> Reply;
}
