//! Layouts of whole cells on the loopback interface, for the quickstart, tests and benchmarks.

use {
    crate::config::{Config, LogLevel, PlatformConfig},
    ragwortreel_model::{
        InstanceId, Rack, Resources, ServiceName, Settings, SettingsError, WorkerId, Workspace,
        Zone,
    },
    ragwortreel_standins::{
        BackendConfig, BackendSpec, PlatformConfig as PlatformStandin, ServiceTime, StandinConfig,
        WorkerConfig, WorkerSpec,
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
    },
};

const WORKERS_PER_RACK: usize = 8;
/// Settings tree of the pattern service's example cell.
const PATTERN_SERVICE_SETTINGS: &str = include_str!("../examples/dzintars-kods.settings.json");
/// Settings tree of the cart dispatch service's example cell.
const CART_DISPATCH_SERVICE_SETTINGS: &str = include_str!("../examples/khao-phot.settings.json");

/// Layout of the backend servers of one service.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Name of the service within the workspace.
    pub service: ServiceName,
    /// Number of backend servers in each zone.
    pub per_zone: usize,
    /// Simulated service times by the first path segment of a request.
    pub classes: BTreeMap<Arc<str>, ServiceTime>,
}

/// Layout of a whole cell.
#[derive(Debug, Clone)]
pub struct CellPlan {
    /// Region of all zones.
    pub region: Arc<str>,
    /// Availability zones of the cell.
    pub zones: Vec<Zone>,
    /// Number of entry instances in each zone.
    pub entries_per_zone: usize,
    /// Number of workers in each zone.
    pub workers_per_zone: usize,
    /// Capacity of each worker.
    pub worker_capacity: Resources,
    /// Backend servers by service.
    pub backends: Vec<BackendPlan>,
    /// Concurrent requests that each backend server accepts; `None` uses the value of the settings tree.
    pub backend_slots: Option<u64>,
    /// Settings tree that the entry instances write at first start.
    pub settings: Settings,
    /// Seed of the stand-ins' random faults.
    pub seed: u64,
}

/// Addresses of one entry instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// Address of the HTTP interface for callers.
    pub caller: SocketAddr,
    /// Address for RPCs from other entry instances.
    pub entry: SocketAddr,
}

/// Loopback address with port 0, for which the operating system chooses a free port.
#[must_use]
pub const fn loopback_any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

impl CellPlan {
    /// Small cell of the pattern service: quotes, pattern batches and dye matching.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in settings are invalid.
    pub fn pattern_service() -> Result<Self, SettingsError> {
        let zones = ["riga-a", "riga-b", "jelgava"];
        let backends = [
            backend_plan("counter", "quotes", 2, &[("quotes", 4, 4)]),
            backend_plan("patterns", "batches", 2, &[("batches", 150, 250)]),
            backend_plan("dyes", "matching", 1, &[("matching", 60, 60)]),
        ];
        Self::example(
            PATTERN_SERVICE_SETTINGS,
            "baltija",
            &zones,
            Resources::new(32_000, 128 * 1024, 2),
            backends,
        )
    }

    /// Small cell of the cart dispatch service: allocations, top-ups and reconciliation.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in settings are invalid.
    pub fn cart_dispatch_service() -> Result<Self, SettingsError> {
        let zones = ["chiangmai-a", "lampang-b", "chiangrai-c"];
        let backends = [
            backend_plan("allocations", "settle", 2, &[("settle", 10, 10)]),
            backend_plan("charcoal", "top-ups", 1, &[("top-ups", 5, 10)]),
            backend_plan("takings", "reconcile", 1, &[("reconcile", 200, 200)]),
        ];
        Self::example(
            CART_DISPATCH_SERVICE_SETTINGS,
            "north-th",
            &zones,
            Resources::new(16_000, 64 * 1024, 0),
            backends,
        )
    }

    fn example(
        settings: &str,
        region: &str,
        zones: &[&str],
        worker_capacity: Resources,
        backends: impl IntoIterator<Item = Option<BackendPlan>>,
    ) -> Result<Self, SettingsError> {
        let bad_name = |_| SettingsError::new("zones", "a built-in name is not acceptable");
        let zones: Result<Vec<Zone>, _> = zones.iter().map(|zone| Zone::new(zone)).collect();
        Ok(Self {
            region: Arc::from(region),
            zones: zones.map_err(bad_name)?,
            entries_per_zone: 1,
            workers_per_zone: 4,
            worker_capacity,
            backends: backends.into_iter().flatten().collect(),
            backend_slots: None,
            settings: Settings::parse(settings.as_bytes())?,
            seed: 1,
        })
    }

