//! Several stand-ins in one process, described by one JSON document.

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

/// The stand-ins of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinConfig {
    /// The platform; its list holds all workers and backend servers below.
    pub platform: Option<PlatformConfig>,
    /// Workers.
    pub workers: Vec<WorkerConfig>,
    /// Backend servers.
    pub backends: Vec<BackendConfig>,
    /// Seed of random faults.
    pub seed: u64,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Rate limits.
    #[serde(default)]
    pub limits: RateLimits,
    /// Age of the list that readers see, in ms.
    #[serde(default)]
    pub list_lag_ms: u64,
    /// Instances that other processes run, such as entry instances.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerConfig {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Rack.
    pub rack: Rack,
    /// Description.
    pub worker: WorkerSpec,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendConfig {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Description.
    pub backend: BackendSpec,
}

/// A running stand-in with its state.
#[derive(Debug)]
pub struct RunningStandin<T> {
    /// Its state, with the fault switches.
    pub state: Arc<T>,
    /// Its socket.
    pub server: ServerHandle,
}

/// The running stand-ins; dropping them stops them.
pub struct Standins {
    /// The platform.
    pub platform: Option<RunningStandin<MemoryPlatform>>,
    /// Workers in the order of the configuration.
    pub workers: Vec<RunningStandin<FakeWorker>>,
    /// Backend servers in the order of the configuration.
    pub backends: Vec<RunningStandin<Backend>>,
    /// The workers' common clock and history.
    pub fleet: FakeFleet,
}

impl Standins {
    /// Starts all stand-ins.
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
        standins.list_all(cfg);
        Ok(standins)
    }

    fn list_all(&self, cfg: &StandinConfig) {
        let Some(RunningStandin { state, .. }) = &self.platform else {
            return;
        };
        for (worker, running) in cfg.workers.iter().zip(&self.workers) {
            if let Some(instance) = worker.listed(running.server.addr()) {
                state.put_instance(instance);
            }
        }
        for (backend, running) in cfg.backends.iter().zip(&self.backends) {
            state.put_instance(backend.listed(running.server.addr()));
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
        // Nothing is kept from one process to the next, so a random number tells their workers apart.
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
    fn listed(&self, address: SocketAddr) -> Option<ListedInstance> {
        Some(ListedInstance {
            // All names obey one rule, so the name of a worker is also one of an instance.
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
    fn listed(&self, address: SocketAddr) -> ListedInstance {
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

/// Serves the stand-ins until the stop is requested.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn serve(cfg: &StandinConfig, stop: &Stop) -> io::Result<()> {
    let _standins = Standins::start(cfg)?;
    stop.requested().await;
    Ok(())
}
