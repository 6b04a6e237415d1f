//! Assembly of an entry instance.
//!
//! [`start`] connects the parts: control (membership, pools, settings), routing (admission and slots), the HTTP
//! interface and the entry link. [`Daemon::finish`] waits for the stop and carries it out gracefully.

use {
    crate::{
        admin::DaemonAdmin,
        burn::{BurnCounter, BurnCounts},
        config::Config,
        data_plane::LocalDataPlane,
        error::Error,
        events,
        forward::PeerForwarder,
        jobs_api::DaemonJobs,
        pooled_transport::PooledTransport,
        router_updates::run_router_updates,
        service_call::{ServiceRouter, ServiceRouterDeps},
        settings_api::DaemonSettings,
        telemetry::Telemetry,
    },
    ragwortreel_caller::{ApiHandler, Authenticator},
    ragwortreel_control::{
        Connections, Control, ControlConfig, Limits, SettingsChange, Timings, ZoneConfig,
        pools_for_zones,
    },
    ragwortreel_entry::{EntryServer, PeerTimeouts, TonicConnector},
    ragwortreel_http::{Server, ServerLimits},
    ragwortreel_model::{Clock, Incarnation, Settings, SystemClock},
    ragwortreel_placement::Scheduler,
    ragwortreel_platform::{
        HttpPlatform, ResilientConfig, ResilientTable, TableService,
        idempotency::{IdempotencyClaims, run_sweeps},
    },
    ragwortreel_routing::{Router, RouterConfig},
    ragwortreel_runtime::{Logger, Stop, Task, future, log_event, sleep_ms, spawn, timeout_ms},
    ragwortreel_worker::{HttpWorkerConnector, WorkerTimeouts},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::AtomicBool},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time limit of one call to a service of the platform.
const PLATFORM_CALL: Duration = Duration::from_secs(1);
/// Calls a second that the control parts of all instances may send: writes and reads. With the claims' they stay below
/// the 500 writes and 2,000 reads a second that the platform takes.
const CONTROL_RATES: (f64, f64) = (250.0, 900.0);
/// Calls a second that claims of all instances may send: writes and reads.
const CLAIM_RATES: (f64, f64) = (200.0, 900.0);
/// Time between two samples of gauges, in ms.
const SAMPLE_MS: u64 = 5_000;
/// Time between two tries to write the initial settings, in ms.
const INITIAL_RETRY_MS: u64 = 1_000;
/// Time between the end of readiness and the end of listening, so that the platform's balancer notices, in ms.
const UNREADY_MS: u64 = 500;

/// A running entry instance.
pub struct Daemon {
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for other entry instances.
    pub entry_address: SocketAddr,
    stop_ms: u64,
    core: Core,
    servers: Vec<Task<()>>,
}

/// Runs an entry instance until the stop is requested.
///
/// # Errors
///
/// Returns an error when a part cannot start.
pub async fn run(config: Config, log: Logger, stop: Stop) -> Result<(), Error> {
    start(&config, log, stop)?.finish().await;
    Ok(())
}

