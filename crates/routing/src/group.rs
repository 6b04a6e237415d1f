//! The backend servers of one service and the requests that wait for them.

use {
    crate::{
        BackendId, BackendServer, Share,
        health::Health,
        queue::{ClassQueue, WaitId},
    },
    ragwortreel_model::{WorkClass, Workspace},
    std::collections::{BTreeMap, BTreeSet},
};

/// Classes in the order in which they get slots.
pub const CLASSES: [WorkClass; 3] = [WorkClass::Urgent, WorkClass::Short, WorkClass::Long];
/// Time over which the slots in use by short work are averaged, in ms.
const SHORT_LOAD_MS: f64 = 1_000.0;

/// Longest time that one sample of the load stands for, in ms.
const MAX_SAMPLE_MS: f64 = 100.0;
/// Average load below which a service counts as idle.
const IDLE_LOAD: f64 = 0.001;

/// A backend server as this instance uses it.
#[derive(Debug)]
pub struct Backend {
    pub server: BackendServer,
    pub share: Share,
    pub health: Health,
    pub in_use: u32,
    pub long_in_use: u32,
    pub last_used: WaitId,
    /// Slots allowed when it was last indexed.
    pub allowed: u32,
}

/// What a request needs of a backend server.
#[derive(Debug, Clone)]
pub struct Need {
    pub on_long_slot: bool,
    pub idempotent: bool,
    pub avoid: Vec<BackendId>,
}

/// Backend servers with a free slot, least loaded and longest unused first.
type LoadIndex = BTreeSet<(u32, WaitId, BackendId)>;

/// State of one service.
#[derive(Debug, Default)]
pub struct Group {
    pub queues: BTreeMap<WorkClass, ClassQueue>,
    pub backends: BTreeMap<BackendId, Backend>,
    index: LoadIndex,
    /// Sum of the allowed slots.
    pub slots: u32,
    pub long_in_use: u32,
    pub short_in_use: u32,
    /// Average number of short and urgent requests in flight or waiting.
    short_load: f64,
    averaged_ms: u64,
    /// Whether a backend server may be ejected or limited by latency, which changes with time.
    is_recovering: bool,
    /// Mean time that a request holds a slot, in ms.
    pub hold_ms: f64,
}

impl Backend {
    pub fn new(server: BackendServer, share: Share) -> Self {
        Self {
            server,
            share,
            health: Health::new(),
            in_use: 0,
            long_in_use: 0,
            last_used: 0,
            allowed: 0,
        }
    }

    fn has_long_room(&self) -> bool {
        self.long_in_use < self.share.long_slots
    }

    fn key(&self) -> (u32, WaitId, BackendId) {
        let load = (self.in_use + 1) * 1_000 / self.allowed.max(1);
        (load, self.last_used, self.server.id.clone())
    }
}

