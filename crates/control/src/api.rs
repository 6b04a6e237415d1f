//! Public types of the control plane.

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

/// A versioned settings tree.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedSettings {
    /// Version; 0 until the first change of the settings.
    pub version: u64,
    /// SHA-256 of [`Self::json`], in lowercase hexadecimal.
    pub sha256: Arc<str>,
    /// The tree as a JSON document.
    pub json: Arc<str>,
    /// The parsed tree.
    pub settings: Settings,
}

/// A requested change of the settings.
#[derive(Debug, Clone)]
pub enum SettingsChange {
    /// Replaces the whole tree.
    Whole(Settings),
    /// Replaces the branch of one workspace; `None` removes it.
    Workspace(Workspace, Option<WorkspaceSettings>),
}

/// Error of a settings change.
#[derive(Debug, Clone, Display, Error)]
pub enum SettingsChangeError {
    /// The tree or branch has changed since the base version; nothing was changed.
    #[display("the settings were changed: the current version is {}", current.version)]
    Conflict {
        /// The current settings.
        #[error(not(source))]
        current: Arc<VersionedSettings>,
    },
    /// The new tree is invalid; nothing was changed.
    #[display("{_0}")]
    Invalid(SettingsError),
    /// The table service is unavailable; nothing was changed.
    #[display("the table service is not available, nothing was changed: {problem}")]
    Unavailable {
        /// Cause reported by the table service.
        problem: Arc<str>,
    },
    /// The change may or may not have taken effect.
    #[display("the outcome of the change is unknown: {problem}")]
    Unknown {
        /// Cause of the unknown outcome.
        problem: Arc<str>,
    },
}

/// Error of a call about a job.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum JobError {
    /// The job specification is invalid.
    #[display("{_0}")]
    Invalid(SpecError),
    /// Another job specification is stored under the same identifier.
    #[display("job {job} exists with another specification")]
    Conflict {
        /// Identifier of the job.
        #[error(not(source))]
        job: JobId,
    },
    /// The job does not exist or belongs to another workspace.
    #[display("job {job} is not known")]
    NotFound {
        /// Identifier of the job.
        #[error(not(source))]
        job: JobId,
    },
    /// The job has already ended.
    #[display("job {job} has ended: {state}")]
    Ended {
        /// Identifier of the job.
        job: JobId,
        /// Final state of the job.
        state: JobState,
    },
    /// The call was refused; it had no effect.
    #[display("refused: {problem}, retry after {retry_after_ms} ms")]
    Refused {
        /// Reason for the refusal.
        problem: Arc<str>,
        /// Delay before the caller should retry, in ms.
        retry_after_ms: u64,
    },
    /// The call may or may not have taken effect.
    #[display("outcome unknown: {problem}")]
    Unknown {
        /// Cause of the unknown outcome.
        problem: Arc<str>,
    },
}

/// Heartbeat state of a peer on the link between entry instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The peer answered a heartbeat of this instance within the lease time.
    pub answers_heartbeats: bool,
    /// A heartbeat from the peer arrived within the lease time.
    pub sends_heartbeats: bool,
    /// The peer's port refused the last connection attempt.
    pub refuses_connections: bool,
    /// Incarnation from the peer's last heartbeat; differs from its row shortly after a restart.
    pub incarnation: Incarnation,
    /// Settings version in force at the peer, from its last heartbeat.
    pub settings_version: u64,
    /// Requests in flight at the peer, from its last heartbeat.
    pub in_flight: u64,
    /// Requests queued at the peer, from its last heartbeat.
    pub queued: u64,
    /// Round-trip time of the last answered heartbeat, in ms.
    pub round_trip_ms: u64,
    /// Number of heartbeats and heartbeat replies received from the peer.
    pub heartbeats_received: u64,
}

/// An entry instance as seen by this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation, which identifies the process behind the name.
    pub incarnation: Incarnation,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Address for calls between entry instances.
    pub address: SocketAddr,
    /// The instance's row was renewed within the lease time.
    pub is_live: bool,
    /// The instance is shutting down.
    pub is_leaving: bool,
    /// The member is this instance itself.
    pub is_self: bool,
    /// Heartbeat state of the link to the instance.
    pub link: LinkState,
}

/// A backend server from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Name of the backend server.
    pub id: InstanceId,
    /// Availability zone of the backend server.
    pub zone: Zone,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Service that it runs.
    pub service: ServiceName,
    /// Lifecycle state; never goes back to an earlier state.
    pub state: InstanceState,
}

/// Request load of an instance, sent in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u64,
    /// Requests waiting in a queue.
    pub queued: u64,
    /// Free slots by `workspace/service`.
    pub free_slots: BTreeMap<String, u32>,
}

/// The data plane of an instance, which serves requests, as used by the control plane.
#[async_trait]
pub trait DataPlane: Send + Sync {
    /// Serves a request that was forwarded from another availability zone.
    async fn serve_forwarded(&self, req: ForwardedRequest) -> ForwardedResponse;
    /// Applies the slot and connection limits of each backend server; called before a release is reported to other
    /// members.
    fn apply_shares(&self, shares: &SlotShares);
    /// Returns the slots and connections in use, by backend server.
    fn in_use(&self) -> BTreeMap<BackendId, BackendUsage>;
    /// Returns the current request load.
    fn load(&self) -> Load;
    /// Starts a graceful shutdown of the instance.
    fn drain(&self);
    /// Returns the counts for the SLO burn-rate report, as JSON.
    fn burn_counts(&self) -> Vec<u8>;
}

/// Metrics of a pool that this instance owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolMetrics {
    /// Name of the pool.
    pub pool: Pool,
    /// Ownership epoch of the pool.
    pub epoch: u64,
    /// Statistics of the pool's scheduler.
    pub stats: PoolStats,
    /// Workers that have not reported since this instance took over the pool.
    pub unreported_workers: u64,
    /// Runs on silent workers that may still be executing.
    pub uncertain_tasks: u64,
    /// Journal records that are not durable yet.
    pub unflushed_journal_records: u64,
}

/// Metrics of the control plane; counters start at 0 when the process starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlMetrics {
    /// Whether the instance is ready to serve.
    pub is_ready: bool,
    /// Settings version in force.
    pub settings_version: u64,
    /// Newest slot epoch known for the instance's availability zone.
    pub slot_epoch: u64,
    /// Pools that the instance owns.
    pub pools: Vec<PoolMetrics>,
    /// Instances whose rows were renewed within the lease time.
    pub live_members: u64,
    /// Failed renewals of the instance's own row.
    pub failed_renewals: u64,
    /// Failed scans of the control rows.
    pub failed_scans: u64,
    /// Times that the instance found its own row fenced.
    pub fences: u64,
    /// Pools that the instance took over.
    pub takeovers: u64,
    /// Journal rows written.
    pub journal_writes: u64,
    /// Snapshots written.
    pub snapshots: u64,
    /// Task starts sent to workers.
    pub starts: u64,
    /// Runs that ended or were never started.
    pub ended_runs: u64,
    /// Orphaned runs stopped because the journal has no record of them.
    pub orphans: u64,
}