/// Starts an entry instance.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the metrics cannot be set up.
pub fn start(config: &Config, log: Logger, stop: Stop) -> Result<Daemon, Error> {
    let telemetry = Telemetry::new().map_err(|err| Error::start("setting up metrics", &err))?;
    let bind_failed = |err| Error::start("binding entry_address", &err);
    let entry_server = EntryServer::bind(config.entry_address).map_err(bind_failed)?;
    let entry_address = entry_server.local_addr().map_err(bind_failed)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let linked = Stop::new();
    let platform = Platform::connect(config, &log);
    let core = Core {
        telemetry: Arc::new(telemetry),
        burn: Arc::new(BurnCounter::default()),
        router: Router::new(
            RouterConfig::new(
                config.instance.clone(),
                config.zone.clone(),
                fastrand::u64(..),
            ),
            Arc::clone(&clock),
        ),
        control: start_control(config, entry_address, &platform, &clock, &log, &linked),
        clock,
        log,
        stop,
        serving: Stop::new(),
        linked,
        can_route: Arc::default(),
    };
    let services = core.services(config, &platform);
    let auth = Arc::new(Authenticator::new());
    let caller_server = core.caller_server(config, &auth, &services)?;
    let caller_address = caller_server.local_addr();
    core.spawn_followers(config, platform, auth, services);
    let link = entry_server.serve(
        core.control.entry_service(),
        core.log.clone(),
        core.linked.clone(),
    );
    let servers = vec![spawn(caller_server.run(core.serving.clone())), spawn(link)];
    log_event!(core.log, events::STARTED;
        "instance" => config.instance.as_str(), "zone" => config.zone.as_str(),
        "caller_address" => caller_address.to_string(), "entry_address" => entry_address.to_string());
    Ok(Daemon {
        caller_address,
        entry_address,
        stop_ms: config.stop_ms,
        core,
        servers,
    })
}

/// Components that most parts of the daemon use.
struct Core {
    telemetry: Arc<Telemetry>,
    burn: Arc<BurnCounter>,
    router: Router,
    control: Control,
    clock: Arc<dyn Clock>,
    log: Logger,
    /// Requested by a signal or an operator.
    stop: Stop,
    /// Ends listening for callers.
    serving: Stop,
    /// Ends the entry link and control.
    linked: Stop,
    /// Set once requests can be routed.
    can_route: Arc<AtomicBool>,
}

impl Core {
    /// Makes the routing of requests and lets other instances use it.
    fn services(&self, config: &Config, platform: &Platform) -> ServiceRouter {
        let forwarder = Arc::new(PeerForwarder::default());
        forwarder.connect(self.control.clone());
        let transport = Arc::new(PooledTransport::new(self.log.clone()));
        let parts = ServiceRouterDeps {
            router: self.router.clone(),
            transport: Arc::clone(&transport) as Arc<_>,
            once: IdempotencyClaims::new(
                Arc::clone(&platform.claims),
                config.instance.as_str(),
                self.log.clone(),
            ),
            forwarder,
            clock: Arc::clone(&self.clock),
            telemetry: Arc::clone(&self.telemetry),
            burn: Arc::clone(&self.burn),
            stop: self.serving.clone(),
        };
        let services = ServiceRouter::new(parts, self.control.settings());
        let local = LocalDataPlane::new(
            services.clone(),
            self.router.clone(),
            transport,
            self.control.clone(),
            Arc::clone(&self.burn),
            self.stop.clone(),
            Arc::clone(&self.clock),
        );
        self.control.set_data_plane(Arc::new(local));
        services
    }

    /// Binds the HTTP interface for callers and operators.
    fn caller_server(
        &self,
        config: &Config,
        auth: &Arc<Authenticator>,
        services: &ServiceRouter,
    ) -> Result<Server, Error> {
        let admin = DaemonAdmin::new(
            config.instance.clone(),
            self.control.clone(),
            Arc::clone(&self.telemetry),
            Arc::clone(&self.burn),
            Arc::clone(&self.can_route),
            self.stop.clone(),
        );
        let handler = ApiHandler::new(
            Arc::clone(auth),
            Arc::new(services.clone()),
            Arc::new(DaemonJobs::new(self.control.clone())),
            Arc::new(DaemonSettings::new(self.control.clone())),
            Arc::new(admin),
        );
        let limits = ServerLimits::default();
        Server::bind(
            config.caller_address,
            Arc::new(handler),
            limits,
            self.log.clone(),
        )
        .map_err(|err| Error::start("binding caller_address", &err))
    }

