//! Assembly of an entry instance.
//!
//! [`start`] connects the parts: control (membership, pools, settings), routing (admission and slots), the HTTP
//! interface and the entry link. [`Daemon::finish`] waits for the stop and carries it out gracefully.

use {
    crate::{
        admin::DaemonAdmin,
        burn::BurnCounter,
        config::Config,
        error::Error,
        events,
        forward::PeerForwarder,
        jobs::DaemonJobs,
        local::LocalService,
        pooled::PooledTransport,
        service_call::{Parts, ServiceRouter},
        settings_api::DaemonSettings,
        shares::follow_shares,
        telemetry::Telemetry,
    },
    ragwortreel_caller::{ApiHandler, Authenticator},
    ragwortreel_control::{
        Connections, Control, ControlConfig, Limits, SettingsChange, Timings, ZoneConfig, pools_of,
    },
    ragwortreel_entry::{ClientLimits, EntryServer, TonicConnector},
    ragwortreel_http::{Server, ServerLimits},
    ragwortreel_model::{Clock, Incarnation, Settings, SystemClock},
    ragwortreel_placement::Scheduler,
    ragwortreel_platform::{HttpPlatform, OnceClaims, ResilientConfig, ResilientTable, TableService, run_sweeps},
    ragwortreel_routing::{Router, RouterConfig},
    ragwortreel_runtime::{Logger, Stop, Task, log_event, sleep_ms, spawn, timeout_ms},
    ragwortreel_worker::HttpWorkerConnector,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time limit of one call to a service of the platform.
const PLATFORM_CALL: Duration = Duration::from_millis(1_000);
/// Writes a second that claims and control of all instances may each send; together half of the service's rate.
const WRITES_PER_S: f64 = 125.0;
/// Reads a second that claims and control of all instances may each send; together half of the service's rate.
const READS_PER_S: f64 = 500.0;
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
    /// The control part.
    pub control: Control,
    /// Counts for the burn report.
    pub burn: Arc<BurnCounter>,
    router: Router,
    log: Logger,
    stop_ms: u64,
    /// Requested by a signal or an operator.
    stop: Stop,
    /// Ends listening for callers.
    serving: Stop,
    /// Ends the entry link and control.
    linked: Stop,
    servers: Vec<Task<()>>,
}

/// Runs an entry instance until the stop is requested.
///
/// # Errors
///
/// Returns an error when a part cannot start.
pub async fn run(config: Config, log: Logger, stop: Stop) -> Result<(), Error> {
    let daemon = start(config, log, stop).await?;
    daemon.finish().await;
    Ok(())
}

/// Starts an entry instance.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the metrics cannot be set up.
pub async fn start(config: Config, log: Logger, stop: Stop) -> Result<Daemon, Error> {
    let telemetry = Telemetry::new().map_err(|err| Error::start("setting up metrics", &err))?;
    let telemetry = Arc::new(telemetry);
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let (serving, linked) = (Stop::new(), Stop::new());
    let platform = Platform::connect(&config, &log);

    let forwarder = Arc::new(PeerForwarder::default());
    let router = Router::new(
        RouterConfig::new(config.instance.clone(), config.zone.clone(), fastrand::u64(..)),
        Arc::clone(&clock),
    );
    let burn = Arc::new(BurnCounter::default());
    let entry_server = EntryServer::bind(config.entry_address).map_err(|err| Error::start("binding entry_address", &err))?;
    let entry_address = entry_server.local_addr();
    let control = start_control(&config, entry_address, &platform, &clock, &log, &linked);
    forwarder.connect(control.clone());

    let parts = Parts {
        router: router.clone(),
        transport: Arc::new(PooledTransport::new(log.clone())),
        once: OnceClaims::new(Arc::clone(&platform.claims), config.instance.as_str(), log.clone()),
        forwarder,
        clock: Arc::clone(&clock),
        telemetry: Arc::clone(&telemetry),
        burn: Arc::clone(&burn),
        stop: serving.clone(),
    };
    let services = Arc::new(ServiceRouter::new(parts, control.settings()));
    control.set_local_requests(Arc::new(LocalService::new(Arc::clone(&services), router.clone(), control.clone())));

    let auth = Arc::new(Authenticator::new());
    let admin = DaemonAdmin::new(
        config.instance.clone(),
        control.clone(),
        Arc::clone(&telemetry),
        Arc::clone(&burn),
        stop.clone(),
    );
    let handler = ApiHandler::new(
        Arc::clone(&auth),
        Arc::clone(&services) as Arc<_>,
        Arc::new(DaemonJobs::new(control.clone())),
        Arc::new(DaemonSettings::new(control.clone())),
        Arc::new(admin),
    );
    let caller_server = Server::bind(config.caller_address, Arc::new(handler), ServerLimits::default(), log.clone());
    let caller_server = caller_server.map_err(|err| Error::start("binding caller_address", &err))?;
    let caller_address = caller_server.local_addr();

    spawn(follow_settings(control.clone(), auth, services, log.clone())).detach();
    spawn(follow_shares(control.clone(), router.clone(), linked.clone())).detach();
    spawn(tick(router.clone(), linked.clone())).detach();
    spawn(sample(control.clone(), router.clone(), telemetry, platform.figures, linked.clone())).detach();
    spawn(run_sweeps(Arc::clone(&platform.claims), log.clone(), linked.clone())).detach();
    if let Some(tree) = config.initial_settings.clone() {
        spawn(write_initial(control.clone(), tree, log.clone(), linked.clone())).detach();
    }
    let servers = vec![
        spawn(caller_server.run(serving.clone())),
        spawn(entry_server.run(control.entry_service(), linked.clone(), log.clone())),
    ];
    log_event!(log, events::STARTED;
        "instance" => config.instance.as_str(), "zone" => config.zone.as_str(),
        "caller_address" => caller_address.to_string(), "entry_address" => entry_address.to_string());
    Ok(Daemon {
        caller_address,
        entry_address,
        control,
        burn,
        router,
        log,
        stop_ms: config.stop_ms,
        stop,
        serving,
        linked,
        servers,
    })
}

