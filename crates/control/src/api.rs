//! Types of the public interface.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse},
    ragwortreel_model::{
        Incarnation, InstanceId, JobId, JobState, Pool, ServiceName, Settings, SettingsError,
        SpecError, Workspace, WorkspaceSettings, Zone,
    },
    ragwortreel_placement::PoolStats,
    ragwortreel_platform::InstanceState,
    ragwortreel_routing::{BackendId, BackendUsage, SlotShares},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// A settings tree and its version.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedSettings {
    /// Version; 0 before the first change of the cell.
    pub version: u64,
    /// SHA-256 of the JSON document, in hexadecimal.
    pub sha256: Arc<str>,
    /// The JSON document.
    pub json: Arc<str>,
    /// The tree.
    pub settings: Settings,
}

/// A change of the settings.
#[derive(Debug, Clone)]
pub enum SettingsChange {
    /// Replaces the whole tree.
    Whole(Settings),
    /// Replaces one workspace's branch; absent to remove it.
    Workspace(Workspace, Option<WorkspaceSettings>),
}

/// Why a change of the settings was not confirmed.
#[derive(Debug, Clone, Display, Error)]
pub enum SettingsChangeError {
    /// What the change is about was changed since its base version; nothing was changed.
    #[display("the settings were changed: the current version is {}", current.version)]
    Conflict {
        /// The settings as they are.
        #[error(not(source))]
        current: Arc<VersionedSettings>,
    },
    /// The tree cannot be accepted; nothing was changed.
    #[display("{_0}")]
    Invalid(SettingsError),
    /// The table service does not take changes; nothing was changed.
    #[display("the table service is not available, nothing was changed: {problem}")]
    Unavailable {
        /// What went wrong.
        problem: Arc<str>,
    },
    /// The change may or may not have taken effect.
    #[display("the outcome of the change is unknown: {problem}")]
    Unknown {
        /// What went wrong.
        problem: Arc<str>,
    },
}

/// Why a call about jobs was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum JobError {
    /// The specification cannot be accepted.
    #[display("{_0}")]
    Invalid(SpecError),
    /// A job of that identifier exists with another specification.
    #[display("job {job} exists with another specification")]
    Conflict {
        /// Identifier of the job.
        #[error(not(source))]
        job: JobId,
    },
    /// The job is not known, or is another workspace's.
    #[display("job {job} is not known")]
    NotFound {
        /// Identifier of the job.
        #[error(not(source))]
        job: JobId,
    },
    /// The job has ended before.
    #[display("job {job} has ended: {state}")]
    Ended {
        /// Identifier of the job.
        job: JobId,
        /// Its state.
        state: JobState,
    },
    /// Refused, nothing was done.
    #[display("refused: {problem}, retry after {retry_after_ms} ms")]
    Refused {
        /// Why.
        problem: Arc<str>,
        /// Time after which a further try is sensible.
        retry_after_ms: u64,
    },
    /// The call may or may not have taken effect.
    #[display("outcome unknown: {problem}")]
    Unknown {
        /// What went wrong.
        problem: Arc<str>,
    },
}

/// How another instance was last reached over the entry link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Our heartbeats were answered within the lease time.
    pub answers_heartbeats: bool,
    /// Its heartbeats arrived within the lease time.
    pub sends_heartbeats: bool,
    /// Its port refused our last connection.
    pub refuses_connections: bool,
    /// Number of its process, by its last heartbeat; differs from its row's just after a restart.
    pub incarnation: Incarnation,
    /// Settings version in force there, by its last heartbeat.
    pub settings_version: u64,
    /// Requests that it has in flight, by its last heartbeat.
    pub in_flight: u64,
    /// Requests that wait there, by its last heartbeat.
    pub queued: u64,
    /// Round trip of the last answered heartbeat, in ms.
    pub round_trip_ms: u64,
    /// Number of heartbeats and answers received from it.
    pub heartbeats_received: u64,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub instance: InstanceId,
    /// Number of its process.
    pub incarnation: Incarnation,
    /// Zone.
    pub zone: Zone,
    /// Region.
    pub region: Arc<str>,
    /// Address for calls between entry instances.
    pub address: SocketAddr,
    /// Its row was renewed within the lease time.
    pub is_live: bool,
    /// It is about to stop.
    pub is_leaving: bool,
    /// It is this instance.
    pub is_self: bool,
    /// How it was last reached.
    pub link: LinkState,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Name.
    pub id: InstanceId,
    /// Zone.
    pub zone: Zone,
    /// Address.
    pub address: SocketAddr,
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// State.
    pub state: InstanceState,
}

/// Load of an instance for its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Free slots by `workspace/service`.
    pub free_slots: BTreeMap<String, u32>,
}

/// The part of an instance that serves requests, as the control part sees it.
#[async_trait]
pub trait DataPlane: Send + Sync {
    /// Serves a request that another zone forwarded.
    async fn serve_forwarded(&self, req: ForwardedRequest) -> ForwardedResponse;
    /// Takes over what may be used of each backend server; called before the release is reported.
    fn apply_shares(&self, shares: &SlotShares);
    /// What is in use of each backend server.
    fn in_use(&self) -> BTreeMap<BackendId, BackendUsage>;
    /// Load now.
    fn load(&self) -> Load;
    /// Begins a graceful stop of the instance.
    fn drain(&self);
    /// Counts for the service-level-burn report, as JSON.
    fn burn_counts(&self) -> Vec<u8>;
}

/// Figures of a pool that this instance owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolMetrics {
    /// The pool.
    pub pool: Pool,
    /// Ownership epoch.
    pub epoch: u64,
    /// Figures of its scheduler.
    pub stats: PoolStats,
    /// Workers that have not reported under this epoch.
    pub unreported_workers: u64,
    /// Tasks whose earlier run may be alive on a silent worker.
    pub uncertain_tasks: u64,
    /// Journal records that are not durable yet.
    pub unflushed_journal_records: u64,
}

/// Figures of an instance for metrics; counts are since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlMetrics {
    /// Whether the instance is ready.
    pub is_ready: bool,
    /// Settings version in force.
    pub settings_version: u64,
    /// Slot epoch of the instance's zone.
    pub slot_epoch: u64,
    /// Pools that the instance owns.
    pub pools: Vec<PoolMetrics>,
    /// Instances whose rows are renewed.
    pub live_members: u64,
    /// Renewals of the own row that failed.
    pub failed_renewals: u64,
    /// Scans of the control rows that failed.
    pub failed_scans: u64,
    /// Times that the own row was found fenced.
    pub fences: u64,
    /// Pools taken over.
    pub takeovers: u64,
    /// Journal rows written.
    pub journal_writes: u64,
    /// Snapshots written.
    pub snapshots: u64,
    /// Starts sent to workers.
    pub starts: u64,
    /// Runs that ended.
    pub ended_runs: u64,
    /// Runs stopped because they are not in the journal.
    pub orphans: u64,
}