    /// Starts the tasks that keep the parts up to date.
    fn spawn_followers(
        &self,
        config: &Config,
        platform: Platform,
        auth: Arc<Authenticator>,
        services: ServiceRouter,
    ) {
        let (control, router, linked) = (&self.control, &self.router, &self.linked);
        spawn(follow_settings(
            control.clone(),
            auth,
            services,
            self.log.clone(),
        ))
        .detach();
        spawn(run_router_updates(
            Arc::clone(&self.can_route),
            control.clone(),
            router.clone(),
            linked.clone(),
        ))
        .detach();
        spawn(tick(router.clone(), linked.clone())).detach();
        let telemetry = Arc::clone(&self.telemetry);
        spawn(sample(
            control.clone(),
            router.clone(),
            telemetry,
            platform.figures,
            linked.clone(),
        ))
        .detach();
        let placements = record_placements(control.clone(), Arc::clone(&self.telemetry));
        spawn(placements).detach();
        spawn(run_sweeps(
            platform.claims,
            self.log.clone(),
            linked.clone(),
        ))
        .detach();
        if let Some(tree) = config.initial_settings.clone() {
            spawn(write_initial(
                control.clone(),
                tree,
                self.log.clone(),
                linked.clone(),
            ))
            .detach();
        }
    }
}

impl Daemon {
    /// Counts for the burn report.
    #[must_use]
    pub fn burn(&self) -> BurnCounts {
        self.core.burn.counts()
    }

    /// The control part.
    #[must_use]
    pub fn control(&self) -> &Control {
        &self.core.control
    }

    /// Waits for the stop and carries it out: readiness ends, pools and slots are handed over, requests in flight end.
    pub async fn finish(self) {
        let Core {
            control,
            router,
            log,
            stop,
            serving,
            linked,
            ..
        } = self.core;
        stop.requested().await;
        log_event!(log, events::STOPPING);
        // Pools are handed over while requests still run; slots are released one by one as their requests end.
        let leave = spawn(async move { control.leave().await });
        sleep_ms(UNREADY_MS).await;
        serving.request();
        if timeout_ms(self.stop_ms, serving.drained()).await.is_err() {
            log_event!(log, events::STOP_TIMEOUT; "in_flight" => serving.guards());
        }
        leave.await;
        router.stop();
        linked.request();
        for server in self.servers {
            let _ = timeout_ms(self.stop_ms, server).await;
        }
        log_event!(log, events::STOPPED);
    }
}

/// Clients of the platform's services.
struct Platform {
    control: Arc<dyn TableService>,
    claims: Arc<dyn TableService>,
    objects: Arc<HttpPlatform>,
    instances: Arc<HttpPlatform>,
    figures: [Arc<ResilientTable>; 2],
}

impl Platform {
    fn connect(config: &Config, log: &Logger) -> Self {
        let client = |address| {
            Arc::new(HttpPlatform::new(
                address,
                config.zone.clone(),
                PLATFORM_CALL,
            ))
        };
        // Control and claims have queues of their own, so that a burst of claims never delays a lease renewal.
        let resilient = |(writes_per_s, reads_per_s)| {
            let cfg = ResilientConfig {
                writes_per_s,
                reads_per_s,
                ..ResilientConfig::default()
            };
            Arc::new(ResilientTable::new(
                client(config.platform.table),
                cfg,
                log.clone(),
            ))
        };
        let (control, claims) = (resilient(CONTROL_RATES), resilient(CLAIM_RATES));
        Self {
            figures: [Arc::clone(&control), Arc::clone(&claims)],
            control,
            claims,
            objects: client(config.platform.objects),
            instances: client(config.platform.instances),
        }
    }
}

