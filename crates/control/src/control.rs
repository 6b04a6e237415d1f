//! The public handle.

use {
    crate::{
        api::{
            Backend, ControlMetrics, DataPlane, JobError, Member, SettingsChange,
            SettingsChangeError, VersionedSettings,
        },
        backends, change,
        config::{ControlConfig, SchedulerFactory},
        events::POOL_RELEASED,
        membership,
        metrics::{Counters, PlacementSample, Placements},
        owner::Message,
        peers::Peers,
        routing,
        rows::{self, PoolRow},
        service::Service,
        settings::SettingsStore,
        shared::Shared,
        slots::{self, SlotState},
        store::{Definite, commit_definite, limited},
    },
    async_channel::Receiver,
    ragwortreel_entry::{EntryPeer, EntryService, PeerConnector},
    ragwortreel_model::{Clock, InstanceId, JobId, JobSpec, JobStatus, WorkerId, Workspace},
    ragwortreel_platform::{InstanceList, ObjectStore, TableService, Txn},
    ragwortreel_routing::SlotShares,
    ragwortreel_runtime::{Logger, Stop, lock, log_event, sleep_ms, spawn, timeout_ms},
    ragwortreel_worker::WorkerConnector,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Time that a planned stop gives each step, in ms.
const LEAVE_STEP_MS: u64 = 3_000;

/// What the control part talks to.
pub struct Connections {
    /// Table service.
    pub table: Arc<dyn TableService>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list.
    pub list: Arc<dyn InstanceList>,
    /// Workers.
    pub workers: Arc<dyn WorkerConnector>,
    /// Other entry instances.
    pub peers: Arc<dyn PeerConnector>,
    /// Schedulers of pools.
    pub schedulers: SchedulerFactory,
}

/// The control part of an instance; clones share it.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
}

impl Control {
    /// Starts the control part; its tasks end when the stop is requested.
    #[must_use]
    pub fn start(
        cfg: ControlConfig,
        connections: Connections,
        clock: Arc<dyn Clock>,
        log: Logger,
        stop: Stop,
    ) -> Self {
        let slots = Mutex::new(SlotState::new(cfg.instance.clone()));
        let shared = Arc::new(Shared {
            cfg,
            table: connections.table,
            objects: connections.objects,
            list: connections.list,
            workers: connections.workers,
            connector: connections.peers,
            schedulers: connections.schedulers,
            clock,
            log,
            stop,
            leaving: AtomicBool::new(false),
            lease: Mutex::default(),
            view: Mutex::default(),
            peers: Peers::default(),
            settings: SettingsStore::new(),
            slots,
            owners: Mutex::default(),
            vacancies: Mutex::default(),
            listed: Mutex::default(),
            backends: Mutex::default(),
            local: RwLock::new(None),
            counters: Counters::default(),
            placements: Placements::default(),
        });
        spawn(membership::renew_loop(Arc::clone(&shared))).detach();
        spawn(membership::scan_loop(Arc::clone(&shared))).detach();
        spawn(membership::list_loop(Arc::clone(&shared))).detach();
        Self { shared }
    }

    /// The answers to other entry instances, for the server of the entry link.
    #[must_use]
    pub fn entry_service(&self) -> Arc<dyn EntryService> {
        Arc::new(Service(Arc::clone(&self.shared)))
    }

    /// Names the part that serves requests; forwarded ones are refused before.
    pub fn set_data_plane(&self, local: Arc<dyn DataPlane>) {
        let mut slot = self
            .shared
            .local
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *slot = Some(local);
    }

    /// Client for another entry instance, if it is known.
    #[must_use]
    pub fn peer(&self, id: &InstanceId) -> Option<Arc<dyn EntryPeer>> {
        self.shared.peers.client(id)
    }

    /// Free slots by `workspace/service` of another instance, by its last heartbeat.
    #[must_use]
    pub fn free_slots_of(&self, id: &InstanceId) -> BTreeMap<String, u32> {
        self.shared.peers.free_slots(id)
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<VersionedSettings> {
        self.shared.settings.current()
    }

    /// The settings in force and then each newer tree; a slow reader misses the ones between.
    #[must_use]
    pub fn subscribe_settings(&self) -> Receiver<Arc<VersionedSettings>> {
        self.shared.settings.subscribe()
    }

    /// Changes the settings and returns the new version once it is durable.
    ///
    /// # Errors
    ///
    /// Returns a conflict when what the change is about was changed after `base_version`, and tells a change that was
    /// not made from one whose outcome is unknown.
    pub async fn change_settings(
        &self,
        base_version: u64,
        change: SettingsChange,
    ) -> Result<u64, SettingsChangeError> {
        change::change(&self.shared, base_version, &change).await
    }

    /// Submits a job; a repeat with the same specification returns the job as it is.
    ///
    /// # Errors
    ///
    /// Tells a refusal, after which the job does not exist, from an unknown outcome.
    pub async fn submit_job(&self, spec: JobSpec) -> Result<JobStatus, JobError> {
        routing::submit(&self.shared, spec).await
    }

    /// Cancels a job; with a workspace, only one of its own.
    ///
    /// # Errors
    ///
    /// Tells a refusal, after which the job goes on, from an unknown outcome.
    pub async fn cancel_job(
        &self,
        job: &JobId,
        workspace: Option<&Workspace>,
    ) -> Result<JobStatus, JobError> {
        routing::cancel(&self.shared, job, workspace).await
    }

    /// Describes a job, or all live and recently ended jobs; with a workspace, only its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the job is not known or a pool's owner does not answer.
    pub async fn describe_jobs(
        &self,
        workspace: Option<&Workspace>,
        job: Option<&JobId>,
    ) -> Result<Vec<JobStatus>, JobError> {
        routing::describe(&self.shared, workspace, job).await
    }

    /// All entry instances with a row.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.shared.members()
    }