    /// Configuration of the stand-ins for the platform, all workers and all backend servers.
    #[must_use]
    pub fn standin_config(&self) -> StandinConfig {
        let platform = PlatformStandin {
            listen: loopback_any_port(),
            limits: ragwortreel_standins::RateLimits::default(),
            list_lag_ms: 0,
            instances: Vec::new(),
        };
        StandinConfig {
            platform: Some(platform),
            workers: self
                .zones
                .iter()
                .flat_map(|zone| self.zone_workers(zone))
                .collect(),
            backends: self
                .zones
                .iter()
                .flat_map(|zone| self.zone_backends(zone))
                .collect(),
            seed: self.seed,
        }
    }

    fn zone_workers(&self, zone: &Zone) -> Vec<WorkerConfig> {
        let worker = |number: usize| {
            let id = WorkerId::new(&format!("{zone}-w{number}")).ok()?;
            Some(WorkerConfig {
                listen: loopback_any_port(),
                zone: zone.clone(),
                rack: Rack::new(&format!("{zone}-r{}", number / WORKERS_PER_RACK)).ok()?,
                worker: WorkerSpec {
                    id,
                    capacity: self.worker_capacity,
                    usage_lag_ms: 0,
                },
            })
        };
        (0..self.workers_per_zone).filter_map(worker).collect()
    }

    fn zone_backends(&self, zone: &Zone) -> Vec<BackendConfig> {
        let cell = &self.settings.cell;
        let server = |plan: &BackendPlan, number: usize| {
            let spec = BackendSpec {
                id: InstanceId::new(&format!(
                    "{zone}-{}-{}-{number}",
                    plan.workspace, plan.service
                ))
                .ok()?,
                zone: zone.clone(),
                workspace: plan.workspace.clone(),
                service: plan.service.clone(),
                slots: self
                    .backend_slots
                    .unwrap_or_else(|| cell.slots_per_backend.into()),
                connections: cell.connections_per_backend.into(),
                classes: plan.classes.clone(),
            };
            Some(BackendConfig {
                listen: loopback_any_port(),
                backend: spec,
            })
        };
        let mut servers = Vec::new();
        for plan in &self.backends {
            servers.extend((0..plan.per_zone).filter_map(|number| server(plan, number)));
        }
        servers
    }

    /// Total number of entry instances.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.zones.len() * self.entries_per_zone
    }

    /// Settings of the entry instance `number`; consecutive numbers are assigned to different zones.
    ///
    /// `platform` is the address of the platform stand-in. Returns `None` if the name of the instance is invalid.
    #[must_use]
    pub fn daemon_config(
        &self,
        number: usize,
        addresses: EntryAddresses,
        platform: SocketAddr,
    ) -> Option<Config> {
        let zone = self.zones.get(number % self.zones.len())?.clone();
        let zones = self
            .zones
            .iter()
            .map(|zone| (zone.clone(), Arc::clone(&self.region)));
        Some(Config {
            instance: InstanceId::new(&format!("entry-{zone}-{}", number / self.zones.len()))
                .ok()?,
            zone,
            caller_address: addresses.caller,
            entry_address: addresses.entry,
            platform: PlatformConfig {
                table: platform,
                objects: platform,
                instances: platform,
            },
            zones: zones.collect(),
            pools_per_zone: 1,
            threads: 2,
            log_level: LogLevel::Warning,
            stop_ms: 10_000,
            initial_settings: Some(self.settings.clone()),
        })
    }
}

fn backend_plan(
    workspace: &str,
    service: &str,
    per_zone: usize,
    classes: &[(&str, u64, u64)],
) -> Option<BackendPlan> {
    let classes = classes
        .iter()
        .map(|&(class, ms, jitter_ms)| (Arc::from(class), ServiceTime { ms, jitter_ms }));
    Some(BackendPlan {
        workspace: Workspace::new(workspace).ok()?,
        service: ServiceName::new(service).ok()?,
        per_zone,
        classes: classes.collect(),
    })
}
