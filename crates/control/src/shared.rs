//! State that the tasks of one instance share.

use {
    crate::{
        api::{Backend, DataPlane, Member},
        config::{ControlConfig, SchedulerFactory},
        metrics::{Counters, Placements},
        owner::OwnerHandle,
        ownership::Vacancies,
        peers::Peers,
        settings::SettingsStore,
        slots::SlotState,
        view::View,
    },
    ragwortreel_entry::PeerConnector,
    ragwortreel_model::{Clock, InstanceId, Pool, Zone},
    ragwortreel_platform::{InstanceList, ListedInstance, ObjectStore, TableService},
    ragwortreel_runtime::{Logger, Stop, lock},
    ragwortreel_worker::WorkerConnector,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// The own row's lease.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Version of the own row as last known.
    pub version: u64,
    /// When the last successful renewal was sent; absent before the first and after a fence.
    pub renewed_ms: Option<u64>,
    /// When the own row was last rewritten after a fence, or first written.
    pub joined_ms: Option<u64>,
    /// Another process has taken this instance's name.
    pub replaced: bool,
}

/// State of one instance.
pub(crate) struct Shared {
    pub cfg: ControlConfig,
    pub table: Arc<dyn TableService>,
    pub objects: Arc<dyn ObjectStore>,
    pub list: Arc<dyn InstanceList>,
    pub workers: Arc<dyn WorkerConnector>,
    pub connector: Arc<dyn PeerConnector>,
    pub schedulers: SchedulerFactory,
    pub clock: Arc<dyn Clock>,
    pub log: Logger,
    pub stop: Stop,
    pub leaving: AtomicBool,
    pub lease: Mutex<Lease>,
    pub view: Mutex<View>,
    pub peers: Peers,
    pub settings: SettingsStore,
    pub slots: Mutex<SlotState>,
    pub owners: Mutex<BTreeMap<Pool, Arc<OwnerHandle>>>,
    pub vacancies: Mutex<Vacancies>,
    pub listed: Mutex<Arc<Vec<ListedInstance>>>,
    pub backends: Mutex<Arc<Vec<Backend>>>,
    pub local: RwLock<Option<Arc<dyn DataPlane>>>,
    pub counters: Counters,
    pub placements: Placements,
}

impl Shared {
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// End of the own lease on this process's clock, if the row was ever renewed and is not fenced.
    pub fn lease_until_ms(&self) -> Option<u64> {
        let lease = lock(&self.lease);
        let renewed_ms = lease.renewed_ms.filter(|_| !lease.replaced)?;
        Some(renewed_ms + self.cfg.timings.holder_lease_ms())
    }

    /// Whether the own lease holds at this moment.
    pub fn is_lease_valid(&self) -> bool {
        self.lease_until_ms()
            .is_some_and(|until_ms| self.now_ms() < until_ms)
    }

    /// Whether the time in which an owner may renew tasks without renewing its own row has passed.
    pub fn is_autonomy_over(&self) -> bool {
        let lease = lock(&self.lease);
        lease.replaced
            || lease.renewed_ms.is_none_or(|renewed_ms| {
                self.now_ms().saturating_sub(renewed_ms) >= self.cfg.timings.task_renewal_grace_ms
            })
    }

    /// The instance that owns a pool by the rows as last read, unless it is known to be dead.
    pub fn owner_of(&self, pool: &Pool) -> Option<InstanceId> {
        if lock(&self.owners).contains_key(pool) {
            return Some(self.cfg.instance.clone());
        }
        let view = lock(&self.view);
        let row = &view.pools.get(pool)?.row;
        (!row.released).then(|| row.owner.clone())
    }

    pub fn owner_handle(&self, pool: &Pool) -> Option<Arc<OwnerHandle>> {
        lock(&self.owners).get(pool).cloned()
    }

    pub fn local(&self) -> Option<Arc<dyn DataPlane>> {
        let local = self.local.read().unwrap_or_else(PoisonError::into_inner);
        local.clone()
    }

    pub fn region_of(&self, zone: &Zone) -> Option<Arc<str>> {
        let found = self.cfg.zones.iter().find(|cfg| cfg.zone == *zone);
        found.map(|cfg| Arc::clone(&cfg.region))
    }

    /// All other instances that are known, and how they were last reached.
    pub fn members(&self) -> Vec<Member> {
        let now_ms = self.now_ms();
        let lease_ms = self.cfg.timings.lease_ms;
        let view = lock(&self.view);
        let member = |(id, seen): (&InstanceId, &crate::view::Observed)| Member {
            instance: id.clone(),
            incarnation: seen.row.incarnation,
            zone: seen.row.zone.clone(),
            region: Arc::clone(&seen.row.region),
            address: seen.row.address,
            is_live: view.is_live(id, now_ms, lease_ms),
            is_leaving: seen.row.leaving,
            is_self: *id == self.cfg.instance,
            link: self.peers.link(id, now_ms, lease_ms),
        };
        view.instances.iter().map(member).collect()
    }
}