fn start_control(
    config: &Config,
    address: SocketAddr,
    platform: &Platform,
    clock: &Arc<dyn Clock>,
    log: &Logger,
    linked: &Stop,
) -> Control {
    let zone = |(zone, region): (&_, &Arc<str>)| ZoneConfig {
        zone: Clone::clone(zone),
        region: Arc::clone(region),
    };
    let zones: Vec<ZoneConfig> = config.zones.iter().map(zone).collect();
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let cfg = ControlConfig {
        instance: config.instance.clone(),
        zone: config.zone.clone(),
        region: config
            .zones
            .get(&config.zone)
            .cloned()
            .unwrap_or_else(|| Arc::from("")),
        address,
        incarnation: Incarnation(u64::try_from(started.as_nanos()).unwrap_or(u64::MAX)),
        pools: pools_for_zones(&zones, config.pools_per_zone),
        zones,
        timings: Timings::default(),
        limits: Limits::default(),
    };
    let connections = Connections {
        table: Arc::clone(&platform.control),
        objects: Arc::clone(&platform.objects) as Arc<_>,
        list: Arc::clone(&platform.instances) as Arc<_>,
        workers: Arc::new(HttpWorkerConnector::new(
            config.zone.clone(),
            WorkerTimeouts::default(),
            log.clone(),
        )),
        peers: Arc::new(TonicConnector {
            timeouts: PeerTimeouts::default(),
        }),
        schedulers: Arc::new(|pool| {
            Box::new(Scheduler::new(
                pool.clone(),
                ragwortreel_placement::Config::default(),
            ))
        }),
    };
    Control::start(
        cfg,
        connections,
        Arc::clone(clock),
        log.clone(),
        linked.clone(),
    )
}

async fn follow_settings(
    control: Control,
    auth: Arc<Authenticator>,
    services: ServiceRouter,
    log: Logger,
) {
    let changes = control.subscribe_settings();
    while let Ok(settings) = changes.recv().await {
        auth.update(&settings.settings);
        let version = settings.version;
        services.update_settings(settings);
        log_event!(log, events::SETTINGS_APPLIED; "version" => version);
    }
}

async fn tick(router: Router, stop: Stop) {
    while !stop.is_requested() {
        let wait_ms = router.tick().max(1);
        sleep_ms(wait_ms).await;
        future::or(router.wait_until_busy(), stop.requested()).await;
    }
}

async fn sample(
    control: Control,
    router: Router,
    telemetry: Arc<Telemetry>,
    tables: [Arc<ResilientTable>; 2],
    stop: Stop,
) {
    while !stop.is_requested() {
        let figures = control.metrics();
        telemetry.record_settings_version(figures.settings_version);
        for pool in &figures.pools {
            let share = pool.stats.reserved.dominant_share_ppm(&pool.stats.capacity);
            telemetry.record_pool(&pool.pool, share, pool.stats.queued);
        }
        // Known instances, not live ones: while the store is down all others look dead, and after its return each
        // instance would use the whole rate.
        let instances = u32::try_from(control.members().len()).unwrap_or(u32::MAX);
        if instances > 0 {
            for table in &tables {
                table.set_instances(instances);
            }
        }
        telemetry.record_routing(&router.metrics());
        let sums = tables.iter().map(|table| table.stats());
        let (reads, writes) = sums.fold((0, 0), |(r, w), figures| {
            (r + figures.reads, w + figures.writes)
        });
        telemetry.record_store_calls(reads, writes);
        sleep_ms(SAMPLE_MS).await;
    }
}

async fn record_placements(control: Control, telemetry: Arc<Telemetry>) {
    let placements = control.placement_samples();
    while let Ok(placement) = placements.recv().await {
        telemetry.record_placement(
            &placement.workspace,
            placement.kind,
            Duration::from_millis(placement.waited_ms),
        );
    }
}

/// Writes the tree of the daemon's settings when the table holds none yet.
async fn write_initial(control: Control, tree: Settings, log: Logger, stop: Stop) {
    while !stop.is_requested() {
        if control.is_ready() {
            if control.settings().version > 0 {
                return;
            }
            match control
                .change_settings(0, SettingsChange::Whole(tree.clone()))
                .await
            {
                Ok(version) => {
                    return log_event!(log, events::INITIAL_SETTINGS_WRITTEN; "version" => version);
                }
                Err(err) => {
                    log_event!(log, events::INITIAL_SETTINGS_FAILED; "problem" => err.to_string());
                }
            }
        }
        sleep_ms(INITIAL_RETRY_MS).await;
    }
}
