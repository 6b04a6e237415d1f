//! Plans of whole cells on loopback, for the demonstration and for measurements.

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

/// Workers in one rack.
const WORKERS_PER_RACK: usize = 8;
/// Settings of the first example cell.
const PATTERN_SERVICE_SETTINGS: &str = include_str!("../examples/dzintars-kods.settings.json");
/// Settings of the second example cell.
const CART_DISPATCH_SERVICE_SETTINGS: &str = include_str!("../examples/khao-phot.settings.json");

/// Backend servers of one service.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Backend servers in each zone.
    pub per_zone: usize,
    /// Service times by the first segment of the path.
    pub classes: BTreeMap<Arc<str>, ServiceTime>,
}

/// A whole cell.
#[derive(Debug, Clone)]
pub struct CellPlan {
    /// Region of all zones.
    pub region: Arc<str>,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Entry instances in each zone.
    pub entries_per_zone: usize,
    /// Workers in each zone.
    pub workers_per_zone: usize,
    /// Size of a worker.
    pub worker_capacity: Resources,
    /// Backend servers.
    pub backends: Vec<BackendPlan>,
    /// Requests that a backend server takes at once; the settings' value when absent.
    pub backend_slots: Option<u64>,
    /// Settings tree.
    pub settings: Settings,
    /// Seed of random faults.
    pub seed: u64,
}

/// Addresses of one entry instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other entry instances.
    pub entry: SocketAddr,
}

/// A loopback address with a port that the operating system chooses.
#[must_use]
pub const fn loopback_any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

impl CellPlan {
    /// The pattern service's cell in small: quotes, pattern batches and dye matching.
    ///
    /// # Errors
    ///
    /// Returns an error when the built-in settings are not acceptable.
    pub fn pattern_service() -> Result<Self, SettingsError> {
        let zones = ["riga-a", "riga-b", "jelgava"];
        let backends = [
            backend("counter", "quotes", 2, &[("quotes", 4, 4)]),
            backend("patterns", "batches", 2, &[("batches", 150, 250)]),
            backend("dyes", "matching", 1, &[("matching", 60, 60)]),
        ];
        Self::example(
            PATTERN_SERVICE_SETTINGS,
            "baltija",
            &zones,
            Resources::new(32_000, 128 * 1024, 2),
            backends,
        )
    }

    /// The dispatch service's cell in small: allocations, top-ups and reconciliation.
    ///
    /// # Errors
    ///
    /// Returns an error when the built-in settings are not acceptable.
    pub fn cart_dispatch_service() -> Result<Self, SettingsError> {
        let zones = ["chiangmai-a", "lampang-b", "chiangrai-c"];
        let backends = [
            backend("allocations", "settle", 2, &[("settle", 10, 10)]),
            backend("charcoal", "top-ups", 1, &[("top-ups", 5, 10)]),
            backend("takings", "reconcile", 1, &[("reconcile", 200, 200)]),
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

    /// Stand-ins of the platform, all workers and all backend servers.
    #[must_use]
    pub fn standin_config(&self) -> StandinConfig {
        let platform = PlatformStandin {
            listen: loopback_any_port(),
            limits: ragwortreel_standins::Limits::default(),
            list_lag_ms: 0,
            instances: Vec::new(),
        };
        StandinConfig {
            platform: Some(platform),
            workers: self
                .zones
                .iter()
                .flat_map(|zone| self.workers_of(zone))
                .collect(),
            backends: self
                .zones
                .iter()
                .flat_map(|zone| self.backends_of(zone))
                .collect(),
            seed: self.seed,
        }
    }

    fn workers_of(&self, zone: &Zone) -> Vec<WorkerConfig> {
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

    fn backends_of(&self, zone: &Zone) -> Vec<BackendConfig> {
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

    /// Number of entry instances.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.zones.len() * self.entries_per_zone
    }

    /// Settings of the entry instance with this number; neighbours in number stand in different zones.
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

fn backend(
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
