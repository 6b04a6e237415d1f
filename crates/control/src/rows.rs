//! Keys and contents of the table rows of the control plane.

use {
    ragwortreel_model::{
        Attempt, Epoch, Incarnation, InstanceId, JobId, JobSpec, JobState, Pool, Resources,
        WorkerId, Workspace, Zone,
    },
    ragwortreel_platform::{Check, Row, Write},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Key prefix of instance rows.
pub(crate) const INSTANCES: &str = "instance/";
/// Key prefix of pool rows.
pub(crate) const POOLS: &str = "pool/";
/// Key prefix of the rows that hold the epoch up to which a pool's previous owners have certainly stopped.
pub(crate) const SETTLED: &str = "settled/";
/// Key prefix of slot epoch rows.
pub(crate) const SLOTS: &str = "slots/";
/// Key prefix of job rows.
pub(crate) const JOBS: &str = "job/";
/// Key prefix of the rows that mark drained workers.
pub(crate) const DRAINS: &str = "drain/";
/// Key of the row with the newest settings version.
pub(crate) const SETTINGS_HEAD: &str = "settings/head";

/// Lease row of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceRow {
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub zone: Zone,
    pub region: Arc<str>,
    /// Incremented by each renewal attempt, so that observers see the row change.
    pub counter: u64,
    pub leaving: bool,
    /// Fence mark, set by another instance that takes over pools or slots; the instance then relinquishes everything.
    pub fenced: bool,
}

/// A previous owner of a pool that is not proven to have stopped sending commands to workers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct PreviousOwner {
    pub owner: InstanceId,
    pub incarnation: Incarnation,
}

/// Ownership of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolRow {
    pub owner: InstanceId,
    pub incarnation: Incarnation,
    pub epoch: Epoch,
    /// The owner has stopped sending commands to workers and released the pool.
    pub released: bool,
    /// Previous owners whose task renewals may still take effect. Kept over later changes of ownership, because a
    /// network partition of a zone may last longer than several owners.
    #[serde(default)]
    pub unproven: Vec<PreviousOwner>,
}

/// Slot epoch of a zone: the members among which the slots of its backend servers are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotsRow {
    pub epoch: Epoch,
    pub members: Vec<InstanceId>,
    /// Member lists of previous epochs, oldest first, for members that missed some of them.
    #[serde(default)]
    pub recent: Vec<Vec<InstanceId>>,
}

/// The newest settings version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    pub version: u64,
    pub sha256: Arc<str>,
}

/// Content of a settings version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentRow {
    pub sha256: Arc<str>,
    /// The JSON document; `None` if it is too large for a row and is in the object store.
    pub json: Option<Arc<str>>,
}

/// Author of a settings version; retained longer than the content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuthorRow {
    /// Unique identifier of the change attempt, by which its instance recognises its own write.
    pub change: Arc<str>,
}

/// A job with its pool and last written state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRow {
    pub spec: JobSpec,
    pub pool: Pool,
    pub state: JobState,
    pub failures: u32,
}

/// Position of a pool's latest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotRow {
    pub epoch: Epoch,
    /// Sequence number of the last journal row that the snapshot covers.
    pub seq: u64,
}

/// Grants of a workspace's quota to pools.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuotaRow {
    pub grants: BTreeMap<Pool, Resources>,
}

pub(crate) fn instance_key(id: &InstanceId) -> Arc<str> {
    format!("{INSTANCES}{id}").into()
}

pub(crate) fn pool_key(pool: &Pool) -> Arc<str> {
    format!("{POOLS}{pool}").into()
}

pub(crate) fn settled_key(pool: &Pool) -> Arc<str> {
    format!("{SETTLED}{pool}").into()
}

pub(crate) fn slots_key(zone: &Zone) -> Arc<str> {
    format!("{SLOTS}{zone}").into()
}

pub(crate) fn job_key(job: &JobId) -> Arc<str> {
    format!("{JOBS}{job}").into()
}

pub(crate) fn drain_key(worker: &WorkerId) -> Arc<str> {
    format!("{DRAINS}{worker}").into()
}

pub(crate) fn quota_key(workspace: &Workspace) -> Arc<str> {
    format!("quota/{workspace}").into()
}

pub(crate) fn content_key(version: u64) -> Arc<str> {
    format!("settings/v/{version:020}").into()
}

pub(crate) fn author_key(version: u64) -> Arc<str> {
    format!("settings/by/{version:020}").into()
}

pub(crate) fn content_object(sha256: &str) -> String {
    format!("settings/{sha256}")
}

pub(crate) fn snapshot_key(pool: &Pool) -> Arc<str> {
    format!("snapshot/{pool}").into()
}

pub(crate) fn snapshot_object(pool: &Pool, at: &SnapshotRow) -> String {
    format!("snapshot/{pool}/{}-{}", at.epoch, at.seq)
}

pub(crate) fn journal_prefix(pool: &Pool) -> String {
    format!("journal/{pool}/")
}

/// Key of a journal row; numbers are zero-padded so that keys sort in the order of writing.
pub(crate) fn journal_key(pool: &Pool, epoch: Epoch, seq: u64) -> Arc<str> {
    format!("journal/{pool}/{:020}/{seq:020}", epoch.0).into()
}

/// Parses the epoch and sequence number from a journal row's key.
pub(crate) fn parse_journal_key(key: &str) -> Option<(Epoch, u64)> {
    let mut parts = key.rsplit('/');
    let seq = parts.next()?.parse().ok()?;
    let epoch = parts.next()?.parse().ok()?;
    Some((Epoch(epoch), seq))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Arc<str> {
    // JSON encoding fails only for maps with non-string keys, which the row types do not contain.
    serde_json::to_string(value)
        .expect("row types encode as JSON")
        .into()
}

pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, serde_json::Error> {
    serde_json::from_str(&row.value)
}

pub(crate) fn check(key: &Arc<str>, version: u64) -> Check {
    Check {
        key: Arc::clone(key),
        version,
    }
}

pub(crate) fn put<T: Serialize>(key: &Arc<str>, value: &T) -> Write {
    Write {
        key: Arc::clone(key),
        value: Some(encode(value)),
    }
}

pub(crate) fn delete(key: &Arc<str>) -> Write {
    Write {
        key: Arc::clone(key),
        value: None,
    }
}

/// Identifies a run: its task and attempt.
pub(crate) type RunKey = (ragwortreel_model::TaskId, Attempt);