impl Group {
    /// Changes a backend server and keeps the index and sums in step.
    pub fn change(&mut self, now_ms: u64, id: &BackendId, change: impl FnOnce(&mut Backend)) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        self.index.remove(&backend.key());
        self.slots -= backend.allowed;
        change(backend);
        backend.health.settle(backend.share.slots);
        self.is_recovering |= backend.health.is_recovering();
        backend.allowed = if backend.server.draining {
            0
        } else {
            backend.health.allowed(now_ms, backend.share.slots)
        };
        self.slots += backend.allowed;
        if backend.in_use < backend.allowed {
            self.index.insert(backend.key());
        }
    }

    pub fn insert(&mut self, now_ms: u64, backend: Backend) {
        let id = backend.server.id.clone();
        self.backends.insert(id.clone(), backend);
        self.change(now_ms, &id, |_| {});
    }

    pub fn remove(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.remove(id) {
            self.index.remove(&backend.key());
            self.slots -= backend.allowed;
        }
    }

    /// The least loaded backend server with a free slot for a request.
    ///
    /// A request that may not run twice is no probe, unless nothing but probes is left.
    pub fn choose(&self, need: &Need) -> Option<&BackendId> {
        if need.on_long_slot && !self.long_may_start() {
            return None;
        }
        let fits = |id: &&BackendId| {
            let backend = &self.backends[*id];
            let has_room = !need.on_long_slot || backend.has_long_room();
            let may_probe = need.idempotent || !backend.health.is_ejected() || self.is_out();
            has_room && may_probe && !need.avoid.contains(*id)
        };
        self.index.iter().map(|(_, _, id)| id).find(fits)
    }

    /// Whether any backend server could take such a request now or once a slot is free.
    pub fn is_served(&self, avoid: &[BackendId]) -> bool {
        let mut backends = self.backends.iter();
        backends.any(|(id, backend)| backend.allowed > 0 && !avoid.contains(id))
    }

    /// Whether every backend server that stays is ejected.
    pub fn is_out(&self) -> bool {
        let mut staying = self.backends.values().filter(|b| !b.server.draining);
        staying.all(|b| b.health.is_ejected())
    }

    /// Time of the first probe of an ejected backend server, in ms.
    pub fn next_probe_ms(&self) -> Option<u64> {
        let probes = self.backends.values();
        probes.filter_map(|b| b.health.probe_at_ms()).min()
    }

    /// Slots kept for short work: its average use and twice the standard deviation of independent arrivals. Rounded
    /// down, because the average of work that has ended never becomes zero.
    fn short_reserve(&self) -> f64 {
        (self.short_load + 2.0 * self.short_load.sqrt()).floor()
    }

    /// Slots that long work may hold. One of several is always among them, so that rare short work doesn't keep long
    /// work from an instance with few slots.
    fn long_slots(&self) -> f64 {
        let left = f64::from(self.slots) - self.short_reserve();
        if self.slots >= 2 { left.max(1.0) } else { left }
    }

    fn long_may_start(&self) -> bool {
        f64::from(self.long_in_use + 1) <= self.long_slots()
    }

    /// Slots that requests of a class can count on.
    fn slots_for(&self, class: WorkClass) -> f64 {
        if class != WorkClass::Long {
            return f64::from(self.slots);
        }
        let usable = self.backends.values().filter(|b| b.allowed > 0);
        let for_long: u32 = usable.map(|b| b.share.long_slots.min(b.allowed)).sum();
        f64::from(for_long).min(self.long_slots())
    }

    /// Estimated wait of a new request, in ms; `None` when no slot is in sight.
    pub fn wait_ms(&self, class: WorkClass, workspace: &Workspace, weight: u32) -> Option<f64> {
        let slots = self.slots_for(class);
        if slots < 0.5 {
            return None;
        }
        let higher = CLASSES.iter().take_while(|other| **other != class);
        let higher_ms: u64 = higher
            .filter_map(|class| self.queues.get(class))
            .map(ClassQueue::backlog_ms)
            .sum();
        let queue = self.queues.get(&class);
        let ahead_ms = higher_ms + queue.map_or(0, |queue| queue.ahead_ms(workspace, weight));
        let is_busy = self.index.is_empty() || class == WorkClass::Long && !self.long_may_start();
        let first_free_ms = if is_busy { self.hold_ms / slots } else { 0.0 };
        #[allow(clippy::cast_precision_loss, reason = "backlogs are below 2^52 ms")]
        let ahead_ms = ahead_ms as f64;
        Some(ahead_ms / slots + first_free_ms)
    }

    pub fn queued(&self) -> usize {
        self.queues.values().map(ClassQueue::len).sum()
    }

    /// Free slots now.
    pub fn free_slots(&self) -> u32 {
        let free = |b: &Backend| b.allowed.saturating_sub(b.in_use);
        self.backends.values().map(free).sum()
    }

    /// Whether time changes nothing here: no request, no average to decay and no backend server that recovers.
    pub fn is_idle(&self) -> bool {
        self.short_in_use + self.long_in_use == 0
            && self.short_load < IDLE_LOAD
            && !self.is_recovering
            && self.queues.values().all(ClassQueue::is_empty)
    }

    /// Brings the average use of short work up to date.
    pub fn average(&mut self, now_ms: u64) {
        let waiting: usize = [WorkClass::Urgent, WorkClass::Short]
            .iter()
            .filter_map(|class| self.queues.get(class))
            .map(ClassQueue::len)
            .sum();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let load = f64::from(self.short_in_use.saturating_add(waiting));
        #[allow(clippy::cast_precision_loss, reason = "times are below 2^52 ms")]
        let passed_ms = now_ms.saturating_sub(self.averaged_ms) as f64;
        // After an idle time the present load does not stand for all of it.
        let sample_ms = passed_ms.min(MAX_SAMPLE_MS);
        self.short_load += (load - self.short_load) * (1.0 - (-sample_ms / SHORT_LOAD_MS).exp());
        self.averaged_ms = now_ms;
        self.refresh(now_ms, passed_ms);
    }

    /// Brings limits that change with time up to date: those shrunk by latency, and ejections whose probe is due.
    fn refresh(&mut self, now_ms: u64, passed_ms: f64) {
        if !self.is_recovering {
            return;
        }
        self.is_recovering = false;
        let mut changed = Vec::new();
        for (id, backend) in &mut self.backends {
            // The index key depends on `allowed`, which only `change` sets.
            let is_limited = backend.health.relax(passed_ms);
            if is_limited || backend.health.is_ejected() {
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.change(now_ms, &id, |_| {});
        }
    }
}