    /// Hands what may be used now of each backend server to the part that serves requests, and returns it.
    #[must_use]
    pub fn refresh_slot_shares(&self) -> SlotShares {
        slots::refresh(&self.shared)
    }

    /// Whether this instance is in the newest slot epoch of its zone and no earlier share of a member keeps slots from
    /// it.
    #[must_use]
    pub fn has_full_slot_share(&self) -> bool {
        let slots = lock(&self.shared.slots);
        slots.has_member(&self.shared.cfg.instance) && slots.is_settled()
    }

    /// Members of the newest slot epoch of the own zone.
    #[must_use]
    pub fn slot_members(&self) -> Vec<InstanceId> {
        lock(&self.shared.slots).members().to_vec()
    }

    /// Backend servers of all zones.
    #[must_use]
    pub fn backends(&self) -> Arc<Vec<Backend>> {
        Arc::clone(&lock(&self.shared.backends))
    }

    /// Marks a backend server as leaving before the platform's list says so.
    pub fn mark_backend_leaving(&self, id: &InstanceId) {
        backends::mark_leaving(&self.shared, id);
    }

    /// Whether the newest settings were read from the table since the start and the own row is renewed.
    ///
    /// Once ready, an instance stays so while the table is down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let joined = lock(&self.shared.lease).joined_ms.is_some();
        joined && self.shared.settings.is_head_read() && !self.shared.is_leaving()
    }

    /// Gives a worker no new tasks, or ends this state; in force at the pool's owner with its next scan.
    ///
    /// # Errors
    ///
    /// Returns an error when the table service does not take the change.
    pub async fn set_worker_drained(
        &self,
        worker: &WorkerId,
        drained: bool,
    ) -> Result<(), JobError> {
        let key = rows::drain_key(worker);
        let write = if drained {
            rows::put(&key, &true)
        } else {
            rows::delete(&key)
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        // Setting or removing the mark twice does no harm, so an open outcome is repeated by the caller.
        let result = limited("drain worker", self.shared.table.commit(txn)).await;
        result.map(drop).map_err(|err| JobError::Unknown {
            problem: err.to_string().into(),
        })
    }

    /// Hands over pools and slots before a planned stop; the caller stops the process afterwards.
    ///
    /// The instance's row is marked as leaving first, so that others take its pools and slots. Each step is bounded;
    /// what is not handed over in time is taken by the others as after a failure.
    pub async fn leave(&self) {
        let shared = &self.shared;
        shared.leaving.store(true, Ordering::SeqCst);
        // The next renewal carries the mark; pools released before it could be taken again by this instance only if
        // it were not leaving.
        let owners: Vec<_> = lock(&shared.owners).values().cloned().collect();
        for handle in owners {
            let (tx, rx) = async_channel::bounded(1);
            if handle
                .sender()
                .send(Message::Release { reply: tx })
                .await
                .is_err()
            {
                continue;
            }
            if !matches!(timeout_ms(LEAVE_STEP_MS, rx.recv()).await, Ok(Ok(()))) {
                continue;
            }
            let _ = timeout_ms(LEAVE_STEP_MS, self.write_released(&handle)).await;
            lock(&shared.owners).remove(&handle.pool);
        }
        let slots_gone = async {
            while lock(&shared.slots).has_member(&shared.cfg.instance) {
                sleep_ms(shared.cfg.timings.scan_ms).await;
            }
        };
        let _ = timeout_ms(LEAVE_STEP_MS, slots_gone).await;
    }

    async fn write_released(&self, handle: &crate::owner::OwnerHandle) {
        let shared = &self.shared;
        let key = rows::pool_key(&handle.pool);
        let row = PoolRow {
            owner: shared.cfg.instance.clone(),
            incarnation: shared.cfg.incarnation,
            epoch: handle.epoch(),
            released: true,
            unproven: handle.unproven().to_vec(),
        };
        let txn = Txn {
            checks: vec![rows::check(&key, handle.row_version())],
            writes: vec![rows::put(&key, &row)],
        };
        let keep_on = || !shared.stop.is_requested();
        let definite = commit_definite(&*shared.table, &txn, keep_on).await;
        if matches!(definite, Definite::Committed { .. }) {
            log_event!(shared.log, POOL_RELEASED; "pool" => handle.pool.as_str());
        }
    }

    /// First starts of tasks on the pools of this instance, each read by one reader.
    #[must_use]
    pub fn placement_samples(&self) -> Receiver<PlacementSample> {
        self.shared.placements.reader()
    }

    /// Figures for metrics.
    #[must_use]
    pub fn metrics(&self) -> ControlMetrics {
        let shared = &self.shared;
        let owners: Vec<_> = lock(&shared.owners).values().cloned().collect();
        let counters = &shared.counters;
        ControlMetrics {
            is_ready: self.is_ready(),
            settings_version: shared.settings.current().version,
            slot_epoch: lock(&shared.slots).epoch().0,
            pools: owners.iter().filter_map(|owner| owner.metrics()).collect(),
            live_members: shared
                .members()
                .iter()
                .filter(|member| member.is_live)
                .count() as u64,
            failed_renewals: counters.failed_renewals.get(),
            failed_scans: counters.failed_scans.get(),
            fences: counters.fences.get(),
            takeovers: counters.takeovers.get(),
            journal_writes: counters.journal_writes.get(),
            snapshots: counters.snapshots.get(),
            starts: counters.starts.get(),
            ended_runs: counters.ended_runs.get(),
            orphans: counters.orphans.get(),
        }
    }
}
