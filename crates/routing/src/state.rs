//! State of the router: queues, backend servers and requests in flight. Synchronous code that runs under the mutex.
//!
//! `now` is the time of the router's clock, in ms.

mod admission;
mod slots;

use {
    crate::{
        BackendId, BackendMetrics, BackendServer, ClassMetrics, InstanceLoad, Permit, Refusal,
        RefusalReason, RequestInfo, RouterConfig, RouterMetrics, SlotShares,
        queue::{QueuePosition, WaitId},
        run_times::{RouteKey, RunTimeStats},
        service::{BackendState, ServiceState, SlotRequirements},
        token_bucket::{RateLimit, RetryBudget},
    },
    async_channel::Sender,
    ragwortreel_model::{ServiceName, ServiceSettings, Settings, WorkClass, Workspace},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Identifier of a granted slot.
pub type GrantId = u64;
/// Result of the admission of a request, as its task receives it.
pub type AdmissionResult = Result<Permit, Refusal>;
/// A service and the workspace that offers it.
type ServiceKey = (Workspace, ServiceName);

/// Time until the next tick while requests wait, in ms.
const BUSY_TICK_MS: u64 = 5;
/// Time until the next tick while none waits, in ms.
const IDLE_TICK_MS: u64 = 50;
/// Factor by which the estimated wait is increased before it is compared with the time until a request's latest start,
/// because the actual wait may be longer than the estimate.
const WAIT_SAFETY_FACTOR: f64 = 1.2;
/// Minimum and maximum retry delay of a refusal before jitter, in ms.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 30_000;
/// Retry delay when the instance has no lease, is stopping or has no backend server to probe, in ms. It does not depend
/// on when this instance can serve requests again, because another instance may serve the retry.
const OTHER_INSTANCE_RETRY_MS: u64 = 500;
/// Weight of one sample in the average time that a slot is held.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Multiple of the measured p90 run time from which a request cut off at its deadline counts as a failure.
const OVERDUE_FACTOR: u64 = 2;
/// Requests are forwarded to another instance only if the estimated wait at this one exceeds the round-trip time by
/// more than this, in ms.
const FORWARD_MARGIN_MS: f64 = 10.0;

/// A slot granted to a request.
#[derive(Debug, Clone)]
pub struct Grant {
    pub id: GrantId,
    pub backend: BackendId,
    pub address: SocketAddr,
    pub class: WorkClass,
    pub waited_ms: u64,
    /// Closed when the slot is revoked.
    pub revoked: async_channel::Receiver<()>,
}

/// An admission decision to be sent to the waiting task.
pub struct Decision {
    pub tx: Sender<AdmissionResult>,
    pub result: Result<Grant, Refusal>,
}

struct WaitingRequest {
    key: RouteKey,
    caller: Workspace,
    class: WorkClass,
    requirements: SlotRequirements,
    position: QueuePosition,
    queued_at_ms: u64,
    tx: Sender<AdmissionResult>,
}

struct InFlightRequest {
    key: RouteKey,
    caller: Workspace,
    class: WorkClass,
    counts_as_long: bool,
    backend: BackendId,
    granted_at_ms: u64,
    revoke: Sender<()>,
}

/// Rate limit and retry budget of one calling workspace.
#[derive(Default)]
struct WorkspaceLimits {
    rate: Option<RateLimit>,
    retries: RetryBudget,
}

/// Mutable state of a router.
pub struct RouterState {
    config: RouterConfig,
    settings: Settings,
    instance_count: u32,
    shares: SlotShares,
    services: BTreeMap<ServiceKey, ServiceState>,
    instance_loads: Vec<InstanceLoad>,
    waiting: BTreeMap<WaitId, WaitingRequest>,
    in_flight: BTreeMap<GrantId, InFlightRequest>,
    workspace_limits: BTreeMap<Workspace, WorkspaceLimits>,
    run_times: RunTimeStats,
    /// Decisions to be sent once the mutex is released.
    decisions: Vec<Decision>,
    metrics: RouterMetrics,
    rng: ChaCha8Rng,
    next_id: WaitId,
    stopping: bool,
}

impl RouteKey {
    fn service_key(&self) -> ServiceKey {
        (self.workspace.clone(), self.service.clone())
    }
}

/// Reason and retry delay of a refusal that has not been sent to the caller yet.
struct RefusalDetails {
    reason: RefusalReason,
    retry_after_ms: u64,
}

impl RouterState {
    pub fn new(config: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            settings: Settings::default(),
            instance_count: 1,
            shares: SlotShares::default(),
            services: BTreeMap::new(),
            instance_loads: Vec::new(),
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            workspace_limits: BTreeMap::new(),
            run_times: RunTimeStats::default(),
            decisions: Vec::new(),
            metrics: RouterMetrics::default(),
            next_id: 1,
            stopping: false,
        }
    }

    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    pub fn update_settings(&mut self, _now: u64, settings: &Settings) {
        self.settings = settings.clone();
        // Limits and metrics are kept only for workspaces in the settings or with requests in flight, to bound memory.
        let has_workspace = |workspace: &Workspace| settings.workspaces.contains_key(workspace);
        self.workspace_limits
            .retain(|workspace, _| has_workspace(workspace));
        self.metrics.workspaces.retain(|workspace, metrics| {
            has_workspace(workspace) || metrics.classes.values().any(|c| c.in_flight > 0)
        });
    }

    pub fn update_instance_count(&mut self, instances: u32) {
        self.instance_count = instances.max(1);
    }

    pub fn update_instance_loads(&mut self, loads: Vec<InstanceLoad>) {
        let known = std::mem::take(&mut self.instance_loads);
        // An unchanged report keeps its slots that are counted as taken by forwarded requests.
        let unchanged = |new: &InstanceLoad| {
            let mut known = known.iter();
            let found = known
                .find(|old| old.instance == new.instance && old.report_number == new.report_number);
            found.cloned()
        };
        self.instance_loads = loads
            .into_iter()
            .map(|new| unchanged(&new).unwrap_or(new))
            .collect();
    }

    pub fn update_backends(&mut self, now: u64, servers: Vec<BackendServer>) {
        let mut unlisted: BTreeMap<BackendId, ServiceKey> = BTreeMap::new();
        for (key, service) in &self.services {
            unlisted.extend(service.backends.keys().map(|id| (id.clone(), key.clone())));
        }
        for server in servers {
            if server.zone != self.config.zone {
                continue;
            }
            let key = (server.workspace.clone(), server.service.clone());
            let share = self.share_of(&server.id);
            let service = self.services.entry(key.clone()).or_default();
            if unlisted.get(&server.id) == Some(&key) {
                unlisted.remove(&server.id);
                let id = server.id.clone();
                service.update_backend(now, &id, |backend| backend.server = server);
            } else {
                service.insert(now, BackendState::new(server, share));
            }
        }
        for (id, key) in unlisted {
            if let Some(service) = self.services.get_mut(&key) {
                service.update_backend(now, &id, |backend| backend.server.draining = true);
                remove_if_drained(service, &id);
            }
        }
        self.assign_all_slots(now);
        self.services
            .retain(|_, service| !service.backends.is_empty() || service.queued() > 0);
    }

    pub fn update_shares(&mut self, now: u64, shares: SlotShares) {
        self.shares = shares;
        let by_backend = &self.shares.by_backend;
        for service in self.services.values_mut() {
            // Most calls only extend the lease and change no share.
            let shares = service.backends.iter().filter_map(|(id, backend)| {
                let share = by_backend.get(id).copied().unwrap_or_default();
                (share != backend.share).then(|| (id.clone(), share))
            });
            let changed: Vec<_> = shares.collect();
            for (id, share) in changed {
                service.update_backend(now, &id, |backend| backend.share = share);
            }
        }
        self.revoke_excess(now);
        self.assign_all_slots(now);
    }

    pub fn stop(&mut self, _now: u64) {
        self.stopping = true;
        self.refuse_all(RefusalReason::Stopping);
    }

    /// Whether [`RouterState::tick`] would change nothing: no request waits or is in flight, and every service is idle.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.in_flight.is_empty()
            && self.services.values().all(ServiceState::is_idle)
    }

    pub fn tick(&mut self, now: u64) -> u64 {
        self.revoke_excess(now);
        self.reclassify_stragglers(now);
        for key in self.active_services() {
            self.refuse_late(now, &key);
            if let Some(service) = self.services.get_mut(&key) {
                service.update_short_load(now);
            }
            self.assign_slots(now, &key);
        }
        if self.waiting.is_empty() {
            IDLE_TICK_MS
        } else {
            BUSY_TICK_MS
        }
    }

    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        let mut in_use: BTreeMap<BackendId, u32> = BTreeMap::new();
        // A backend server that changed its service belongs to both services until its old requests have ended.
        for (id, backend) in self.services.values().flat_map(|service| &service.backends) {
            *in_use.entry(id.clone()).or_default() += backend.in_use;
        }
        in_use
    }

    pub fn free_slots(&self) -> BTreeMap<ServiceKey, u32> {
        let free =
            |(key, service): (&ServiceKey, &ServiceState)| (key.clone(), service.free_slots());
        self.services.iter().map(free).collect()
    }

    pub fn metrics(&self) -> RouterMetrics {
        let mut metrics = self.metrics.clone();
        metrics.queued = self.waiting.len() as u64;
        metrics.in_flight = self.in_flight.len() as u64;
        for waiting in self.waiting.values() {
            let workspace = metrics
                .workspaces
                .entry(waiting.caller.clone())
                .or_default();
            workspace.classes.entry(waiting.class).or_default().queued += 1;
        }
        for (id, backend) in self.services.values().flat_map(|service| &service.backends) {
            let of_backend = BackendMetrics {
                share: backend.share,
                in_use: backend.in_use,
                long_in_use: backend.long_in_use,
                limit: backend.allowed_slots,
                ejected: backend.health.is_ejected(),
            };
            metrics.backends.insert(id.clone(), of_backend);
        }
        metrics
    }

    fn service_settings(&self, request: &RequestInfo) -> ServiceSettings {
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

    fn class_metrics(&mut self, caller: &Workspace, class: WorkClass) -> &mut ClassMetrics {
        let workspace = self.metrics.workspaces.entry(caller.clone()).or_default();
        workspace.classes.entry(class).or_default()
    }
}

/// Removes a draining backend server once it has no requests in flight.
fn remove_if_drained(service: &mut ServiceState, id: &BackendId) {
    let unused = |b: &BackendState| b.server.draining && b.in_use == 0;
    if service.backends.get(id).is_some_and(unused) {
        service.remove(id);
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
