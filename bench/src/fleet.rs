//! Fake backend servers and entry instances in this process, for the cases about requests.
//!
//! A fake backend server enforces its slots itself and counts every request and connection above its limits. Requests
//! are real async tasks; run times are real time.

use {
    async_lock::Semaphore,
    fastrand::Rng,
    ragwortreel_model::{
        Clock, InstanceId, ServiceName, ServiceSettings, Settings, SystemClock, WorkClass,
        Workspace, WorkspaceSettings, Zone,
    },
    ragwortreel_routing::{
        BackendId, BackendServer, Permit, RequestInfo, RequestResult, Router, RouterConfig,
        SlotLimits, SlotShares,
        naive::{NaivePermit, NaiveRouter},
        slot_shares,
    },
    ragwortreel_runtime::{Elapsed, future, sleep, sleep_ms, spawn, timeout_ms},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
        },
        time::{Duration, Instant},
    },
};

/// Limits of each backend server.
pub const LIMITS: SlotLimits = SlotLimits {
    slots: 8,
    long_slots: 6,
    connections: 64,
};
/// Backend servers of a zone: 48 over 3 zones.
pub const BACKENDS_PER_ZONE: usize = 16;
/// Entry instances of a zone: 9 over 3 zones.
pub const INSTANCES_PER_ZONE: usize = 3;
/// Slots of a zone.
pub const ZONE_SLOTS: f64 = 128.0;
/// Time that a failing backend server takes to fail, in ms.
const FAILURE_MS: u64 = 5;

/// A backend server that sleeps for the run time of each request.
pub struct FakeBackend {
    pub id: BackendId,
    slots: Semaphore,
    in_flight: AtomicU32,
    pub long_in_flight: AtomicU32,
    connections: AtomicU32,
    pub slots_over: AtomicU64,
    pub connections_over: AtomicU64,
    pub served: AtomicU64,
    pub failing: AtomicBool,
}

/// Counts something up for as long as it lives.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU32) -> (Self, u32) {
        let now = count.fetch_add(1, SeqCst) + 1;
        (Self(count), now)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

impl FakeBackend {
    pub fn new(number: usize) -> Self {
        Self {
            id: format!("backend-{number}").into(),
            slots: Semaphore::new(LIMITS.slots as usize),
            in_flight: AtomicU32::new(0),
            long_in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            slots_over: AtomicU64::new(0),
            connections_over: AtomicU64::new(0),
            served: AtomicU64::new(0),
            failing: AtomicBool::new(false),
        }
    }

    /// Runs a request; false when it fails.
    async fn run(&self, run: Duration, class: WorkClass) -> bool {
        let (_in_flight, now) = Counted::new(&self.in_flight);
        self.slots_over
            .fetch_add(u64::from(now > LIMITS.slots), SeqCst);
        let _slot = self.slots.acquire().await;
        if self.failing.load(SeqCst) {
            sleep_ms(FAILURE_MS).await;
            return false;
        }
        let _long = (class == WorkClass::Long).then(|| Counted::new(&self.long_in_flight));
        sleep(run).await;
        self.served.fetch_add(1, SeqCst);
        true
    }

    /// An entry instance opens or closes connections.
    pub fn change_connections(&self, opened: u32, closed: u32) {
        self.connections.fetch_sub(closed, SeqCst);
        let now = self.connections.fetch_add(opened, SeqCst) + opened;
        self.connections_over
            .fetch_add(u64::from(now > LIMITS.connections), SeqCst);
    }
}

/// The router under measurement.
#[derive(Clone)]
pub enum Front {
    /// This package's router.
    Full(Router),
    /// The naive one.
    Naive(NaiveRouter),
}

enum Held {
    Full(Permit),
    Naive(NaivePermit),
}

/// What became of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Call {
    /// Whether it was answered before its deadline.
    pub answered: bool,
    /// Attempts that were sent to a backend server.
    pub attempts: u32,
    /// Advice to send it again, in ms, when it was refused.
    pub retry_after_ms: Option<u64>,
    /// Time from sending to the end, in us.
    pub took_us: u64,
}

/// Backend servers, entry instances and clients of one zone.
pub struct Fleet {
    pub clock: Arc<SystemClock>,
    pub backends: Vec<Arc<FakeBackend>>,
    pub fronts: Vec<Front>,
    by_id: BTreeMap<BackendId, Arc<FakeBackend>>,
}

pub fn workspace() -> Workspace {
    Workspace::new("alpha").expect("a name")
}

pub fn service() -> ServiceName {
    ServiceName::new("quotes").expect("a name")
}

