//! Simulated backend servers and entry instances of one zone, for the cases about request routing.
//!
//! All of them run in this process: requests are async tasks, and run times pass in real time. A fake backend server
//! enforces its slot limit itself and counts every request and connection above its limits.

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
/// Backend servers per zone: 48 in 3 zones.
pub const BACKENDS_PER_ZONE: usize = 16;
/// Entry instances per zone: 9 in 3 zones.
pub const INSTANCES_PER_ZONE: usize = 3;
/// Slots of all backend servers of a zone.
pub const ZONE_SLOTS: f64 = 128.0;
/// Time until a failing backend server returns its failure, in ms.
const FAILURE_MS: u64 = 5;

/// Backend server that sleeps for the run time of each request.
pub struct FakeBackend {
    pub id: BackendId,
    slots: Semaphore,
    /// Requests that wait for a slot or run.
    in_flight: AtomicU32,
    /// Long requests that run.
    pub long_in_flight: AtomicU32,
    connections: AtomicU32,
    /// Number of times a request arrived while all slots were in use.
    pub slot_violations: AtomicU64,
    /// Number of times the open connections exceeded the limit after a change.
    pub connection_violations: AtomicU64,
    /// Requests that succeeded.
    pub served: AtomicU64,
    /// Whether all requests fail.
    pub failing: AtomicBool,
}

/// Guard that keeps a counter incremented until it is dropped.
struct CounterGuard<'a>(&'a AtomicU32);

impl<'a> CounterGuard<'a> {
    fn new(count: &'a AtomicU32) -> (Self, u32) {
        let now = count.fetch_add(1, SeqCst) + 1;
        (Self(count), now)
    }
}

impl Drop for CounterGuard<'_> {
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
            slot_violations: AtomicU64::new(0),
            connection_violations: AtomicU64::new(0),
            served: AtomicU64::new(0),
            failing: AtomicBool::new(false),
        }
    }

    /// Runs a request; returns `false` when it fails.
    async fn run(&self, run: Duration, class: WorkClass) -> bool {
        let (_in_flight, now) = CounterGuard::new(&self.in_flight);
        self.slot_violations
            .fetch_add(u64::from(now > LIMITS.slots), SeqCst);
        let _slot = self.slots.acquire().await;
        if self.failing.load(SeqCst) {
            sleep_ms(FAILURE_MS).await;
            return false;
        }
        let _long = (class == WorkClass::Long).then(|| CounterGuard::new(&self.long_in_flight));
        sleep(run).await;
        self.served.fetch_add(1, SeqCst);
        true
    }

    /// Counts connections that an entry instance opens and closes.
    pub fn change_connections(&self, opened: u32, closed: u32) {
        self.connections.fetch_sub(closed, SeqCst);
        let now = self.connections.fetch_add(opened, SeqCst) + opened;
        self.connection_violations
            .fetch_add(u64::from(now > LIMITS.connections), SeqCst);
    }
}

/// Router of an entry instance.
#[derive(Clone)]
pub enum AnyRouter {
    /// Router under measurement.
    Full(Router),
    /// Baseline.
    Naive(NaiveRouter),
}

/// Permit of either router to send one attempt to a backend server.
enum AnyPermit {
    Full(Permit),
    Naive(NaivePermit),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallResult {
    /// Whether a response arrived before the deadline.
    pub answered: bool,
    /// Number of attempts that were sent to a backend server.
    pub attempts: u32,
    /// Time after which a refused caller should retry, in ms.
    pub retry_after_ms: Option<u64>,
    /// Time from sending the request to its end, in us.
    pub took_us: u64,
}

/// Backend servers and entry instances of one zone.
pub struct Fleet {
    pub clock: Arc<SystemClock>,
    pub backends: Vec<Arc<FakeBackend>>,
    /// Router of each entry instance.
    pub routers: Vec<AnyRouter>,
    by_id: BTreeMap<BackendId, Arc<FakeBackend>>,
}

pub fn workspace() -> Workspace {
    Workspace::new("alpha").expect("a valid name")
}

pub fn service() -> ServiceName {
    ServiceName::new("quotes").expect("a valid name")
}

pub fn zone(number: usize) -> Zone {
    Zone::new(&format!("zone-{number}")).expect("a valid name")
}

pub fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{number}")).expect("a valid name")
}

/// Settings of one workspace with one service, as all routing cases use them.
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

/// Creates a router for an instance of a zone and a background task that calls its `tick`.
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
    let ticked_router = router.clone();
    spawn(async move {
        loop {
            let wait_ms = ticked_router.tick();
            sleep_ms(wait_ms).await;
        }
    })
    .detach();
    router
}

