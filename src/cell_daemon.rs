//! Startup and shutdown of an instance on the platform (`ragwortreel cell`).

use {
    crate::{cell_settings::CellSettings, error::Error, events, telemetry::Exporter},
    async_trait::async_trait,
    ragwortreel_dispatch::{
        Cell, CellConfig, CellDeps, CellMetrics, LeaderCapacity, Timing, api::AdviceClient,
        rows::JOB_PARTITIONS,
    },
    ragwortreel_dzintars::{
        JobApi, PlatformAdviceClient, PlatformStoreClient, PlatformWorkerClient, ReadinessApi,
    },
    ragwortreel_entry::{EntryServer, HelperService, TonicConnector},
    ragwortreel_http::{Handler, Request, Response, Server, ServerLimits},
    ragwortreel_platform::{ResilientConfig, ResilientTable, TableService},
    ragwortreel_runtime::{
        Logger, Stop, handle_signals, log_event, run_on_current_thread, sleep_ms, slog::o, spawn,
        stdout_logger, timeout,
    },
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// Assumed number of instances among which the store's rates are divided; an instance cannot determine the exact
/// number. A batch of transactions is one call and carries many requests, so a small share of the rates is sufficient.
const STORE_SHARING_INSTANCES: u32 = 9;
/// Shortest time after which the transaction of a job without a response is sent again, in ms. A transaction usually takes
/// 10 ms; with an objective of 250 ms beyond the run time, a longer delay makes the job late.
const JOB_HEDGE_MS: u64 = 100;
/// Time for which a stopping instance still accepts requests after it has reported that it is not ready, in ms. The
/// platform probes readiness every second and removes an instance after two failed probes.
const DEREGISTRATION_DELAY_MS: u64 = 2_200;
/// Share of the time until the platform kills the process that a graceful shutdown may use.
const SHUTDOWN_TIMEOUT_SHARE: f64 = 0.9;

/// Runs an instance until SIGTERM or SIGINT.
pub fn run(file: &Path) -> Result<(), Error> {
    let settings = CellSettings::load(file)?;
    let log = stdout_logger(settings.log_level.level());
    let log = log.map_err(|err| Error::start("starting the log", &err))?;
    let log = log.new(o!("instance" => settings.instance.to_string()));
    let stop = Stop::new();
    let (reload_log, path) = (log.clone(), file.to_owned());
    let current = settings.clone();
    let reload = move || check_changed_settings(&path, &current, &reload_log);
    handle_signals(stop.clone(), reload)
        .map_err(|err| Error::start("installing signal handlers", &err))?;
    run_on_current_thread(serve(settings, log, stop))
}

/// Reads the settings file again and logs whether it is valid and differs from the settings in force.
///
/// Nothing is applied to the running instance; addresses and rates change at the next start.
fn check_changed_settings(path: &Path, current: &CellSettings, log: &Logger) {
    match CellSettings::load(path) {
        Ok(settings) => log_event!(log, events::SETTINGS_FILE_REREAD;
            "changed" => settings != *current),
        Err(err) => log_event!(log, events::SETTINGS_FILE_REJECTED; "problem" => err.to_string()),
    }
}

async fn serve(settings: CellSettings, log: Logger, stop: Stop) -> Result<(), Error> {
    log_event!(log, events::STARTED; "zone" => settings.zone.to_string(), "lease_ms" => settings.lease_ms);
    let (exporter, meter) = Exporter::new().map_err(|err| Error::start("exporting", &err))?;
    let cell = build_cell(&settings, &log, CellMetrics::new(&meter));
    let bind = |address: SocketAddr, err: &dyn std::fmt::Display| {
        Error::start("binding", &format!("{address}: {err}"))
    };
    let server_stop = Stop::new();
    let callers = Server::bind(
        settings.caller_address,
        Arc::new(JobApi::new(Arc::clone(&cell))),
        ServerLimits::default(),
        log.clone(),
    )
    .map_err(|err| bind(settings.caller_address, &err))?;
    let ready = Server::bind(
        settings.ready_address,
        Arc::new(ReadinessApi::new(Arc::clone(&cell), stop.clone())),
        ServerLimits::default(),
        log.clone(),
    )
    .map_err(|err| bind(settings.ready_address, &err))?;
    let helper = EntryServer::bind(settings.helper_address)
        .map_err(|err| bind(settings.helper_address, &err))?;
    let metrics = Server::bind(
        settings.metrics_address,
        Arc::new(MetricsApi { exporter }),
        ServerLimits::default(),
        log.clone(),
    )
    .map_err(|err| bind(settings.metrics_address, &err))?;
    spawn(metrics.run(server_stop.clone())).detach();
    let callers = spawn(callers.run(server_stop.clone()));
    let ready = spawn(ready.run(server_stop.clone()));
    let service: Arc<dyn HelperService> = Arc::clone(&cell) as Arc<dyn HelperService>;
    let helper = spawn(helper.serve_helper(service, log.clone(), server_stop.clone()));
    let shutdown_timeout = Duration::from_secs_f64(settings.stop_s * SHUTDOWN_TIMEOUT_SHARE);
    let cell_task = spawn(Arc::clone(&cell).run(stop.clone()));
    stop.requested().await;
    log_event!(log, events::STOPPING);
    let finished = timeout(shutdown_timeout, async {
        cell_task.await;
        sleep_ms(DEREGISTRATION_DELAY_MS).await;
        server_stop.request();
        callers.await;
        ready.await;
        helper.await;
    });
    if finished.await.is_err() {
        log_event!(log, events::STOP_TIMEOUT);
    }
    log_event!(log, events::STOPPED);
    Ok(())
}

/// Serves the metrics on all paths.
struct MetricsApi {
    exporter: Exporter,
}

#[async_trait]
impl Handler for MetricsApi {
    async fn handle(&self, _req: Request, _peer: SocketAddr) -> Response {
        Response::new(200)
            .with_header("content-type", "text/plain; version=0.0.4")
            .with_body(self.exporter.encode())
    }
}

fn build_cell(settings: &CellSettings, log: &Logger, metrics: CellMetrics) -> Arc<Cell> {
    let store = Arc::new(PlatformStoreClient::new(
        settings.store.address,
        log.clone(),
    ));
    let table: Arc<dyn TableService> = Arc::clone(&store) as Arc<dyn TableService>;
    let config = ResilientConfig {
        writes_per_s: settings.store.writes_per_s,
        reads_per_s: settings.store.reads_per_s,
        instances: STORE_SHARING_INSTANCES,
        hedge_ms: Some(JOB_HEDGE_MS),
        ..ResilientConfig::default()
    };
    let job_tables: Vec<_> = (0..JOB_PARTITIONS)
        .map(|_| {
            let table = ResilientTable::new(Arc::clone(&table), config.clone(), log.clone());
            Arc::new(table)
        })
        .collect();
    // Without an advice service no queue requests advice, so the placeholder address is never used.
    let advice_address = settings.advice_address.unwrap_or(settings.store.address);
    let advice: Arc<dyn AdviceClient> = Arc::new(PlatformAdviceClient::new(advice_address));
    let deps = CellDeps {
        table,
        feed: Arc::clone(&store) as _,
        job_tables,
        source: store,
        workers: Arc::new(PlatformWorkerClient::new()),
        advice,
        helpers: Arc::new(TonicConnector::default()),
        metrics: Arc::new(metrics),
        log: log.clone(),
    };
    let cfg = CellConfig {
        instance: settings.instance.clone(),
        helper_address: settings.helper_address,
        leader_capacity: LeaderCapacity::new(settings.cpu_share, settings.link_mbit_s),
        timing: Timing::new(settings.lease_ms),
        key_revocation_ms: settings.key_revocation_ms,
    };
    Cell::new(cfg, deps)
}
