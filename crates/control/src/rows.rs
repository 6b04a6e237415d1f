//! Keys and contents of the table rows that this package owns.

use {
    ragwortreel_model::{
        Attempt, Epoch, Incarnation, InstanceId, JobId, JobSpec, JobState, Pool, Resources,
        WorkerId, Workspace, Zone,
    },
    ragwortreel_platform::{Check, Row, Write},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Prefix of the rows of instances.
pub(crate) const INSTANCES: &str = "instance/";
/// Prefix of the rows of pools.
pub(crate) const POOLS: &str = "pool/";
/// Prefix of the rows that say up to which epoch a pool's earlier owners have certainly stopped.
pub(crate) const SETTLED: &str = "settled/";
/// Prefix of the rows of slot epochs.
pub(crate) const SLOTS: &str = "slots/";
/// Prefix of the rows of jobs.
pub(crate) const JOBS: &str = "job/";
/// Prefix of the rows of workers that are drained.
pub(crate) const DRAINS: &str = "drain/";
/// Row with the newest settings version.
pub(crate) const SETTINGS_HEAD: &str = "settings/head";

/// Liveness of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceRow {
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub zone: Zone,
    pub region: Arc<str>,
    /// Raised by each renewal.
    pub counter: u64,
    pub leaving: bool,
    /// Set by another instance that took over pools or slots; the instance gives up everything when it sees this.
    pub fenced: bool,
}

/// A process that owned a pool before and is not proven to have stopped its commands.
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
    /// The owner has stopped all its commands and given up the pool.
    pub released: bool,
    /// Earlier owners whose renewals of tasks may still count. Kept over further changes of the owner, because a zone
    /// that is cut off may outlast them.
    #[serde(default)]
    pub unproven: Vec<PreviousOwner>,
}

/// Members among which the slots of a zone's backend servers are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotsRow {
    pub epoch: Epoch,
    pub members: Vec<InstanceId>,
    /// Member lists of the epochs before, oldest first, for a member that missed some.
    #[serde(default)]
    pub recent: Vec<Vec<InstanceId>>,
}

/// Newest settings version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    pub version: u64,
    pub sha256: Arc<str>,
}

/// Content of a settings version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentRow {
    pub sha256: Arc<str>,
    /// The tree, unless it is too large for a row and stands in the object store.
    pub json: Option<Arc<str>>,
}

/// Author of a settings version; kept longer than its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuthorRow {
    /// Unique for each attempt to change, so that the attempt's instance recognises it.
    pub change: Arc<str>,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRow {
    pub spec: JobSpec,
    pub pool: Pool,
    pub state: JobState,
    pub failures: u32,
}

/// The latest snapshot of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotRow {
    pub epoch: Epoch,
    /// Last journal row that the snapshot covers.
    pub seq: u64,
}

/// Parts of a workspace's quota that pools may use.
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

/// Key of a journal row; the numbers are padded so that keys sort in order of writing.
pub(crate) fn journal_key(pool: &Pool, epoch: Epoch, seq: u64) -> Arc<str> {
    format!("journal/{pool}/{:020}/{seq:020}", epoch.0).into()
}

/// Epoch and sequence number of a journal row's key.
pub(crate) fn parse_journal_key(key: &str) -> Option<(Epoch, u64)> {
    let mut parts = key.rsplit('/');
    let seq = parts.next()?.parse().ok()?;
    let epoch = parts.next()?.parse().ok()?;
    Some((Epoch(epoch), seq))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Arc<str> {
    // The row types hold no map with keys other than strings, the only case that fails.
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

/// Identifies a run in messages and maps.
pub(crate) type RunKey = (ragwortreel_model::TaskId, Attempt);
