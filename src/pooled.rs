//! Transport over one pool of connections for each backend server.

use {
    crate::transport::{Reply, Target, Transport},
    async_trait::async_trait,
    ragwortreel_backend::{BackendPool, PoolLimits, SendResult, Slot, Terms},
    ragwortreel_http::Request,
    ragwortreel_routing::SlotWatch,
    ragwortreel_runtime::Logger,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time without progress that long work is allowed. Long work sends nothing until it is done, so only the operating
/// system's keepalive tells a silent connection from a busy one.
const LONG_SILENCE: Duration = Duration::from_hours(24);
/// Pools that are kept; pools of backend servers that were not used for longest are closed beyond it.
const MAX_POOLS: usize = 1_024;

/// Transport over pools of connections.
pub struct PooledTransport {
    pools: Mutex<BTreeMap<SocketAddr, Entry>>,
    log: Logger,
}

struct Entry {
    pool: Arc<BackendPool>,
    connections: u32,
    used: Instant,
}

impl PooledTransport {
    /// Makes a transport without connections.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            pools: Mutex::default(),
            log,
        }
    }

    fn pool(&self, target: &Target) -> Arc<BackendPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = pools
            .entry(target.address)
            .or_insert_with(|| self.open(target));
        entry.used = Instant::now();
        if entry.connections != target.connections {
            entry.connections = target.connections;
            entry.pool.set_max_connections(limit(target.connections));
        }
        let pool = Arc::clone(&entry.pool);
        if pools.len() > MAX_POOLS {
            let oldest = pools
                .iter()
                .min_by_key(|(_, entry)| entry.used)
                .map(|(address, _)| *address);
            oldest.and_then(|address| pools.remove(&address));
        }
        pool
    }

    fn open(&self, target: &Target) -> Entry {
        let limits = PoolLimits {
            max_connections: limit(target.connections),
            silence_time: Some(target.silent_after),
            long_silence_time: LONG_SILENCE,
            ..PoolLimits::default()
        };
        let pool = BackendPool::new(target.address, limits, self.log.clone());
        Entry {
            pool: Arc::new(pool),
            connections: target.connections,
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
        let terms = Terms {
            class: target.class,
            deadline,
            resendable: target.resendable,
        };
        match self
            .pool(&target)
            .send_in_slot(req, terms, Arc::new(Held(slot)))
            .await
        {
            SendResult::Answered(response) => Reply::Answered(response),
            SendResult::NotRun(reason) => Reply::NotRun(Arc::from(reason.to_string())),
            SendResult::Unknown(reason) => Reply::Unknown(Arc::from(reason.to_string())),
        }
    }
}
