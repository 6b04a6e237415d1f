//! Transport over one pool of connections for each backend server.

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

/// Time without progress that long work is allowed. Long work sends nothing until it is done, so only the operating
/// system's keepalive tells a silent connection from a busy one.
const LONG_SILENCE: Duration = Duration::from_hours(24);
/// Pools that are kept; beyond it the one without connections that was not used for longest is dropped.
const MAX_POOLS: usize = 1_024;

/// Transport over pools of connections.
pub struct PooledTransport {
    state: Mutex<State>,
    log: Logger,
}

#[derive(Default)]
struct State {
    pools: BTreeMap<SocketAddr, Entry>,
    /// Most connections to each backend server; none to others.
    limits: BTreeMap<SocketAddr, u32>,
}

struct Entry {
    pool: Arc<BackendPool>,
    used: Instant,
}

impl PooledTransport {
    /// Makes a transport without connections.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            state: Mutex::default(),
            log,
        }
    }

    /// Takes over the most connections to each backend server. Idle connections beyond them close at once, those in
    /// use with their requests.
    pub fn set_limits(&self, limits: BTreeMap<SocketAddr, u32>) {
        let mut state = self.lock();
        if state.limits == limits {
            return;
        }
        for (address, entry) in &state.pools {
            let connections = limits.get(address).copied().unwrap_or(0);
            entry.pool.set_max_connections(limit(connections));
        }
        state.limits = limits;
    }

    /// Open connections to each backend server, those being closed included.
    pub fn open_connections(&self) -> BTreeMap<SocketAddr, u32> {
        let state = self.lock();
        let open = |(address, entry): (&SocketAddr, &Entry)| {
            let open = u32::try_from(entry.pool.stats().open).unwrap_or(u32::MAX);
            (*address, open)
        };
        state.pools.iter().map(open).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pool(&self, target: &Target) -> Arc<BackendPool> {
        let mut state = self.lock();
        let connections = state.limits.get(&target.address).copied().unwrap_or(0);
        let entry = state
            .pools
            .entry(target.address)
            .or_insert_with(|| self.open(target, connections));
        entry.used = Instant::now();
        let pool = Arc::clone(&entry.pool);
        if state.pools.len() > MAX_POOLS {
            // A pool with connections is kept, because they count against this instance's share.
            let unused = state.pools.iter().filter(|(address, entry)| {
                **address != target.address && entry.pool.stats().open == 0
            });
            let oldest = unused
                .min_by_key(|(_, entry)| entry.used)
                .map(|(address, _)| *address);
            oldest.and_then(|address| state.pools.remove(&address));
        }
        pool
    }

    fn open(&self, target: &Target, connections: u32) -> Entry {
        let limits = PoolLimits {
            max_connections: limit(connections),
            silence_timeout: Some(target.silent_after),
            long_silence_timeout: LONG_SILENCE,
            ..PoolLimits::default()
        };
        let pool = BackendPool::new(target.address, limits, self.log.clone());
        Entry {
            pool: Arc::new(pool),
            used: Instant::now(),
        }
    }
}

fn limit(connections: u32) -> usize {
    usize::try_from(connections).unwrap_or(usize::MAX)
}

/// A slot that the router gave.
struct Held(SlotWatch);

#[async_trait]
impl Slot for Held {
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
            retryable: target.resendable,
        };
        match self
            .pool(&target)
            .send_in_slot(req, options, Arc::new(Held(slot)))
            .await
        {
            SendResult::Answered(response) => Reply::Answered(response),
            SendResult::NotRun(reason) => Reply::NotRun(Arc::from(reason.to_string())),
            SendResult::Unknown(reason) => Reply::Unknown(Arc::from(reason.to_string())),
        }
    }
}