pub fn zone(number: usize) -> Zone {
    Zone::new(&format!("zone-{number}")).expect("a name")
}

pub fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{number}")).expect("a name")
}

/// One workspace with one service, as all cases use it.
fn settings() -> Settings {
    let mut branch = WorkspaceSettings {
        max_queued_requests: 4_096,
        ..WorkspaceSettings::default()
    };
    branch
        .services
        .insert(service(), ServiceSettings::default());
    let mut settings = Settings::default();
    settings.workspaces.insert(workspace(), branch);
    settings
}

/// A router for an instance of a zone, which ticks by itself.
pub fn router(
    clock: &Arc<SystemClock>,
    number: usize,
    in_zone: usize,
    backends: &[Arc<FakeBackend>],
) -> Router {
    let config = RouterConfig::new(instance(number), zone(in_zone), number as u64);
    let router = Router::new(config, Arc::clone(clock) as Arc<dyn Clock>);
    router.update_settings(&settings());
    let server = |backend: &Arc<FakeBackend>| BackendServer {
        id: backend.id.clone(),
        zone: zone(in_zone),
        address: ([127, 0, 0, 1], 9).into(),
        workspace: workspace(),
        service: service(),
        draining: false,
    };
    router.update_backends(backends.iter().map(server).collect());
    let ticking = router.clone();
    spawn(async move {
        loop {
            let wait_ms = ticking.tick();
            sleep_ms(wait_ms).await;
        }
    })
    .detach();
    router
}

/// A router that knows many services of one backend server each, and holds slots of all.
pub fn router_of_services(count: u16) -> Router {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let router = Router::new(RouterConfig::new(instance(0), zone(0), 0), clock);
    let server = |number: u16| BackendServer {
        id: format!("backend-{number}").into(),
        zone: zone(0),
        address: ([127, 0, 0, 1], 9).into(),
        workspace: workspace(),
        service: ServiceName::new(&format!("service-{number}")).expect("a name"),
        draining: false,
    };
    let servers: Vec<BackendServer> = (0..count).map(server).collect();
    let share = |server: &BackendServer| {
        let shares = slot_shares(&[instance(0)], &server.id, LIMITS);
        (server.id.clone(), shares[&instance(0)])
    };
    let by_backend = servers.iter().map(share).collect();
    router.update_backends(servers);
    router.update_shares(SlotShares {
        by_backend,
        valid_until_ms: u64::MAX,
        excess_until_ms: None,
    });
    router
}

impl Fleet {
    /// A zone whose instances hold their shares for the whole run.
    pub fn new(is_naive: bool) -> Arc<Self> {
        let clock = Arc::new(SystemClock::new());
        let backends: Vec<_> = (0..BACKENDS_PER_ZONE)
            .map(|number| Arc::new(FakeBackend::new(number)))
            .collect();
        let members: Vec<InstanceId> = (0..INSTANCES_PER_ZONE).map(instance).collect();
        let front = |number: usize| {
            let share = |backend: &Arc<FakeBackend>| {
                let shares = slot_shares(&members, &backend.id, LIMITS);
                (backend.id.clone(), shares[&members[number]])
            };
            let by_backend = backends.iter().map(share).collect();
            if is_naive {
                return Front::Naive(NaiveRouter::new(&by_backend, number as u64));
            }
            let router = router(&clock, number, 0, &backends);
            router.update_shares(SlotShares {
                by_backend,
                valid_until_ms: u64::MAX,
                excess_until_ms: None,
            });
            Front::Full(router)
        };
        let fronts = (0..INSTANCES_PER_ZONE).map(front).collect();
        Arc::new(Self::of(clock, backends, fronts))
    }

    pub fn of(
        clock: Arc<SystemClock>,
        backends: Vec<Arc<FakeBackend>>,
        fronts: Vec<Front>,
    ) -> Self {
        let by_id = backends.iter().map(|b| (b.id.clone(), Arc::clone(b)));
        Self {
            clock,
            by_id: by_id.collect(),
            backends,
            fronts,
        }
    }

    /// Sends a request to an entry instance and waits until its deadline at the latest.
    pub async fn call(&self, at: usize, class: WorkClass, run: Duration, limit_ms: u64) -> Call {
        self.call_route("short", at, class, run, limit_ms).await
    }

    /// Sends a request of a route.
    pub async fn call_route(
        &self,
        route: &str,
        at: usize,
        class: WorkClass,
        run: Duration,
        limit_ms: u64,
    ) -> Call {
        let request = self.request(route, class, limit_ms);
        let start = Instant::now();
        let mut call = Call::default();
        let attempts = self.attempts(at, request, run, &mut call);
        let answered = timeout_ms(limit_ms, attempts).await;
        call.answered = answered == Ok(true);
        call.took_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        call
    }

