//! The public handle of the control plane.

use {
    crate::{
        api::{
            Backend, ControlMetrics, DataPlane, JobError, Member, SettingsChange,
            SettingsChangeError, VersionedSettings,
        },
        backends,
        config::{ControlConfig, SchedulerFactory},
        entry_service::ControlEntryService,
        events::POOL_RELEASED,
        job_routing, membership,
        metrics::{Counters, PlacementSample, Placements},
        owner::Message,
        peers::Peers,
        rows::{self, PoolRow},
        settings::SettingsStore,
        settings_change,
        shared::Shared,
        slots::{self, SlotState},
        store::{CommitOutcome, commit_until_known, with_timeout},
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

/// Time limit of each step of a planned shutdown, in ms.
const LEAVE_STEP_TIMEOUT_MS: u64 = 3_000;

/// External services and factories used by the control plane.
pub struct Connections {
    /// Table service for control rows, job rows and journals.
    pub table: Arc<dyn TableService>,
    /// Object store for snapshots and large settings trees.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub list: Arc<dyn InstanceList>,
    /// Connector to workers.
    pub workers: Arc<dyn WorkerConnector>,
    /// Connector to other entry instances.
    pub peers: Arc<dyn PeerConnector>,
    /// Factory for pool schedulers.
    pub schedulers: SchedulerFactory,
}

/// Handle of an instance's control plane; clones share the same state.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
}

impl Control {
    /// Starts the control plane; its tasks end when `stop` is requested.
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
            instance_list: connections.list,
            worker_connector: connections.workers,
            peer_connector: connections.peers,
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
            platform_list: Mutex::default(),
            backends: Mutex::default(),
            data_plane: RwLock::new(None),
            counters: Counters::default(),
            placements: Placements::default(),
        });
        spawn(membership::renew_loop(Arc::clone(&shared))).detach();
        spawn(membership::scan_loop(Arc::clone(&shared))).detach();
        spawn(membership::list_loop(Arc::clone(&shared))).detach();
        Self { shared }
    }

    /// Returns the RPC service for calls from other entry instances.
    #[must_use]
    pub fn entry_service(&self) -> Arc<dyn EntryService> {
        Arc::new(ControlEntryService(Arc::clone(&self.shared)))
    }

    /// Sets the data plane; until then, forwarded requests are refused.
    pub fn set_data_plane(&self, data_plane: Arc<dyn DataPlane>) {
        let mut slot = self
            .shared
            .data_plane
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *slot = Some(data_plane);
    }

    /// Returns the client of another entry instance, or `None` if no row of it has been read.
    #[must_use]
    pub fn peer(&self, id: &InstanceId) -> Option<Arc<dyn EntryPeer>> {
        self.shared.peers.client(id)
    }

    /// Returns the free slots by `workspace/service` from another instance's last heartbeat.
    #[must_use]
    pub fn free_slots_of(&self, id: &InstanceId) -> BTreeMap<String, u32> {
        self.shared.peers.free_slots(id)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<VersionedSettings> {
        self.shared.settings.current()
    }

    /// Subscribes to the settings in force and all newer versions; a slow reader skips intermediate versions.
    #[must_use]
    pub fn subscribe_settings(&self) -> Receiver<Arc<VersionedSettings>> {
        self.shared.settings.subscribe()
    }

    /// Changes the settings and returns the new version once it is durable.
    ///
    /// # Errors
    ///
    /// Returns a conflict if the tree or branch has changed since `base_version`. Other errors distinguish a change
    /// that was not made from one with an unknown outcome.
    pub async fn change_settings(
        &self,
        base_version: u64,
        change: SettingsChange,
    ) -> Result<u64, SettingsChangeError> {
        settings_change::change_settings(&self.shared, base_version, &change).await
    }

    /// Submits a job; repeating a submission with the same specification returns the existing job.
    ///
    /// # Errors
    ///
    /// Distinguishes a refusal, after which the job does not exist, from an unknown outcome.
    pub async fn submit_job(&self, spec: JobSpec) -> Result<JobStatus, JobError> {
        job_routing::submit(&self.shared, spec).await
    }

    /// Cancels a job; if `workspace` is given, the job must belong to it.
    ///
    /// # Errors
    ///
    /// Distinguishes a refusal, after which the job continues, from an unknown outcome.
    pub async fn cancel_job(
        &self,
        job: &JobId,
        workspace: Option<&Workspace>,
    ) -> Result<JobStatus, JobError> {
        job_routing::cancel(&self.shared, job, workspace).await
    }

    /// Describes one job, or all live and recently ended jobs; if `workspace` is given, only jobs of that workspace.
    ///
    /// # Errors
    ///
    /// Returns an error if the job does not exist or the owner of a pool does not answer.
    pub async fn describe_jobs(
        &self,
        workspace: Option<&Workspace>,
        job: Option<&JobId>,
    ) -> Result<Vec<JobStatus>, JobError> {
        job_routing::describe(&self.shared, workspace, job).await
    }

    /// Lists all entry instances that have a row, including this one.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.shared.members()
    }

    /// Applies the current slot shares of all backend servers to the data plane and returns them.
    #[must_use]
    pub fn refresh_slot_shares(&self) -> SlotShares {
        slots::refresh_shares(&self.shared)
    }

    /// Returns whether this instance is in the newest slot epoch of its zone and all other members have released the
    /// shares of earlier epochs.
    #[must_use]
    pub fn has_full_slot_share(&self) -> bool {
        let slots = lock(&self.shared.slots);
        slots.has_member(&self.shared.cfg.instance) && slots.all_members_have_released()
    }

    /// Returns the members of the newest slot epoch of this instance's zone.
    #[must_use]
    pub fn slot_members(&self) -> Vec<InstanceId> {
        lock(&self.shared.slots).members().to_vec()
    }

    /// Returns the backend servers of all zones.
    #[must_use]
    pub fn backends(&self) -> Arc<Vec<Backend>> {
        Arc::clone(&lock(&self.shared.backends))
    }

    /// Marks a backend server as leaving before the platform's list reports it.
    pub fn mark_backend_leaving(&self, id: &InstanceId) {
        backends::mark_leaving(&self.shared, id);
    }

    /// Returns whether the newest settings were read from the table since the start and the instance's row is renewed.
    ///
    /// A ready instance remains ready while the table service is unavailable.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let joined = lock(&self.shared.lease).joined_ms.is_some();
        joined && self.shared.settings.is_synced_with_head() && !self.shared.is_leaving()
    }

    /// Drains a worker, or ends its drain; takes effect with the next scan of the pool's owner.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service does not confirm the change.
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
        // The write is idempotent, so the caller can retry after an unknown outcome.
        let result = with_timeout("drain worker", self.shared.table.commit(txn)).await;
        result.map(drop).map_err(|err| JobError::Unknown {
            problem: err.to_string().into(),
        })
    }

    /// Hands over pools and slots before a planned shutdown; the caller stops the process afterwards.
    ///
    /// The instance first marks its row as leaving, so that others take over its pools and slots. Each step has a time
    /// limit; whatever is not handed over in time is taken over as after a failure.
    pub async fn leave(&self) {
        let shared = &self.shared;
        shared.leaving.store(true, Ordering::SeqCst);
        // The next renewal writes the leaving mark. This instance takes no pools while it is leaving, so it cannot
        // take back a pool that it releases before that renewal.
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
            if !matches!(
                timeout_ms(LEAVE_STEP_TIMEOUT_MS, rx.recv()).await,
                Ok(Ok(()))
            ) {
                continue;
            }
            let _ = timeout_ms(LEAVE_STEP_TIMEOUT_MS, self.write_released(&handle)).await;
            lock(&shared.owners).remove(&handle.pool);
        }
        let slots_released = async {
            while lock(&shared.slots).has_member(&shared.cfg.instance) {
                sleep_ms(shared.cfg.timings.scan_ms).await;
            }
        };
        let _ = timeout_ms(LEAVE_STEP_TIMEOUT_MS, slots_released).await;
    }

    async fn write_released(&self, handle: &crate::owner::OwnerHandle) {
        let shared = &self.shared;
        let key = rows::pool_key(&handle.pool);
        let row = PoolRow {
            owner: shared.cfg.instance.clone(),
            incarnation: shared.cfg.incarnation,
            epoch: handle.epoch(),
            released: true,
            unproven: handle.unproven_owners().to_vec(),
        };
        let txn = Txn {
            checks: vec![rows::check(&key, handle.row_version())],
            writes: vec![rows::put(&key, &row)],
        };
        let should_retry = || !shared.stop.is_requested();
        let outcome = commit_until_known(&*shared.table, &txn, should_retry).await;
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            log_event!(shared.log, POOL_RELEASED; "pool" => handle.pool.as_str());
        }
    }

    /// Returns the receiver of placement samples for this instance's pools; each sample goes to one receiver.
    #[must_use]
    pub fn placement_samples(&self) -> Receiver<PlacementSample> {
        self.shared.placements.reader()
    }

    /// Returns the current metrics.
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
