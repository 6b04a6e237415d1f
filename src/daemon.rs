//! Startup and shutdown of an entry instance (`ragwortreel serve`).
//!
//! [`start`] creates and connects the components: the control plane (membership, pools, settings), request routing
//! (admission and slots), the HTTP interface and the RPC server for other entry instances. [`Daemon::finish`] waits for
//! the stop request and shuts the instance down gracefully.

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

/// Timeout of one call to a service of the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum writes and reads per second of the control planes of all instances together. Together with
/// [`CLAIM_RATES`] they stay below the platform's limits of 500 writes and 2,000 reads per second.
const CONTROL_RATES: (f64, f64) = (250.0, 900.0);
/// Maximum writes and reads per second for idempotency claims of all instances together.
const CLAIM_RATES: (f64, f64) = (200.0, 900.0);
/// Interval between two samples of the gauge metrics, in ms.
const SAMPLE_INTERVAL_MS: u64 = 5_000;
/// Interval between two attempts to write the initial settings, in ms.
const INITIAL_SETTINGS_RETRY_MS: u64 = 1_000;
/// Time for which a stopping instance still accepts connections after it has reported that it is not ready, in ms. The
/// platform's load balancer removes the instance within this time.
const DEREGISTRATION_DELAY_MS: u64 = 500;

/// A running entry instance.
pub struct Daemon {
    /// Bound address of the HTTP interface for callers and operators.
    pub caller_address: SocketAddr,
    /// Bound address of the RPC server for other entry instances.
    pub entry_address: SocketAddr,
    stop_ms: u64,
    components: Components,
    servers: Vec<Task<()>>,
}

/// Runs an entry instance until `stop` is requested, then shuts it down gracefully.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the metrics cannot be set up.
pub async fn run(config: Config, log: Logger, stop: Stop) -> Result<(), Error> {
    start(&config, log, stop)?.finish().await;
    Ok(())
}

/// Starts an entry instance; [`Daemon::finish`] must be awaited for a graceful shutdown.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the metrics cannot be set up.
pub fn start(config: &Config, log: Logger, stop: Stop) -> Result<Daemon, Error> {
    let telemetry = Telemetry::new().map_err(|err| Error::start("setting up metrics", &err))?;
    let bind_failed = |err| Error::start("binding entry_address", &err);
    let entry_server = EntryServer::bind(config.entry_address).map_err(bind_failed)?;
    let entry_address = entry_server.local_addr().map_err(bind_failed)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let control_stop = Stop::new();
    let platform = PlatformClients::new(config, &log);
    let components = Components {
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
        control: start_control(
            config,
            entry_address,
            &platform,
            &clock,
            &log,
            &control_stop,
        ),
        clock,
        log,
        stop,
        http_stop: Stop::new(),
        control_stop,
        can_route: Arc::default(),
    };
    let services = components.services(config, &platform);
    let auth = Arc::new(Authenticator::new());
    let caller_server = components.caller_server(config, &auth, &services)?;
    let caller_address = caller_server.local_addr();
    components.spawn_background_tasks(config, platform, auth, services);
    let rpc_server = entry_server.serve(
        components.control.entry_service(),
        components.log.clone(),
        components.control_stop.clone(),
    );
    let servers = vec![
        spawn(caller_server.run(components.http_stop.clone())),
        spawn(rpc_server),
    ];
    log_event!(components.log, events::STARTED;
        "instance" => config.instance.as_str(), "zone" => config.zone.as_str(),
        "caller_address" => caller_address.to_string(), "entry_address" => entry_address.to_string());
    Ok(Daemon {
        caller_address,
        entry_address,
        stop_ms: config.stop_ms,
        components,
        servers,
    })
}

/// Components that most of the startup and shutdown code uses.
struct Components {
    telemetry: Arc<Telemetry>,
    burn: Arc<BurnCounter>,
    router: Router,
    control: Control,
    clock: Arc<dyn Clock>,
    log: Logger,
    /// Requested by a signal or by an operator's drain.
    stop: Stop,
    /// Stops the HTTP interface; each request in flight holds a guard, which a graceful shutdown waits for.
    http_stop: Stop,
    /// Stops the RPC server, the control plane and the background tasks.
    control_stop: Stop,
    /// Set once this instance holds slots and has the list of backend servers.
    can_route: Arc<AtomicBool>,
}

