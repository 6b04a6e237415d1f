//! [`Transport`] with one connection pool per backend server.

use {
    crate::transport::{Reply, Target, Transport},
    async_trait::async_trait,
    ragwortreel_backend::{BackendPool, PoolLimits, SendOptions, SendResult, Slot},
    ragwortreel_http::Request,
    ragwortreel_routing::SlotWatch,
    ragwortreel_runtime::Logger,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

#[cfg(test)]
mod tests;

/// Time without progress after which a connection with long work counts as silent. Long work sends nothing until it is
/// done, so only the operating system's keepalive distinguishes a silent connection from a busy one.
const LONG_SILENCE_TIMEOUT: Duration = Duration::from_hours(24);
/// Maximum number of pools; above it, the least recently used pool without connections is dropped.
const MAX_POOLS: usize = 1_024;

/// Sends requests to backend servers over connection pools, with a connection limit per backend server.
pub struct PooledTransport {
    state: Mutex<State>,
    log: Logger,
}

#[derive(Default)]
struct State {
    pools: BTreeMap<SocketAddr, PoolEntry>,
    /// Maximum number of connections per backend server; 0 for servers that are absent.
    limits: BTreeMap<SocketAddr, u32>,
}

struct PoolEntry {
    pool: Arc<BackendPool>,
    last_used: Instant,
}

impl PooledTransport {
    /// Creates a transport without connections; all limits are 0 until [`Self::set_limits`] is called.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            state: Mutex::default(),
            log,
        }
    }

    /// Replaces the maximum number of connections per backend server.
    ///
    /// Excess idle connections are closed immediately, excess connections in use when their requests end.
    pub fn set_limits(&self, limits: BTreeMap<SocketAddr, u32>) {
        let mut state = self.lock();
        if state.limits == limits {
            return;
        }
        for (address, entry) in &state.pools {
            let connections = limits.get(address).copied().unwrap_or(0);
            entry.pool.set_max_connections(to_usize(connections));
        }
        state.limits = limits;
    }

    /// Open connections per backend server, including those that are being closed.
    pub fn open_connections(&self) -> BTreeMap<SocketAddr, u32> {
        let state = self.lock();
        let open = |(address, entry): (&SocketAddr, &PoolEntry)| {
            let open = u32::try_from(entry.pool.stats().open).unwrap_or(u32::MAX);
            (*address, open)
        };
        state.pools.iter().map(open).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pool of the target's backend server and creates it if necessary.
    fn pool(&self, target: &Target) -> Arc<BackendPool> {
        let mut state = self.lock();
        let connections = state.limits.get(&target.address).copied().unwrap_or(0);
        let entry = state
            .pools
            .entry(target.address)
            .or_insert_with(|| self.new_pool(target, connections));
        entry.last_used = Instant::now();
        let pool = Arc::clone(&entry.pool);
        if state.pools.len() > MAX_POOLS {
            // Pools with connections are retained, because these count against this instance's share.
            let unused = state.pools.iter().filter(|(address, entry)| {
                **address != target.address && entry.pool.stats().open == 0
            });
            let least_recent = unused
                .min_by_key(|(_, entry)| entry.last_used)
                .map(|(address, _)| *address);
            least_recent.and_then(|address| state.pools.remove(&address));
        }
        pool
    }

    fn new_pool(&self, target: &Target, connections: u32) -> PoolEntry {
        let limits = PoolLimits {
            max_connections: to_usize(connections),
            silence_timeout: Some(target.silent_after),
            long_silence_timeout: LONG_SILENCE_TIMEOUT,
            ..PoolLimits::default()
        };
        let pool = BackendPool::new(target.address, limits, self.log.clone());
        PoolEntry {
            pool: Arc::new(pool),
            last_used: Instant::now(),
        }
    }
}

fn to_usize(connections: u32) -> usize {
    usize::try_from(connections).unwrap_or(usize::MAX)
}

/// Adapts the router's [`SlotWatch`] to the [`Slot`] of the connection pool.
struct RouterSlot(SlotWatch);

#[async_trait]
impl Slot for RouterSlot {
    fn is_valid(&self) -> bool {
        self.0.is_valid()
    }

    async fn revoked(&self) {
        self.0.revoked().await;
    }
}

#[async_trait]
impl Transport for PooledTransport {
    async fn send(
        &self,
        target: Target,
        mut req: Request,
        deadline: Instant,
        slot: SlotWatch,
    ) -> Reply {
        req.headers.insert("host", target.address.to_string());
        let options = SendOptions {
            class: target.class,
            deadline,
            retryable: target.retryable,
        };
        match self
            .pool(&target)
            .send_in_slot(req, options, Arc::new(RouterSlot(slot)))
            .await
        {
            SendResult::Answered(response) => Reply::Answered(response),
            SendResult::NotRun(reason) => Reply::NotRun(Arc::from(reason.to_string())),
            SendResult::Unknown(reason) => Reply::Unknown(Arc::from(reason.to_string())),
        }
    }
}
