//! Starts the stand-ins of a whole cell (platform, workers, backend servers) in one process from a JSON configuration.

use {
    crate::{
        backend::{Backend, BackendSpec, serve_backend},
        listener::ServerHandle,
        platform::{MemoryPlatform, RateLimits, serve_platform},
        worker::{FakeFleet, FakeWorker, WorkerSpec, serve_worker},
    },
    ragwortreel_model::{InstanceId, Rack, Zone},
    ragwortreel_platform::{InstanceState, ListedInstance, ListedRole},
    ragwortreel_runtime::Stop,
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, sync::Arc},
};

/// Configuration of the stand-ins that one process runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinConfig {
    /// Platform; its instance list contains all workers and backend servers of this configuration.
    pub platform: Option<PlatformConfig>,
    /// Workers; they share one clock and one run history.
    pub workers: Vec<WorkerConfig>,
    /// Backend servers; each derives its own seed from `seed`.
    pub backends: Vec<BackendConfig>,
    /// Seed of the random faults of the platform and the backend servers.
    pub seed: u64,
}

/// Configuration of the platform: table service, object store and instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Rate limits of reads and writes.
    #[serde(default)]
    pub limits: RateLimits,
    /// Delay until readers see a change of the instance list, in ms.
    #[serde(default)]
    pub list_lag_ms: u64,
    /// Additional instances in the list that other processes run, such as instances that accept client
    /// requests.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
}

/// Configuration of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Availability zone in the instance list.
    pub zone: Zone,
    /// Rack in the instance list.
    pub rack: Rack,
    /// Name and capacity of the worker.
    pub worker: WorkerSpec,
}

/// Configuration of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Service, limits and service times of the backend server.
    pub backend: BackendSpec,
}

/// A running stand-in; dropping it stops its server.
#[derive(Debug)]
pub struct RunningStandin<T> {
    /// State and fault settings of the stand-in.
    pub state: Arc<T>,
    /// HTTP server of the stand-in.
    pub server: ServerHandle,
}

/// All running stand-ins of a configuration; dropping it stops their servers.
pub struct Standins {
    /// Platform, if the configuration has one.
    pub platform: Option<RunningStandin<MemoryPlatform>>,
    /// Workers, in the order of the configuration.
    pub workers: Vec<RunningStandin<FakeWorker>>,
    /// Backend servers, in the order of the configuration.
    pub backends: Vec<RunningStandin<Backend>>,
    /// Clock, run history and addresses that the workers share.
    pub fleet: FakeFleet,
}

impl Standins {
    /// Starts all stand-ins and adds them to the instance list of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub fn start(cfg: &StandinConfig) -> io::Result<Self> {
        let fleet = FakeFleet::default();
        let workers = start_workers(cfg, &fleet)?;
        let backends = start_backends(cfg)?;
        let platform = match &cfg.platform {
            Some(platform) => Some(start_platform(platform, cfg.seed)?),
            None => None,
        };
        let standins = Self {
            platform,
            workers,
            backends,
            fleet,
        };
        standins.register_instances(cfg);
        Ok(standins)
    }

    fn register_instances(&self, cfg: &StandinConfig) {
        let Some(RunningStandin { state, .. }) = &self.platform else {
            return;
        };
        for (worker, running) in cfg.workers.iter().zip(&self.workers) {
            if let Some(instance) = worker.to_listed_instance(running.server.addr()) {
                state.put_instance(instance);
            }
        }
        for (backend, running) in cfg.backends.iter().zip(&self.backends) {
            state.put_instance(backend.to_listed_instance(running.server.addr()));
        }
    }
}

fn start_platform(cfg: &PlatformConfig, seed: u64) -> io::Result<RunningStandin<MemoryPlatform>> {
    let state = MemoryPlatform::with_limits(cfg.limits, seed);
    state.set_list_lag_ms(cfg.list_lag_ms);
    for instance in &cfg.instances {
        state.put_instance(instance.clone());
    }
    let server = serve_platform(cfg.listen, Arc::clone(&state))?;
    Ok(RunningStandin { state, server })
}

fn start_workers(
    cfg: &StandinConfig,
    fleet: &FakeFleet,
) -> io::Result<Vec<RunningStandin<FakeWorker>>> {
    let workers = cfg.workers.iter().map(|worker| {
        let state = fleet.create(worker.worker.clone());
        // A stand-in stores nothing on disk, so a random incarnation distinguishes this worker from the one that an
        // earlier process ran.
        state.set_incarnation(fastrand::u32(1..u32::MAX));
        let server = serve_worker(worker.listen, Arc::clone(&state))?;
        fleet.insert(server.addr(), Arc::clone(&state));
        Ok(RunningStandin { state, server })
    });
    workers.collect()
}

fn start_backends(cfg: &StandinConfig) -> io::Result<Vec<RunningStandin<Backend>>> {
    let backends = (cfg.backends.iter().zip(1..)).map(|(backend, number)| {
        let state = Backend::new(backend.backend.clone(), cfg.seed.wrapping_add(number));
        let server = serve_backend(backend.listen, Arc::clone(&state))?;
        Ok(RunningStandin { state, server })
    });
    backends.collect()
}

impl WorkerConfig {
    fn to_listed_instance(&self, address: SocketAddr) -> Option<ListedInstance> {
        Some(ListedInstance {
            // Never fails: worker names and instance names have the same syntax.
            id: InstanceId::new(self.worker.id.as_str()).ok()?,
            zone: self.zone.clone(),
            address,
            state: InstanceState::Live,
            role: ListedRole::Worker {
                rack: self.rack.clone(),
                capacity: self.worker.capacity,
            },
        })
    }
}

impl BackendConfig {
    fn to_listed_instance(&self, address: SocketAddr) -> ListedInstance {
        let BackendSpec {
            id,
            zone,
            workspace,
            service,
            ..
        } = &self.backend;
        ListedInstance {
            id: id.clone(),
            zone: zone.clone(),
            address,
            state: InstanceState::Live,
            role: ListedRole::Backend {
                workspace: workspace.clone(),
                service: service.clone(),
            },
        }
    }
}

/// Runs the stand-ins of a configuration until `stop` is requested.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn serve(cfg: &StandinConfig, stop: &Stop) -> io::Result<()> {
    let _standins = Standins::start(cfg)?;
    stop.requested().await;
    Ok(())
}