    /// Takes a slot and gives it back.
    pub async fn admit_and_finish(&self, at: usize) {
        let request = self.request("short", WorkClass::Short, 1_000);
        let held = self.admit(at, &request, &[], &mut Call::default()).await;
        if let Some(Held::Full(permit)) = held {
            permit.finish(RequestResult::Answered);
        }
    }

    fn request(&self, route: &str, class: WorkClass, limit_ms: u64) -> RequestInfo {
        RequestInfo {
            workspace: workspace(),
            service: service(),
            caller: workspace(),
            route: route.into(),
            class: Some(class),
            cost_hint_ms: None,
            deadline_ms: self.clock.now_ms() + limit_ms,
            idempotent: true,
        }
    }

    /// Sends attempts until one is answered or no further one is allowed.
    async fn attempts(
        &self,
        at: usize,
        request: RequestInfo,
        run: Duration,
        call: &mut Call,
    ) -> bool {
        let class = request.class.unwrap_or(WorkClass::Short);
        let mut failed = Vec::new();
        loop {
            let Some(held) = self.admit(at, &request, &failed, call).await else {
                return false;
            };
            call.attempts += 1;
            let backend = held.backend().clone();
            if self.send(held, run, class, &request).await {
                return true;
            }
            failed.push(backend);
            let may_retry = match &self.fronts[at] {
                Front::Full(router) => router.retry_allowed(&request, call.attempts, false),
                Front::Naive(router) => router.retry_allowed(&request, call.attempts),
            };
            if !may_retry {
                return false;
            }
        }
    }

    async fn admit(
        &self,
        at: usize,
        request: &RequestInfo,
        failed: &[BackendId],
        call: &mut Call,
    ) -> Option<Held> {
        match &self.fronts[at] {
            Front::Naive(router) => router.admit().await.map(Held::Naive),
            Front::Full(router) => {
                let verdict = if failed.is_empty() {
                    router.admit(request.clone()).await
                } else {
                    router.admit_retry(request.clone(), failed).await
                };
                match verdict {
                    Ok(permit) => Some(Held::Full(permit)),
                    Err(refusal) => {
                        call.retry_after_ms = Some(refusal.retry_after_ms);
                        None
                    }
                }
            }
        }
    }

    /// Runs a request on its slot; cut off when the instance loses the slot.
    async fn send(
        &self,
        held: Held,
        run: Duration,
        class: WorkClass,
        request: &RequestInfo,
    ) -> bool {
        let backend = &self.by_id[held.backend()];
        let Held::Full(permit) = held else {
            return backend.run(run, class).await;
        };
        let rest_ms = request.deadline_ms.saturating_sub(self.clock.now_ms());
        let running = async { Some(backend.run(run, class).await) };
        let revoked = async {
            permit.revoked().await;
            None
        };
        let ended = timeout_ms(rest_ms, future::or(running, revoked)).await;
        let result = match ended {
            Ok(Some(true)) => RequestResult::Answered,
            Ok(Some(false)) => RequestResult::ServerError,
            Ok(None) => RequestResult::Abandoned,
            Err(Elapsed) => RequestResult::TimedOut,
        };
        permit.finish(result);
        result == RequestResult::Answered
    }
}

impl Held {
    fn backend(&self) -> &BackendId {
        match self {
            Self::Full(permit) => permit.backend(),
            Self::Naive(permit) => permit.backend(),
        }
    }
}

/// A run time between half and one and a half times the mean.
pub fn run_time(rng: &mut Rng, mean_ms: u64) -> Duration {
    Duration::from_micros(rng.u64(mean_ms * 500..mean_ms * 1_500))
}

/// Starts requests at independent random times, at a rate that may change, until a time has passed.
pub async fn arrivals(
    length: Duration,
    rng: &mut Rng,
    rate_per_s: impl Fn(f64) -> f64,
    mut start: impl FnMut(&mut Rng, f64),
) {
    let began = Instant::now();
    let mut next_s = 0.0;
    while next_s < length.as_secs_f64() {
        let due = began + Duration::from_secs_f64(next_s);
        let early = due.saturating_duration_since(Instant::now());
        if !early.is_zero() {
            sleep(early).await;
        }
        start(rng, next_s);
        next_s += -(1.0 - rng.f64()).ln() / rate_per_s(next_s);
    }
}

/// A count as a floating-point number.
#[allow(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}
