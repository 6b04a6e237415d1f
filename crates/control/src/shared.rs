//! State shared by the tasks of an instance's control plane.

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

/// Lease on the instance's own row.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    /// Last known version of the own row.
    pub version: u64,
    /// When the last successful renewal was sent; `None` before the first renewal and after a fence.
    pub renewed_ms: Option<u64>,
    /// When the own row was first written, or first rewritten after a fence.
    pub joined_ms: Option<u64>,
    /// Another process runs under this instance's name.
    pub replaced: bool,
}

/// State of an instance's control plane.
pub(crate) struct Shared {
    pub cfg: ControlConfig,
    pub table: Arc<dyn TableService>,
    pub objects: Arc<dyn ObjectStore>,
    pub instance_list: Arc<dyn InstanceList>,
    pub worker_connector: Arc<dyn WorkerConnector>,
    pub peer_connector: Arc<dyn PeerConnector>,
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
    pub platform_list: Mutex<Arc<Vec<ListedInstance>>>,
    pub backends: Mutex<Arc<Vec<Backend>>>,
    pub data_plane: RwLock<Option<Arc<dyn DataPlane>>>,
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

    /// End of the own lease on the local clock, or `None` if the row was never renewed or is fenced.
    pub fn lease_expiry_ms(&self) -> Option<u64> {
        let lease = lock(&self.lease);
        let renewed_ms = lease.renewed_ms.filter(|_| !lease.replaced)?;
        Some(renewed_ms + self.cfg.timings.holder_lease_ms())
    }

    /// Returns whether the own lease is valid now.
    pub fn is_lease_valid(&self) -> bool {
        self.lease_expiry_ms()
            .is_some_and(|until_ms| self.now_ms() < until_ms)
    }

    /// Returns whether this instance must stop renewing tasks, because its own row was fenced, replaced or not renewed
    /// for the grace period.
    pub fn is_task_renewal_over(&self) -> bool {
        let lease = lock(&self.lease);
        lease.replaced
            || lease.renewed_ms.is_none_or(|renewed_ms| {
                self.now_ms().saturating_sub(renewed_ms) >= self.cfg.timings.task_renewal_grace_ms
            })
    }

    /// The instance that owns the pool according to the rows, unless the pool was released.
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

    pub fn data_plane(&self) -> Option<Arc<dyn DataPlane>> {
        let data_plane = self
            .data_plane
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        data_plane.clone()
    }

    pub fn region_of(&self, zone: &Zone) -> Option<Arc<str>> {
        let found = self.cfg.zones.iter().find(|cfg| cfg.zone == *zone);
        found.map(|cfg| Arc::clone(&cfg.region))
    }

    /// All instances with a row, with the heartbeat states of their links.
    pub fn members(&self) -> Vec<Member> {
        let now_ms = self.now_ms();
        let lease_ms = self.cfg.timings.lease_ms;
        let view = lock(&self.view);
        let member = |(id, seen): (&InstanceId, &crate::view::ObservedInstance)| Member {
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
