//! State of the router: queues, backend servers and what is in flight. Plain synchronous code behind the mutex.

use {
    crate::{
        BackendId, BackendServer, Permit, Refusal, RefusalReason, RequestInfo, RequestResult,
        RouterConfig, Share, SlotShares,
    },
    async_channel::Sender,
    ragwortreel_model::{Settings, Team, WorkClass},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// Identifier of a waiting request.
pub type WaitId = u64;
/// Identifier of a granted slot.
pub type GrantId = u64;
/// What a waiting request is told.
pub type Verdict = Result<Permit, Refusal>;

/// A slot given to a request.
#[derive(Debug, Clone)]
pub struct Grant {
    pub id: GrantId,
    pub backend: BackendId,
    pub address: SocketAddr,
    pub connections: u32,
    pub class: WorkClass,
    pub waited_ms: u64,
}

/// A decision on its way to the waiting task.
pub struct Delivery {
    pub tx: Sender<Verdict>,
    pub verdict: Result<Grant, Refusal>,
}

/// Figures of one class of a caller's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueFigures {
    /// Requests that wait now.
    pub queued: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Permits given so far.
    pub admitted: u64,
    /// Refusals so far.
    pub refused: u64,
    /// Sum of the waits of all admitted requests, in ms.
    pub waited_ms: u64,
}

/// Figures of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamFigures {
    /// By class.
    pub classes: BTreeMap<WorkClass, QueueFigures>,
    /// Refusals so far by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
}

/// Figures of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendFigures {
    /// Slots that this instance may use.
    pub share: Share,
    /// Slots in use.
    pub in_use: u32,
    /// Of these, slots with long work.
    pub long_in_use: u32,
    /// Slots that the adaptive limit allows.
    pub limit: u32,
    /// Whether the backend server is ejected.
    pub ejected: bool,
}

/// Snapshot of the router's figures.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouterFigures {
    /// By calling team.
    pub teams: BTreeMap<Team, TeamFigures>,
    /// By backend server.
    pub backends: BTreeMap<BackendId, BackendFigures>,
    /// Requests that wait now.
    pub queued: u64,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Ejections so far.
    pub ejections: u64,
    /// Retries permitted so far.
    pub retries: u64,
    /// Retries denied so far.
    pub retries_denied: u64,
}

struct Waiting {
    request: RequestInfo,
    class: WorkClass,
    avoid: Vec<BackendId>,
    since_ms: u64,
    tx: Sender<Verdict>,
}

struct InFlight {
    backend: BackendId,
    class: WorkClass,
    caller: Team,
}

struct Backend {
    server: BackendServer,
    share: Share,
    in_use: u32,
    long_in_use: u32,
    last_used: u64,
}

/// All state of a router.
pub struct State {
    config: RouterConfig,
    settings: Settings,
    shares: SlotShares,
    backends: BTreeMap<BackendId, Backend>,
    waiting: BTreeMap<WaitId, Waiting>,
    queues: BTreeMap<WorkClass, VecDeque<WaitId>>,
    in_flight: BTreeMap<GrantId, InFlight>,
    deliveries: Vec<Delivery>,
    figures: RouterFigures,
    next_id: u64,
    stopping: bool,
}

impl State {
    pub fn new(config: RouterConfig) -> Self {
        Self {
            config,
            settings: Settings::default(),
            shares: SlotShares::default(),
            backends: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queues: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            deliveries: Vec::new(),
            figures: RouterFigures::default(),
            next_id: 1,
            stopping: false,
        }
    }

    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    pub fn update_settings(&mut self, now: u64, settings: &Settings) {
        self.settings = settings.clone();
        self.dispatch(now);
    }

    pub fn update_backends(&mut self, now: u64, servers: Vec<BackendServer>) {
        let mut old = std::mem::take(&mut self.backends);
        for server in servers {
            if server.zone != self.config.zone {
                continue;
            }
            let share = self.shares.by_backend.get(&server.id).copied();
            let known = old.remove(&server.id);
            let mut backend = known.unwrap_or_else(|| Backend::new(server.clone()));
            backend.server = server;
            backend.share = share.unwrap_or_default();
            self.backends.insert(backend.server.id.clone(), backend);
        }
        for (id, mut backend) in old {
            if backend.in_use > 0 {
                backend.server.leaving = true;
                self.backends.insert(id, backend);
            }
        }
        self.dispatch(now);
    }

    pub fn update_shares(&mut self, now: u64, shares: SlotShares) {
        self.shares = shares;
        for (id, backend) in &mut self.backends {
            backend.share = self.shares.by_backend.get(id).copied().unwrap_or_default();
        }
        self.dispatch(now);
    }