/// Creates a router for `count` services with one backend server each, which holds all slots of all of them.
pub fn router_with_services(count: u16) -> Router {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let router = Router::new(RouterConfig::new(instance(0), zone(0), 0), clock);
    let server = |number: u16| BackendServer {
        id: format!("backend-{number}").into(),
        zone: zone(0),
        address: ([127, 0, 0, 1], 9).into(),
        workspace: workspace(),
        service: ServiceName::new(&format!("service-{number}")).expect("a valid name"),
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
    /// Creates a zone whose instances keep their shares of the slots for the whole run.
    pub fn new(is_naive: bool) -> Arc<Self> {
        let clock = Arc::new(SystemClock::new());
        let backends: Vec<_> = (0..BACKENDS_PER_ZONE)
            .map(|number| Arc::new(FakeBackend::new(number)))
            .collect();
        let members: Vec<InstanceId> = (0..INSTANCES_PER_ZONE).map(instance).collect();
        let new_router = |number: usize| {
            let share = |backend: &Arc<FakeBackend>| {
                let shares = slot_shares(&members, &backend.id, LIMITS);
                (backend.id.clone(), shares[&members[number]])
            };
            let by_backend = backends.iter().map(share).collect();
            if is_naive {
                return AnyRouter::Naive(NaiveRouter::new(&by_backend, number as u64));
            }
            let router = router(&clock, number, 0, &backends);
            router.update_shares(SlotShares {
                by_backend,
                valid_until_ms: u64::MAX,
                excess_until_ms: None,
            });
            AnyRouter::Full(router)
        };
        let routers = (0..INSTANCES_PER_ZONE).map(new_router).collect();
        Arc::new(Self::from_parts(clock, backends, routers))
    }

    /// Creates a zone with existing backend servers and routers.
    pub fn from_parts(
        clock: Arc<SystemClock>,
        backends: Vec<Arc<FakeBackend>>,
        routers: Vec<AnyRouter>,
    ) -> Self {
        let by_id = backends.iter().map(|b| (b.id.clone(), Arc::clone(b)));
        Self {
            clock,
            by_id: by_id.collect(),
            backends,
            routers,
        }
    }

    /// Sends a request to the entry instance `at` and waits for its response, for `limit_ms` at most.
    pub async fn call(
        &self,
        at: usize,
        class: WorkClass,
        run: Duration,
        limit_ms: u64,
    ) -> CallResult {
        self.call_route("short", at, class, run, limit_ms).await
    }

    /// Sends a request of a route; see [`Self::call`].
    pub async fn call_route(
        &self,
        route: &str,
        at: usize,
        class: WorkClass,
        run: Duration,
        limit_ms: u64,
    ) -> CallResult {
        let request = self.request(route, class, limit_ms);
        let start = Instant::now();
        let mut call = CallResult::default();
        let attempts = self.send_attempts(at, request, run, &mut call);
        let answered = timeout_ms(limit_ms, attempts).await;
        call.answered = answered == Ok(true);
        call.took_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        call
    }

    /// Admits a request at an entry instance and finishes it at once, without a backend server.
    pub async fn admit_and_finish(&self, at: usize) {
        let request = self.request("short", WorkClass::Short, 1_000);
        let permit = self
            .admit(at, &request, &[], &mut CallResult::default())
            .await;
        if let Some(AnyPermit::Full(permit)) = permit {
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

    /// Sends attempts until one succeeds or the router allows no further one; returns whether one succeeded.
    async fn send_attempts(
        &self,
        at: usize,
        request: RequestInfo,
        run: Duration,
        call: &mut CallResult,
    ) -> bool {
        let class = request.class.unwrap_or(WorkClass::Short);
        let mut failed = Vec::new();
        loop {
            let Some(permit) = self.admit(at, &request, &failed, call).await else {
                return false;
            };
            call.attempts += 1;
            let backend = permit.backend().clone();
            if self.send(permit, run, class, &request).await {
                return true;
            }
            failed.push(backend);
            let may_retry = match &self.routers[at] {
                AnyRouter::Full(router) => router.retry_allowed(&request, call.attempts, false),
                AnyRouter::Naive(router) => router.retry_allowed(&request, call.attempts),
            };
            if !may_retry {
                return false;
            }
        }
    }

    /// Gets a permit for an attempt that avoids the `failed` backend servers; `None` when it is refused.
    async fn admit(
        &self,
        at: usize,
        request: &RequestInfo,
        failed: &[BackendId],
        call: &mut CallResult,
    ) -> Option<AnyPermit> {
        match &self.routers[at] {
            AnyRouter::Naive(router) => router.admit().await.map(AnyPermit::Naive),
            AnyRouter::Full(router) => {
                let verdict = if failed.is_empty() {
                    router.admit(request.clone()).await
                } else {
                    router.admit_retry(request.clone(), failed).await
                };
                match verdict {
                    Ok(permit) => Some(AnyPermit::Full(permit)),
                    Err(refusal) => {
                        call.retry_after_ms = Some(refusal.retry_after_ms);
                        None
                    }
                }
            }
        }
    }

    /// Runs an attempt on its slot until it ends, its deadline passes or the slot is revoked.
    async fn send(
        &self,
        permit: AnyPermit,
        run: Duration,
        class: WorkClass,
        request: &RequestInfo,
    ) -> bool {
        let backend = &self.by_id[permit.backend()];
        let AnyPermit::Full(permit) = permit else {
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

impl AnyPermit {
    fn backend(&self) -> &BackendId {
        match self {
            Self::Full(permit) => permit.backend(),
            Self::Naive(permit) => permit.backend(),
        }
    }
}

/// Returns a random run time between 0.5 and 1.5 times the mean.
pub fn random_run_time(rng: &mut Rng, mean_ms: u64) -> Duration {
    Duration::from_micros(rng.u64(mean_ms * 500..mean_ms * 1_500))
}

/// Calls `start` at the arrival times of a Poisson process for `duration`.
///
/// `rate_per_s` returns the arrival rate at a time in seconds since the start; `start` gets the arrival time in
/// seconds.
pub async fn poisson_arrivals(
    duration: Duration,
    rng: &mut Rng,
    rate_per_s: impl Fn(f64) -> f64,
    mut start: impl FnMut(&mut Rng, f64),
) {
    let began = Instant::now();
    let mut next_s = 0.0;
    while next_s < duration.as_secs_f64() {
        let due = began + Duration::from_secs_f64(next_s);
        let early = due.saturating_duration_since(Instant::now());
        if !early.is_zero() {
            sleep(early).await;
        }
        start(rng, next_s);
        next_s += -(1.0 - rng.f64()).ln() / rate_per_s(next_s);
    }
}

/// Converts a count to `f64`.
#[allow(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}
