//! Assembly of an instance on the platform.

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

/// Instances that share the store's rates. The exact number is not known to an instance, and a grouped transaction
/// holds many requests, so a small share is enough.
const SHARING_INSTANCES: u32 = 9;
/// Time for which a stopping instance still takes requests after it has reported that it is not ready. The platform
/// asks each second and needs two misses.
const UNREADY_MS: u64 = 2_200;
/// Part of the time until the kill that a graceful stop may use.
const STOP_PART: f64 = 0.9;

/// Runs an instance until it is asked to stop.
pub fn run(file: &Path) -> Result<(), Error> {
    let settings = CellSettings::load(file)?;
    let log = stdout_logger(settings.log_level.level());
    let log = log.map_err(|err| Error::start("starting the log", &err))?;
    let log = log.new(o!("instance" => settings.instance.to_string()));
    let stop = Stop::new();
    let (reload_log, path) = (log.clone(), file.to_owned());
    let current = settings.clone();
    let reload = move || reread(&path, &current, &reload_log);
    handle_signals(stop.clone(), reload)
        .map_err(|err| Error::start("installing signal handlers", &err))?;
    run_on_current_thread(serve(settings, log, stop))
}

/// Reports what a change of the settings file means. Addresses and rates are taken at the next start.
fn reread(path: &Path, current: &CellSettings, log: &Logger) {
    match CellSettings::load(path) {
        Ok(settings) => log_event!(log, events::SETTINGS_FILE_REREAD;
            "changed" => settings != *current),
        Err(err) => log_event!(log, events::SETTINGS_FILE_REJECTED; "problem" => err.to_string()),
    }
}

async fn serve(settings: CellSettings, log: Logger, stop: Stop) -> Result<(), Error> {
    log_event!(log, events::STARTED; "zone" => settings.zone.to_string(), "lease_ms" => settings.lease_ms);
    let (exporter, meter) = Exporter::new().map_err(|err| Error::start("exporting", &err))?;
    let cell = make_cell(&settings, &log, CellMetrics::new(&meter));
    let bind = |address: SocketAddr, err: &dyn std::fmt::Display| {
        Error::start("binding", &format!("{address}: {err}"))
    };
    let caller_stop = Stop::new();
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
    spawn(metrics.run(caller_stop.clone())).detach();
    let callers = spawn(callers.run(caller_stop.clone()));
    let ready = spawn(ready.run(caller_stop.clone()));
    let service: Arc<dyn HelperService> = Arc::clone(&cell) as Arc<dyn HelperService>;
    let helper = spawn(helper.serve_helper(service, log.clone(), caller_stop.clone()));
    let limit = Duration::from_secs_f64(settings.stop_s * STOP_PART);
    let part = spawn(Arc::clone(&cell).run(stop.clone()));
    stop.requested().await;
    log_event!(log, events::STOPPING);
    let finished = timeout(limit, async {
        part.await;
        sleep_ms(UNREADY_MS).await;
        caller_stop.request();
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

/// Serves the metrics at any path.
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

fn make_cell(settings: &CellSettings, log: &Logger, metrics: CellMetrics) -> Arc<Cell> {
    let store = Arc::new(PlatformStoreClient::new(
        settings.store.address,
        log.clone(),
    ));
    let table: Arc<dyn TableService> = Arc::clone(&store) as Arc<dyn TableService>;
    let config = ResilientConfig {
        writes_per_s: settings.store.writes_per_s,
        reads_per_s: settings.store.reads_per_s,
        instances: SHARING_INSTANCES,
        ..ResilientConfig::default()
    };
    let job_tables: Vec<_> = (0..JOB_PARTITIONS)
        .map(|_| {
            let table = ResilientTable::new(Arc::clone(&table), config.clone(), log.clone());
            Arc::new(table)
        })
        .collect();
    // Without an advice service no queue asks; the address is then never called.
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
    };
    Cell::new(cfg, deps)
}