    pub fn stop(&mut self, _now: u64) {
        self.stopping = true;
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            self.refuse(waiting, RefusalReason::Stopping, 1_000);
        }
        self.queues.clear();
    }

    pub fn tick(&mut self, now: u64) -> u64 {
        let late: Vec<WaitId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.request.deadline_ms <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(waiting) = self.waiting.remove(&id) {
                self.refuse(waiting, RefusalReason::Deadline, 100);
            }
        }
        self.dispatch(now);
        10
    }

    pub fn enqueue(
        &mut self,
        now: u64,
        request: RequestInfo,
        avoid: &[BackendId],
        tx: Sender<Verdict>,
    ) -> Result<WaitId, Refusal> {
        let reason = if self.stopping {
            Some(RefusalReason::Stopping)
        } else if self.waiting.len() >= self.config.max_queued {
            Some(RefusalReason::QueueFull)
        } else if request.deadline_ms <= now {
            Some(RefusalReason::Deadline)
        } else {
            None
        };
        if let Some(reason) = reason {
            return Err(Refusal {
                reason,
                retry_after_ms: 100,
            });
        }
        let class = request.class.unwrap_or(WorkClass::Short);
        let id = self.next_id;
        self.next_id += 1;
        self.queues.entry(class).or_default().push_back(id);
        let waiting = Waiting {
            request,
            class,
            avoid: avoid.to_vec(),
            since_ms: now,
            tx,
        };
        self.waiting.insert(id, waiting);
        self.dispatch(now);
        Ok(id)
    }

    pub fn cancel(&mut self, _now: u64, id: WaitId) {
        self.waiting.remove(&id);
    }

    pub fn finish(&mut self, now: u64, id: GrantId, _result: RequestResult) {
        let Some(done) = self.in_flight.remove(&id) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(&done.backend) {
            backend.in_use -= 1;
            backend.long_in_use -= u32::from(done.class == WorkClass::Long);
        }
        self.counts(&done.caller, done.class).in_flight -= 1;
        self.dispatch(now);
    }

    pub fn retry_allowed(
        &mut self,
        now: u64,
        request: &RequestInfo,
        attempts: u32,
        proven_not_run: bool,
    ) -> bool {
        attempts < 3
            && !self.stopping
            && (request.idempotent || proven_not_run)
            && now < request.deadline_ms
    }

    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        self.backends
            .iter()
            .map(|(id, backend)| (id.clone(), backend.in_use))
            .collect()
    }

    pub fn figures(&self, _now: u64) -> RouterFigures {
        let mut figures = self.figures.clone();
        figures.queued = self.waiting.len() as u64;
        figures.in_flight = self.in_flight.len() as u64;
        for waiting in self.waiting.values() {
            let team = figures
                .teams
                .entry(waiting.request.caller.clone())
                .or_default();
            team.classes.entry(waiting.class).or_default().queued += 1;
        }
        for (id, backend) in &self.backends {
            let of_backend = BackendFigures {
                share: backend.share,
                in_use: backend.in_use,
                long_in_use: backend.long_in_use,
                limit: backend.share.slots,
                ejected: false,
            };
            figures.backends.insert(id.clone(), of_backend);
        }
        figures
    }

    fn counts(&mut self, caller: &Team, class: WorkClass) -> &mut QueueFigures {
        let team = self.figures.teams.entry(caller.clone()).or_default();
        team.classes.entry(class).or_default()
    }

    fn refuse(&mut self, waiting: Waiting, reason: RefusalReason, retry_after_ms: u64) {
        self.counts(&waiting.request.caller, waiting.class).refused += 1;
        self.deliveries.push(Delivery {
            tx: waiting.tx,
            verdict: Err(Refusal {
                reason,
                retry_after_ms,
            }),
        });
    }

    fn dispatch(&mut self, now: u64) {
        if now >= self.shares.valid_until_ms {
            return;
        }
        for class in [WorkClass::Urgent, WorkClass::Short, WorkClass::Long] {
            let mut queue = self.queues.remove(&class).unwrap_or_default();
            queue.retain(|id| !self.grant(now, *id));
            self.queues.insert(class, queue);
        }
    }

    /// Gives a waiting request a slot if one is free; true when the request no longer waits.
    fn grant(&mut self, now: u64, id: WaitId) -> bool {
        let Some(waiting) = self.waiting.get(&id) else {
            return true;
        };
        let Some(backend_id) = self.choose(waiting) else {
            return false;
        };
        let Some(waiting) = self.waiting.remove(&id) else {
            return true;
        };
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return true;
        };
        backend.in_use += 1;
        backend.long_in_use += u32::from(waiting.class == WorkClass::Long);
        backend.last_used = id;
        let grant = Grant {
            id,
            backend: backend_id.clone(),
            address: backend.server.address,
            connections: backend.share.connections,
            class: waiting.class,
            waited_ms: now - waiting.since_ms,
        };
        let counts = self.counts(&waiting.request.caller, waiting.class);
        counts.admitted += 1;
        counts.in_flight += 1;
        counts.waited_ms += grant.waited_ms;
        let in_flight = InFlight {
            backend: backend_id,
            class: waiting.class,
            caller: waiting.request.caller,
        };
        self.in_flight.insert(id, in_flight);
        self.deliveries.push(Delivery {
            tx: waiting.tx,
            verdict: Ok(grant),
        });
        true
    }

    fn choose(&self, waiting: &Waiting) -> Option<BackendId> {
        let (request, class) = (&waiting.request, waiting.class);
        self.backends
            .iter()
            .filter(|(id, backend)| {
                let server = &backend.server;
                let matches = server.team == request.team && server.service == request.service;
                matches && !server.leaving && !waiting.avoid.contains(id) && backend.has_free(class)
            })
            .min_by_key(|(_, backend)| (backend.in_use, backend.last_used))
            .map(|(id, _)| id.clone())
    }
}

impl Backend {
    fn new(server: BackendServer) -> Self {
        Self {
            server,
            share: Share::default(),
            in_use: 0,
            long_in_use: 0,
            last_used: 0,
        }
    }

    fn has_free(&self, class: WorkClass) -> bool {
        let long_fits = class != WorkClass::Long || self.long_in_use < self.share.long_slots;
        self.in_use < self.share.slots && long_fits
    }
}
