//! Transport over pooled connections to backend servers.

use {
    crate::transport::{Reply, Target, Transport},
    async_trait::async_trait,
    ragwortreel_http::{Client, ClientLimits, Request, Sent},
    std::{sync::Arc, time::Instant},
};

/// Transport over one pool of connections a backend server.
pub struct PooledTransport {
    client: Client,
}

impl PooledTransport {
    /// Makes a transport without connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
        }
    }
}

#[async_trait]
impl Transport for PooledTransport {
    async fn send(&self, target: Target, mut req: Request, deadline: Instant) -> Reply {
        req.headers.insert("host", target.address.to_string());
        match self.client.send(target.address, req, deadline).await {
            Ok(response) => Reply::Answered(response),
            Err(err) if err.sent == Sent::Nothing => Reply::NotRun(Arc::from(err.to_string())),
            Err(err) => Reply::Unknown(Arc::from(err.to_string())),
        }
    }
}
