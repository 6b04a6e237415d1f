//! Client with a small pool of idle connections.

use {
    crate::{
        ClientError, ClientErrorCause, ClientLimits, Connection, Request, Response, Sent, Transfer,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Interval at which expired idle connections of all addresses are removed. Each use checks only those of its own
/// address, because all addresses together have far more, and checking them would cost more than the request itself.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP/1.1 client; shared by reference.
///
/// It keeps at most `max_idle_per_address` idle connections for each address. A request is sent again only if no byte
/// of it was sent before. When a request misses its deadline, all idle connections to its address are closed, because
/// the fault that made one connection unresponsive may affect the others.
#[derive(Debug)]
pub struct Client {
    limits: ClientLimits,
    // Locked only to take or return a connection, never across an await.
    idle: Mutex<IdlePool>,
}

#[derive(Debug, Default)]
struct IdlePool {
    by_address: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    last_sweep: Option<Instant>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to an address and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the deadline; its `sent` field says whether any
    /// byte of the request was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        self.send_tracked(addr, req, deadline, &Transfer::default())
            .await
    }

    /// Like [`Self::send`], and records what is received; the deadline is extended as [`Transfer`] allows.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the extended deadline; its `sent` field says whether any
    /// byte of the request was sent.
    pub async fn send_tracked(
        &self,
        addr: SocketAddr,
        req: Request,
        deadline: Instant,
        transfer: &Transfer,
    ) -> Result<Response, ClientError> {
        transfer.record_copy();
        while let Some(connection) = self.take_idle(addr) {
            match self.exchange(connection, &req, deadline, transfer).await {
                // The connection broke while it was idle. Nothing was sent, so the request is retried on another one.
                Err(err) if err.sent == Sent::Nothing && Instant::now() < deadline => {}
                result => return result,
            }
        }
        let connection = Connection::connect(addr, &self.limits, deadline).await?;
        self.exchange(connection, &req, deadline, transfer).await
    }

    fn close_idle(&self, addr: SocketAddr) {
        self.lock().by_address.remove(&addr);
    }

    /// Number of idle connections to an address, including expired ones that have not been removed yet.
    #[must_use]
    pub fn idle_connections(&self, addr: SocketAddr) -> usize {
        self.lock().by_address.get(&addr).map_or(0, Vec::len)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: &Request,
        deadline: Instant,
        transfer: &Transfer,
    ) -> Result<Response, ClientError> {
        let result = connection.exchange_tracked(req, deadline, transfer).await;
        if matches!(&result, Err(err) if matches!(err.cause, ClientErrorCause::Deadline)) {
            self.close_idle(connection.peer());
        }
        let response = result?;
        if connection.is_usable() {
            self.put_idle(connection);
        }
        Ok(response)
    }

    /// Removes and returns the most recently used idle connection that is still usable.
    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.by_address.get_mut(&addr)?;
        while let Some(IdleConnection {
            connection,
            idle_since,
        }) = connections.pop()
        {
            if idle_since.elapsed() < self.limits.idle_timeout && connection.is_ready() {
                return Some(connection);
            }
        }
        idle.by_address.remove(&addr);
        None
    }

    /// Keeps a connection for reuse, or closes it if its address already has `max_idle_per_address` idle ones.
    fn put_idle(&self, connection: Connection) {
        let mut idle = self.lock();
        let limit = self.limits.idle_timeout;
        let now = Instant::now();
        let is_fresh = |idle: &IdleConnection| now.duration_since(idle.idle_since) < limit;
        if idle
            .last_sweep
            .is_none_or(|last_sweep| now.duration_since(last_sweep) >= SWEEP_INTERVAL)
        {
            idle.last_sweep = Some(now);
            idle.by_address.retain(|_, connections| {
                connections.retain(is_fresh);
                !connections.is_empty()
            });
        }
        let connections = idle.by_address.entry(connection.peer()).or_default();
        connections.retain(is_fresh);
        if connections.len() < self.limits.max_idle_per_address {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdlePool> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