impl Components {
    /// Creates the request routing and registers it with the control plane, which passes it the requests that other
    /// instances forward.
    fn services(&self, config: &Config, platform: &PlatformClients) -> ServiceRouter {
        let forwarder = Arc::new(PeerForwarder::default());
        forwarder.connect(self.control.clone());
        let transport = Arc::new(PooledTransport::new(self.log.clone()));
        let deps = ServiceRouterDeps {
            router: self.router.clone(),
            transport: Arc::clone(&transport) as Arc<_>,
            claims: IdempotencyClaims::new(
                Arc::clone(&platform.claims),
                config.instance.as_str(),
                self.log.clone(),
            ),
            forwarder,
            clock: Arc::clone(&self.clock),
            telemetry: Arc::clone(&self.telemetry),
            burn: Arc::clone(&self.burn),
            stop: self.http_stop.clone(),
        };
        let services = ServiceRouter::new(deps, self.control.settings());
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

    /// Starts the background tasks that propagate changes between the components.
    fn spawn_background_tasks(
        &self,
        config: &Config,
        platform: PlatformClients,
        auth: Arc<Authenticator>,
        services: ServiceRouter,
    ) {
        let (control, router, control_stop) = (&self.control, &self.router, &self.control_stop);
        spawn(apply_settings(
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
            control_stop.clone(),
        ))
        .detach();
        spawn(run_router_timers(router.clone(), control_stop.clone())).detach();
        let telemetry = Arc::clone(&self.telemetry);
        spawn(sample_metrics(
            control.clone(),
            router.clone(),
            telemetry,
            platform.tables,
            control_stop.clone(),
        ))
        .detach();
        let placements = record_placements(control.clone(), Arc::clone(&self.telemetry));
        spawn(placements).detach();
        spawn(run_sweeps(
            platform.claims,
            self.log.clone(),
            control_stop.clone(),
        ))
        .detach();
        if let Some(tree) = config.initial_settings.clone() {
            spawn(write_initial_settings(
                control.clone(),
                tree,
                self.log.clone(),
                control_stop.clone(),
            ))
            .detach();
        }
    }
}

impl Daemon {
    /// Request counts of this instance for the burn-rate report.
    #[must_use]
    pub fn burn(&self) -> BurnCounts {
        self.components.burn.counts()
    }

    /// Control plane of the instance.
    #[must_use]
    pub fn control(&self) -> &Control {
        &self.components.control
    }

    /// Waits for the stop request and shuts down gracefully: readiness ends, pools and slots are handed over to other
    /// instances, and requests in flight run to their ends.
    pub async fn finish(self) {
        let Components {
            control,
            router,
            log,
            stop,
            http_stop,
            control_stop,
            ..
        } = self.components;
        stop.requested().await;
        log_event!(log, events::STOPPING);
        // Pools are handed over while requests still run; each slot is released when its request ends.
        let handover = spawn(async move { control.leave().await });
        sleep_ms(DEREGISTRATION_DELAY_MS).await;
        http_stop.request();
        if timeout_ms(self.stop_ms, http_stop.drained()).await.is_err() {
            log_event!(log, events::STOP_TIMEOUT; "in_flight" => http_stop.guards());
        }
        handover.await;
        router.stop();
        control_stop.request();
        for server in self.servers {
            let _ = timeout_ms(self.stop_ms, server).await;
        }
        log_event!(log, events::STOPPED);
    }
}

/// Clients of the platform's services.
struct PlatformClients {
    control: Arc<dyn TableService>,
    claims: Arc<dyn TableService>,
    objects: Arc<HttpPlatform>,
    instances: Arc<HttpPlatform>,
    /// The control and claims tables, for call metrics and rate limits.
    tables: [Arc<ResilientTable>; 2],
}

impl PlatformClients {
    fn new(config: &Config, log: &Logger) -> Self {
        let client = |address| {
            let zone = config.zone.clone();
            let client = HttpPlatform::new(address, zone, PLATFORM_CALL_TIMEOUT);
            Arc::new(client.with_log(log.clone()))
        };
        // The control plane and the claims use separate queues, so that a burst of claims never delays a lease renewal.
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
            tables: [Arc::clone(&control), Arc::clone(&claims)],
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
    platform: &PlatformClients,
    clock: &Arc<dyn Clock>,
    log: &Logger,
    control_stop: &Stop,
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
        control_stop.clone(),
    )
}

/// Applies each new version of the settings tree to authentication and request routing.
async fn apply_settings(
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

/// Runs the router's timers until the stop is requested.
async fn run_router_timers(router: Router, stop: Stop) {
    while !stop.is_requested() {
        let wait_ms = router.tick().max(1);
        sleep_ms(wait_ms).await;
        future::or(router.wait_until_busy(), stop.requested()).await;
    }
}

/// Records the gauge metrics periodically and divides the table's rate limits among the instances.
async fn sample_metrics(
    control: Control,
    router: Router,
    telemetry: Arc<Telemetry>,
    tables: [Arc<ResilientTable>; 2],
    stop: Stop,
) {
    while !stop.is_requested() {
        let metrics = control.metrics();
        telemetry.record_settings_version(metrics.settings_version);
        for pool in &metrics.pools {
            let share = pool.stats.reserved.dominant_share_ppm(&pool.stats.capacity);
            telemetry.record_pool(&pool.pool, share, pool.stats.queued);
        }
        // All known instances count, not only live ones. During an outage of the table service all others appear dead,
        // and once it recovers each instance would use the whole rate.
        let instances = u32::try_from(control.members().len()).unwrap_or(u32::MAX);
        if instances > 0 {
            for table in &tables {
                table.set_instances(instances);
            }
        }
        telemetry.record_routing(&router.metrics());
        let counts = tables.iter().map(|table| table.stats());
        let (reads, writes) = counts.fold((0, 0), |(reads, writes), counts| {
            (reads + counts.reads, writes + counts.writes)
        });
        telemetry.record_store_calls(reads, writes);
        sleep_ms(SAMPLE_INTERVAL_MS).await;
    }
}

/// Records the time from submission to start of each placed task.
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

/// Writes the initial settings tree if the table holds none; retries until a tree exists.
async fn write_initial_settings(control: Control, tree: Settings, log: Logger, stop: Stop) {
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
        sleep_ms(INITIAL_SETTINGS_RETRY_MS).await;
    }
}
