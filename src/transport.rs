//! Sending a request to a backend server.

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

/// Where and within which limits a request is sent.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Class of the request; short and long requests do not share idle connections.
    pub class: WorkClass,
    /// Time without progress after which a connection counts as silent.
    pub silent_after: Duration,
    /// Whether the request may be sent again after an unknown outcome.
    pub resendable: bool,
}

/// What became of a request, with the evidence that the caller's outcome rests on.
#[derive(Debug)]
pub enum Reply {
    /// The whole response to this request.
    Answered(Response),
    /// No byte of the request was taken.
    NotRun(Arc<str>),
    /// The request may or may not have run.
    Unknown(Arc<str>),
}

/// Sends requests to backend servers.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends one request and waits for its whole response until the deadline, or until the slot is lost.
    async fn send(&self, target: Target, req: Request, deadline: Instant, slot: SlotWatch)
    -> Reply;
}
