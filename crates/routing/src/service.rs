//! State of one service: its backend servers and the requests that wait for them.

use {
    crate::{
        BackendId, BackendServer, Share,
        health::Health,
        queue::{ClassQueue, WaitId},
    },
    ragwortreel_model::{WorkClass, Workspace},
    std::collections::{BTreeMap, BTreeSet},
};

/// Classes in the order in which they are given slots.
pub const CLASSES_BY_PRIORITY: [WorkClass; 3] =
    [WorkClass::Urgent, WorkClass::Short, WorkClass::Long];
/// Time constant of the average load of short work, in ms.
const SHORT_LOAD_WINDOW_MS: f64 = 1_000.0;
/// Maximum time that one load sample represents, in ms.
const MAX_SAMPLE_MS: f64 = 100.0;
/// Average load below which a service counts as idle, in requests.
const IDLE_LOAD: f64 = 0.001;

/// State of a backend server as seen by this instance.
#[derive(Debug)]
pub struct BackendState {
    pub server: BackendServer,
    pub share: Share,
    pub health: Health,
    pub in_use: u32,
    pub long_in_use: u32,
    /// Last request that got a slot; orders backend servers by least recent use.
    pub last_request: WaitId,
    /// Allowed slots at the last update of the index.
    pub allowed_slots: u32,
}

/// Conditions under which a request may use a slot.
#[derive(Debug, Clone)]
pub struct SlotRequirements {
    /// Whether the request counts as long work in the slot limits.
    pub counts_as_long: bool,
    pub idempotent: bool,
    /// Backend servers that must not be chosen.
    pub avoid: Vec<BackendId>,
}

/// Backend servers with a free slot, ordered by load, then by least recent use. The load is the part of the allowed
/// slots, in thousandths, that is in use after one more request has started.
type LoadIndex = BTreeSet<(u32, WaitId, BackendId)>;

/// Queues, backend servers and load of one service.
#[derive(Debug, Default)]
pub struct ServiceState {
    pub queues: BTreeMap<WorkClass, ClassQueue>,
    pub backends: BTreeMap<BackendId, BackendState>,
    load_index: LoadIndex,
    /// Sum of the allowed slots of all backend servers.
    pub total_allowed_slots: u32,
    pub long_in_use: u32,
    pub short_in_use: u32,
    /// Moving average of the short and urgent requests in flight or waiting.
    short_load: f64,
    averaged_at_ms: u64,
    /// Whether a backend server may be ejected or limited by latency, so that its allowed slots change with time.
    has_recovering_backend: bool,
    /// Moving average of the time that a request holds a slot, in ms.
    pub mean_hold_ms: f64,
}

impl BackendState {
    pub fn new(server: BackendServer, share: Share) -> Self {
        Self {
            server,
            share,
            health: Health::new(),
            in_use: 0,
            long_in_use: 0,
            last_request: 0,
            allowed_slots: 0,
        }
    }

    fn has_free_long_slot(&self) -> bool {
        self.long_in_use < self.share.long_slots
    }

    fn index_key(&self) -> (u32, WaitId, BackendId) {
        let load = (self.in_use + 1) * 1_000 / self.allowed_slots.max(1);
        (load, self.last_request, self.server.id.clone())
    }
}

