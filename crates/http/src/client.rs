//! Client with a small pool of idle connections.

use {
    crate::{ClientError, ClientErrorCause, ClientLimits, Connection, Request, Response, Sent},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time between two checks of all idle connections for their age. They are far more than one address's, so that a check
/// at each use would cost more than the requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP/1.1 client; shared by reference.
///
/// It keeps at most `max_idle_per_address` idle connections for each address. A request is never sent twice unless
/// no byte of it was sent the first time. After a passed deadline the address's idle connections are given up, because
/// whatever silenced one open connection may have silenced the others.
#[derive(Debug)]
pub struct Client {
    limits: ClientLimits,
    // Shared by all senders; the lock is held only to take or put a connection.
    idle: Mutex<IdleConnections>,
}

#[derive(Debug, Default)]
struct IdleConnections {
    by_address: BTreeMap<SocketAddr, Vec<Idle>>,
    swept: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to an address and returns its whole response.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the deadline; it tells whether any byte was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        while let Some(connection) = self.take(addr) {
            match self.exchange(connection, &req, deadline).await {
                // The connection broke while idle: nothing was sent, so another one may be used.
                Err(err) if err.sent == Sent::Nothing && Instant::now() < deadline => {}
                result => return result,
            }
        }
        let connection = Connection::connect(addr, &self.limits, deadline).await?;
        self.exchange(connection, &req, deadline).await
    }

    fn give_up_idle(&self, addr: SocketAddr) {
        self.lock().by_address.remove(&addr);
    }

    /// Number of idle connections to an address.
    #[must_use]
    pub fn idle_connections(&self, addr: SocketAddr) -> usize {
        self.lock().by_address.get(&addr).map_or(0, Vec::len)
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        req: &Request,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        let result = connection.exchange(req, deadline).await;
        if matches!(&result, Err(err) if matches!(err.cause, ClientErrorCause::Deadline)) {
            self.give_up_idle(connection.peer());
        }
        let response = result?;
        if connection.is_usable() {
            self.put(connection);
        }
        Ok(response)
    }

    /// The most recently used idle connection that is still fit.
    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.by_address.get_mut(&addr)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            if since.elapsed() < self.limits.idle_timeout && connection.is_ready() {
                return Some(connection);
            }
        }
        idle.by_address.remove(&addr);
        None
    }

    fn put(&self, connection: Connection) {
        let mut idle = self.lock();
        let limit = self.limits.idle_timeout;
        let now = Instant::now();
        let is_fresh = |idle: &Idle| now.duration_since(idle.since) < limit;
        if idle
            .swept
            .is_none_or(|swept| now.duration_since(swept) >= SWEEP_INTERVAL)
        {
            idle.swept = Some(now);
            idle.by_address.retain(|_, connections| {
                connections.retain(is_fresh);
                !connections.is_empty()
            });
        }
        let connections = idle.by_address.entry(connection.peer()).or_default();
        connections.retain(is_fresh);
        if connections.len() < self.limits.max_idle_per_address {
            connections.push(Idle {
                connection,
                since: now,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