impl Daemon {
    /// Waits for the stop and carries it out: readiness ends, pools and slots are handed over, requests in flight end.
    pub async fn finish(self) {
        self.stop.requested().await;
        log_event!(self.log, events::STOPPING);
        // Pools go first, because their hand-over does not disturb requests. Slots are released while requests still
        // run, each when its request has ended.
        let leave = spawn({
            let control = self.control.clone();
            async move { control.leave().await }
        });
        sleep_ms(UNREADY_MS).await;
        self.serving.request();
        let drained = timeout_ms(self.stop_ms, self.serving.drained()).await;
        if drained.is_err() {
            log_event!(self.log, events::STOP_TIMEOUT; "in_flight" => self.serving.guards());
        }
        leave.await;
        self.router.stop();
        self.linked.request();
        for server in self.servers {
            let _ = timeout_ms(self.stop_ms, server).await;
        }
        log_event!(self.log, events::STOPPED);
    }
}

/// Clients of the platform's services.
struct Platform {
    control: Arc<dyn TableService>,
    claims: Arc<dyn TableService>,
    objects: Arc<HttpPlatform>,
    instances: Arc<HttpPlatform>,
    figures: [ResilientTable; 2],
}

impl Platform {
    fn connect(config: &Config, log: &Logger) -> Self {
        let client = |address| Arc::new(HttpPlatform::new(address, config.zone.clone(), PLATFORM_CALL));
        // Control and claims have queues of their own, so that a burst of claims never delays a lease renewal.
        let resilient = || {
            let cfg = ResilientConfig { writes_per_s: WRITES_PER_S, reads_per_s: READS_PER_S, ..ResilientConfig::default() };
            ResilientTable::new(client(config.platform.table), cfg, log.clone())
        };
        let (control, claims) = (resilient(), resilient());
        Self {
            figures: [control.clone(), claims.clone()],
            control: Arc::new(control),
            claims: Arc::new(claims),
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
    let zone = |(zone, region): (&_, &Arc<str>)| ZoneConfig { zone: Clone::clone(zone), region: Arc::clone(region) };
    let zones: Vec<ZoneConfig> = config.zones.iter().map(zone).collect();
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let cfg = ControlConfig {
        instance: config.instance.clone(),
        zone: config.zone.clone(),
        region: config.zones.get(&config.zone).cloned().unwrap_or_else(|| Arc::from("")),
        address,
        incarnation: Incarnation(u64::try_from(started.as_nanos()).unwrap_or(u64::MAX)),
        pools: pools_of(&zones, config.pools_per_zone),
        zones,
        timings: Timings::default(),
        limits: Limits::default(),
    };
    let connections = Connections {
        table: Arc::clone(&platform.control),
        objects: Arc::clone(&platform.objects) as Arc<_>,
        list: Arc::clone(&platform.instances) as Arc<_>,
        workers: Arc::new(HttpWorkerConnector::new(config.zone.clone())),
        peers: Arc::new(TonicConnector::new(ClientLimits::default(), log.clone())),
        schedulers: Arc::new(|pool| Box::new(Scheduler::new(pool.clone(), ragwortreel_placement::Config::default()))),
    };
    Control::start(cfg, connections, Arc::clone(clock), log.clone(), linked.clone())
}

async fn follow_settings(control: Control, auth: Arc<Authenticator>, services: Arc<ServiceRouter>, log: Logger) {
    let changes = control.subscribe_settings();
    while let Ok(settings) = changes.recv().await {
        auth.update(&settings.settings);
        let version = settings.version;
        services.update_settings(settings);
        log_event!(log, events::SETTINGS_IN_FORCE; "version" => version);
    }
}

async fn tick(router: Router, stop: Stop) {
    while !stop.is_requested() {
        let wait_ms = router.tick().max(1);
        sleep_ms(wait_ms).await;
    }
}

async fn sample(control: Control, router: Router, telemetry: Arc<Telemetry>, tables: [ResilientTable; 2], stop: Stop) {
    while !stop.is_requested() {
        let figures = control.figures();
        telemetry.settings(figures.settings_version);
        for pool in &figures.pools {
            let share = pool.stats.reserved.dominant_share_ppm(&pool.stats.capacity);
            telemetry.pool(&pool.pool, share, pool.stats.queued);
        }
        telemetry.routing(&router.figures());
        let sums = tables.iter().map(ResilientTable::figures);
        let (reads, writes) = sums.fold((0, 0), |(r, w), figures| (r + figures.reads, w + figures.writes));
        telemetry.store(reads, writes);
        sleep_ms(SAMPLE_MS).await;
    }
}

/// Writes the tree of the daemon's settings when the table holds none yet.
async fn write_initial(control: Control, tree: Settings, log: Logger, stop: Stop) {
    while !stop.is_requested() {
        if control.is_ready() {
            if control.settings().version > 0 {
                return;
            }
            match control.change_settings(0, SettingsChange::Whole(tree.clone())).await {
                Ok(version) => return log_event!(log, events::INITIAL_SETTINGS; "version" => version),
                Err(err) => log_event!(log, events::INITIAL_SETTINGS_FAILED; "problem" => err.to_string()),
            }
        }
        sleep_ms(INITIAL_RETRY_MS).await;
    }
}