impl ServiceState {
    /// Applies `change` to a backend server, then updates its allowed slots, the load index and the sums.
    pub fn update_backend(
        &mut self,
        now_ms: u64,
        id: &BackendId,
        change: impl FnOnce(&mut BackendState),
    ) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        self.load_index.remove(&backend.index_key());
        self.total_allowed_slots -= backend.allowed_slots;
        change(backend);
        backend.health.end_slow_start(backend.share.slots);
        self.has_recovering_backend |= backend.health.is_recovering();
        backend.allowed_slots = if backend.server.draining {
            0
        } else {
            backend.health.allowed_slots(now_ms, backend.share.slots)
        };
        self.total_allowed_slots += backend.allowed_slots;
        if backend.in_use < backend.allowed_slots {
            self.load_index.insert(backend.index_key());
        }
    }

    pub fn insert(&mut self, now_ms: u64, backend: BackendState) {
        let id = backend.server.id.clone();
        self.backends.insert(id.clone(), backend);
        self.update_backend(now_ms, &id, |_| {});
    }

    pub fn remove(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.remove(id) {
            self.load_index.remove(&backend.index_key());
            self.total_allowed_slots -= backend.allowed_slots;
        }
    }

    /// The least loaded backend server with a free slot for a request.
    ///
    /// A request that is not idempotent is used as a probe only when all backend servers are ejected.
    pub fn choose_backend(&self, requirements: &SlotRequirements) -> Option<&BackendId> {
        if requirements.counts_as_long && !self.can_start_long() {
            return None;
        }
        let fits = |id: &&BackendId| {
            let backend = &self.backends[*id];
            let has_slot = !requirements.counts_as_long || backend.has_free_long_slot();
            let may_probe =
                requirements.idempotent || !backend.health.is_ejected() || self.all_ejected();
            has_slot && may_probe && !requirements.avoid.contains(*id)
        };
        self.load_index.iter().map(|(_, _, id)| id).find(fits)
    }

    /// Whether any backend server outside `avoid` can take a request now or once a slot is free.
    pub fn has_usable_backend(&self, avoid: &[BackendId]) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|(id, backend)| backend.allowed_slots > 0 && !avoid.contains(id))
    }

    /// Whether every backend server that is not draining is ejected.
    pub fn all_ejected(&self) -> bool {
        let mut active = self.backends.values().filter(|b| !b.server.draining);
        active.all(|b| b.health.is_ejected())
    }

    /// Time of the earliest probe of an ejected backend server, in ms.
    pub fn next_probe_at_ms(&self) -> Option<u64> {
        let probes = self.backends.values();
        probes.filter_map(|b| b.health.probe_at_ms()).min()
    }

    /// Slots reserved for short work: its average load plus twice the standard deviation of independent arrivals.
    /// Rounded down, because the moving average never reaches zero after the work has ended.
    fn short_reserved_slots(&self) -> f64 {
        (self.short_load + 2.0 * self.short_load.sqrt()).floor()
    }

    /// Slots that long work may hold. With two or more slots it is at least one, so that occasional short work does not
    /// starve long work on an instance with few slots.
    fn max_long_slots(&self) -> f64 {
        let left = f64::from(self.total_allowed_slots) - self.short_reserved_slots();
        if self.total_allowed_slots >= 2 {
            left.max(1.0)
        } else {
            left
        }
    }

    fn can_start_long(&self) -> bool {
        f64::from(self.long_in_use + 1) <= self.max_long_slots()
    }

    /// Number of slots available to a class.
    fn usable_slots(&self, class: WorkClass) -> f64 {
        if class != WorkClass::Long {
            return f64::from(self.total_allowed_slots);
        }
        let usable = self.backends.values().filter(|b| b.allowed_slots > 0);
        let for_long: u32 = usable
            .map(|b| b.share.long_slots.min(b.allowed_slots))
            .sum();
        f64::from(for_long).min(self.max_long_slots())
    }

    /// Estimated wait of a new request, in ms; `None` when its class has no available slots.
    pub fn estimated_wait_ms(
        &self,
        class: WorkClass,
        workspace: &Workspace,
        weight: u32,
    ) -> Option<f64> {
        let slots = self.usable_slots(class);
        if slots < 0.5 {
            return None;
        }
        let higher = CLASSES_BY_PRIORITY
            .iter()
            .take_while(|other| **other != class);
        let higher_ms: u64 = higher
            .filter_map(|class| self.queues.get(class))
            .map(ClassQueue::backlog_ms)
            .sum();
        let queue = self.queues.get(&class);
        let ahead_ms = higher_ms + queue.map_or(0, |queue| queue.work_ahead_ms(workspace, weight));
        let is_busy =
            self.load_index.is_empty() || class == WorkClass::Long && !self.can_start_long();
        let first_free_ms = if is_busy {
            self.mean_hold_ms / slots
        } else {
            0.0
        };
        #[allow(clippy::cast_precision_loss, reason = "backlogs are below 2^52 ms")]
        let ahead_ms = ahead_ms as f64;
        Some(ahead_ms / slots + first_free_ms)
    }

    pub fn queued(&self) -> usize {
        self.queues.values().map(ClassQueue::len).sum()
    }

    /// Allowed slots that are not in use.
    pub fn free_slots(&self) -> u32 {
        let free = |b: &BackendState| b.allowed_slots.saturating_sub(b.in_use);
        self.backends.values().map(free).sum()
    }

    /// Whether the state does not change with time: no request, no load average to decay and no recovering backend
    /// server.
    pub fn is_idle(&self) -> bool {
        self.short_in_use + self.long_in_use == 0
            && self.short_load < IDLE_LOAD
            && !self.has_recovering_backend
            && self.queues.values().all(ClassQueue::is_empty)
    }

    /// Updates the average load of short work and the limits that change with time.
    pub fn update_short_load(&mut self, now_ms: u64) {
        let waiting: usize = [WorkClass::Urgent, WorkClass::Short]
            .iter()
            .filter_map(|class| self.queues.get(class))
            .map(ClassQueue::len)
            .sum();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let load = f64::from(self.short_in_use.saturating_add(waiting));
        #[allow(clippy::cast_precision_loss, reason = "times are below 2^52 ms")]
        let passed_ms = now_ms.saturating_sub(self.averaged_at_ms) as f64;
        // After an idle period the present load does not represent the whole period.
        let sample_ms = passed_ms.min(MAX_SAMPLE_MS);
        self.short_load +=
            (load - self.short_load) * (1.0 - (-sample_ms / SHORT_LOAD_WINDOW_MS).exp());
        self.averaged_at_ms = now_ms;
        self.refresh_limits(now_ms, passed_ms);
    }

    /// Updates limits that change with time: those reduced by latency, and ejections whose probe is due.
    fn refresh_limits(&mut self, now_ms: u64, passed_ms: f64) {
        if !self.has_recovering_backend {
            return;
        }
        self.has_recovering_backend = false;
        let mut changed = Vec::new();
        for (id, backend) in &mut self.backends {
            // The index key depends on `allowed_slots`, which only `update_backend` sets.
            let is_limited = backend.health.grow_limit(passed_ms);
            if is_limited || backend.health.is_ejected() {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.update_backend(now_ms, &id, |_| {});
        }
    }
}
