//! State of the router: queues, backend servers and what is in flight. Plain synchronous code behind the mutex.

mod admission;
mod grants;

use {
    crate::{
        BackendId, BackendMetrics, BackendServer, ClassMetrics, InstanceLoad, Permit, Refusal,
        RefusalReason, RequestInfo, RouterConfig, RouterMetrics, SlotShares,
        budget::{RateLimit, RetryBudget},
        group::{Backend, Group, Need},
        learn::{Learned, RouteKey},
        queue::{Place, WaitId},
    },
    async_channel::Sender,
    ragwortreel_model::{ServiceName, ServiceSettings, Settings, WorkClass, Workspace},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Identifier of a granted slot.
pub type GrantId = u64;
/// What a waiting request is told.
pub type Verdict = Result<Permit, Refusal>;
/// A service and the workspace that offers it.
type GroupKey = (Workspace, ServiceName);

/// Time until the next tick while requests wait, in ms.
const BUSY_TICK_MS: u64 = 5;
/// Time until the next tick while none waits, in ms.
const IDLE_TICK_MS: u64 = 50;
/// Allowance for errors of the estimated wait: requests are refused a fifth early.
const WAIT_MARGIN: f64 = 1.2;
/// Shortest and longest `retry-after`, in ms.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 30_000;
/// Advice when the instance has no lease or is stopping; another instance can serve sooner than this.
const ELSEWHERE_RETRY_MS: u64 = 500;
/// Weight of one sample in the mean time on a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// Multiple of the learned p90 from which a request cut at its deadline counts as a failure.
const OVERDUE_FACTOR: u64 = 2;
/// Wait at which another zone is considered, beyond the round trip to it, in ms.
const SPILL_MARGIN_MS: f64 = 10.0;

/// A slot given to a request.
#[derive(Debug, Clone)]
pub struct Grant {
    pub id: GrantId,
    pub backend: BackendId,
    pub address: SocketAddr,
    pub class: WorkClass,
    pub waited_ms: u64,
    pub revoked: async_channel::Receiver<()>,
}

/// A decision on its way to the waiting task.
pub struct Delivery {
    pub tx: Sender<Verdict>,
    pub verdict: Result<Grant, Refusal>,
}

struct Waiting {
    key: RouteKey,
    caller: Workspace,
    class: WorkClass,
    need: Need,
    place: Place,
    since_ms: u64,
    tx: Sender<Verdict>,
}

struct InFlight {
    key: RouteKey,
    caller: Workspace,
    class: WorkClass,
    on_long_slot: bool,
    backend: BackendId,
    since_ms: u64,
    revoke: Sender<()>,
}

/// Limits of one calling workspace.
#[derive(Default)]
struct WorkspaceLimits {
    rate: Option<RateLimit>,
    retries: RetryBudget,
}

/// All state of a router.
pub struct State {
    config: RouterConfig,
    settings: Settings,
    instances: u32,
    shares: SlotShares,
    groups: BTreeMap<GroupKey, Group>,
    zones: Vec<InstanceLoad>,
    waiting: BTreeMap<WaitId, Waiting>,
    in_flight: BTreeMap<GrantId, InFlight>,
    workspaces: BTreeMap<Workspace, WorkspaceLimits>,
    learned: Learned,
    deliveries: Vec<Delivery>,
    figures: RouterMetrics,
    rng: ChaCha8Rng,
    next_id: WaitId,
    stopping: bool,
}

impl RouteKey {
    fn group(&self) -> GroupKey {
        (self.workspace.clone(), self.service.clone())
    }
}

/// A refusal of a request that has not been queued.
struct Refused {
    reason: RefusalReason,
    retry_after_ms: u64,
}

impl State {
    pub fn new(config: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            settings: Settings::default(),
            instances: 1,
            shares: SlotShares::default(),
            groups: BTreeMap::new(),
            zones: Vec::new(),
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            learned: Learned::default(),
            deliveries: Vec::new(),
            figures: RouterMetrics::default(),
            next_id: 1,
            stopping: false,
        }
    }

    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    pub fn update_settings(&mut self, _now: u64, settings: &Settings) {
        self.settings = settings.clone();
        // What is kept by workspace is bounded by the workspaces of the settings and those with requests in flight.
        let has_workspace = |workspace: &Workspace| settings.workspaces.contains_key(workspace);
        self.workspaces
            .retain(|workspace, _| has_workspace(workspace));
        self.figures.workspaces.retain(|workspace, figures| {
            has_workspace(workspace) || figures.classes.values().any(|c| c.in_flight > 0)
        });
    }

    pub fn update_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    pub fn update_instance_loads(&mut self, zones: Vec<InstanceLoad>) {
        let known = std::mem::take(&mut self.zones);
        let same = |new: &InstanceLoad| {
            let mut known = known.iter();
            let found = known
                .find(|old| old.instance == new.instance && old.report_number == new.report_number);
            found.cloned()
        };
        self.zones = zones
            .into_iter()
            .map(|new| same(&new).unwrap_or(new))
            .collect();
    }

    pub fn update_backends(&mut self, now: u64, servers: Vec<BackendServer>) {
        let mut gone: BTreeMap<BackendId, GroupKey> = BTreeMap::new();
        for (key, group) in &self.groups {
            gone.extend(group.backends.keys().map(|id| (id.clone(), key.clone())));
        }
        for server in servers {
            if server.zone != self.config.zone {
                continue;
            }
            let key = (server.workspace.clone(), server.service.clone());
            let share = self.share_of(&server.id);
            let group = self.groups.entry(key.clone()).or_default();
            if gone.get(&server.id) == Some(&key) {
                gone.remove(&server.id);
                let id = server.id.clone();
                group.change(now, &id, |backend| backend.server = server);
            } else {
                group.insert(now, Backend::new(server, share));
            }
        }
        for (id, key) in gone {
            if let Some(group) = self.groups.get_mut(&key) {
                group.change(now, &id, |backend| backend.server.draining = true);
                forget_unused(group, &id);
            }
        }
        self.serve_all(now);
        self.groups
            .retain(|_, group| !group.backends.is_empty() || group.queued() > 0);
    }

    pub fn update_shares(&mut self, now: u64, shares: SlotShares) {
        self.shares = shares;
        let by_backend = &self.shares.by_backend;
        for group in self.groups.values_mut() {
            // Most calls only extend the lease.
            let shares = group.backends.iter().filter_map(|(id, backend)| {
                let share = by_backend.get(id).copied().unwrap_or_default();
                (share != backend.share).then(|| (id.clone(), share))
            });
            let changed: Vec<_> = shares.collect();
            for (id, share) in changed {
                group.change(now, &id, |backend| backend.share = share);
            }
        }
        self.revoke_excess(now);
        self.serve_all(now);
    }

    pub fn stop(&mut self, _now: u64) {
        self.stopping = true;
        self.refuse_all(RefusalReason::Stopping);
    }

    /// Whether time changes nothing: no request waits or is in flight, and every service is idle.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.in_flight.is_empty()
            && self.groups.values().all(Group::is_idle)
    }

    pub fn tick(&mut self, now: u64) -> u64 {
        self.revoke_excess(now);
        self.count_stragglers(now);
        for key in self.active_groups() {
            self.refuse_late(now, &key);
            if let Some(group) = self.groups.get_mut(&key) {
                group.average(now);
            }
            self.serve(now, &key);
        }
        if self.waiting.is_empty() {
            IDLE_TICK_MS
        } else {
            BUSY_TICK_MS
        }
    }

    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        let mut in_use: BTreeMap<BackendId, u32> = BTreeMap::new();
        // A backend server that changed its service is in two groups until its old requests have ended.
        for (id, backend) in self.groups.values().flat_map(|group| &group.backends) {
            *in_use.entry(id.clone()).or_default() += backend.in_use;
        }
        in_use
    }

    pub fn free_slots(&self) -> BTreeMap<GroupKey, u32> {
        let free = |(key, group): (&GroupKey, &Group)| (key.clone(), group.free_slots());
        self.groups.iter().map(free).collect()
    }

    pub fn metrics(&self) -> RouterMetrics {
        let mut figures = self.figures.clone();
        figures.queued = self.waiting.len() as u64;
        figures.in_flight = self.in_flight.len() as u64;
        for waiting in self.waiting.values() {
            let workspace = figures
                .workspaces
                .entry(waiting.caller.clone())
                .or_default();
            workspace.classes.entry(waiting.class).or_default().queued += 1;
        }
        for (id, backend) in self.groups.values().flat_map(|group| &group.backends) {
            let of_backend = BackendMetrics {
                share: backend.share,
                in_use: backend.in_use,
                long_in_use: backend.long_in_use,
                limit: backend.allowed,
                ejected: backend.health.is_ejected(),
            };
            figures.backends.insert(id.clone(), of_backend);
        }
        figures
    }

    fn declared(&self, request: &RequestInfo) -> ServiceSettings {
        let workspace = self.settings.workspaces.get(&request.workspace);
        let service = workspace.and_then(|workspace| workspace.services.get(&request.service));
        service.cloned().unwrap_or_default()
    }

    fn weight(&self, workspace: &Workspace) -> u32 {
        self.settings
            .workspaces
            .get(workspace)
            .map_or(100, |workspace| workspace.weight)
    }

    fn share_of(&self, id: &BackendId) -> crate::Share {
        self.shares.by_backend.get(id).copied().unwrap_or_default()
    }

    fn counts(&mut self, caller: &Workspace, class: WorkClass) -> &mut ClassMetrics {
        let workspace = self.figures.workspaces.entry(caller.clone()).or_default();
        workspace.classes.entry(class).or_default()
    }
}

/// Removes a backend server that is gone from the list once nothing is in flight to it.
fn forget_unused(group: &mut Group, id: &BackendId) {
    let unused = |b: &Backend| b.server.draining && b.in_use == 0;
    if group.backends.get(id).is_some_and(unused) {
        group.remove(id);
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "waits are positive and below 2^52 ms"
)]
fn to_ms(wait_ms: f64) -> u64 {
    wait_ms as u64
}
