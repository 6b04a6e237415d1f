//! The interfaces to the platform's services.
//!
//! All calls may fail at any time. [`PlatformError::Unknown`] means that a write may or may not have taken effect; the
//! caller reads back before it draws a conclusion.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_http::{ClientError, Sent},
    ragwortreel_model::{InstanceId, Rack, Resources, ServiceName, Workspace, Zone},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Most rows in one transaction.
pub const MAX_TXN_ROWS: usize = 100;
/// Most bytes of values in one transaction.
pub const MAX_TXN_BYTES: usize = 256 * 1024;

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: Arc<str>,
    /// Value, JSON text by convention.
    pub value: Arc<str>,
    /// Version, from 1, raised by each write of the row; never reused after a delete.
    pub version: u64,
}

/// Condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key.
    pub key: Arc<str>,
    /// Version that the row must have; 0 for no row.
    pub version: u64,
}

/// Write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key.
    pub key: Arc<str>,
    /// New value; absent to delete the row.
    pub value: Option<Arc<str>>,
}

/// A transaction: all writes take effect when all checks hold, otherwise none does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Rows that count against [`MAX_TXN_ROWS`].
    #[must_use]
    pub fn rows(&self) -> usize {
        self.checks.len().max(self.writes.len())
    }

    /// Bytes of values that count against [`MAX_TXN_BYTES`].
    #[must_use]
    pub fn bytes(&self) -> usize {
        let values = (self.writes.iter()).filter_map(|write| write.value.as_ref());
        values.map(|value| value.len()).sum()
    }

    /// Whether the service takes it as one transaction.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.rows() <= MAX_TXN_ROWS && self.bytes() <= MAX_TXN_BYTES
    }
}

/// Result of a transaction that the service answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum TxnOutcome {
    /// All writes took effect.
    Committed {
        /// New version of each written row, in order; 0 for a deleted one.
        versions: Vec<u64>,
    },
    /// A check did not hold; nothing was written.
    Conflict {
        /// Rows of the checks that did not hold, as they are now; absent rows are left out.
        current: Vec<Row>,
    },
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, Display, Error)]
pub enum PlatformError {
    /// Nothing was done: refused at once, connection refused, breaker open or queue full.
    #[display("{step} at {peer}: not done: {problem}")]
    NotDone {
        /// What was attempted.
        step: &'static str,
        /// Address of the service.
        peer: Arc<str>,
        /// What went wrong.
        problem: Arc<str>,
    },
    /// The call may or may not have taken effect.
    #[display("{step} at {peer}: outcome unknown: {problem}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Address of the service.
        peer: Arc<str>,
        /// What went wrong.
        problem: Arc<str>,
    },
}

impl PlatformError {
    /// Nothing was done.
    #[must_use]
    pub fn not_done(step: &'static str, peer: SocketAddr, problem: &str) -> Self {
        Self::NotDone {
            step,
            peer: Arc::from(peer.to_string()),
            problem: Arc::from(problem),
        }
    }

    /// The call may or may not have taken effect.
    #[must_use]
    pub fn unknown(step: &'static str, peer: SocketAddr, problem: &str) -> Self {
        Self::Unknown {
            step,
            peer: Arc::from(peer.to_string()),
            problem: Arc::from(problem),
        }
    }

    /// What a failed exchange means, by whether any byte of the request was sent.
    #[must_use]
    pub fn from_client_error(step: &'static str, err: &ClientError) -> Self {
        let problem = format!("{}: {}", err.step, err.cause);
        match err.sent {
            Sent::Nothing => Self::not_done(step, err.peer, &problem),
            Sent::Maybe => Self::unknown(step, err.peer, &problem),
        }
    }
}

/// The transactional table service.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Runs a transaction.
    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, PlatformError>;
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError>;
    /// Reads all rows whose keys begin with any of the prefixes, ordered by key, as of one moment.
    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError>;
}

/// A row that was changed; without a value when it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRow {
    /// Key, without the table.
    pub key: Arc<str>,
    /// New value.
    pub value: Option<Arc<str>>,
    /// Version of the row.
    pub version: u64,
}

/// Rows of a table, as of a version of the whole store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableRows {
    /// The rows, without the table in their keys.
    pub rows: Vec<ChangedRow>,
    /// Version of the store from which changes can be followed.
    pub version: u64,
}

/// Failure to follow a table.
#[derive(Debug, Clone, Display, Error)]
pub enum FeedError {
    /// The changes since that version are no longer kept; the table has to be read again.
    #[display("the history since the version is gone")]
    HistoryGone,
    /// The call failed.
    #[display("{_0}")]
    Failed(#[error(not(source))] PlatformError),
}

/// Changes of tables. A key `table/part/name` of [`TableService`] is the row `name` in a part of a table here. The
/// service runs the transactions of a part one after the other, and those of different parts side by side.
#[async_trait]
pub trait ChangeFeed: Send + Sync {
    /// Reads a part of a table whole.
    async fn part(&self, table: &str, part: &str) -> Result<TableRows, PlatformError>;
    /// Waits up to `wait` for rows of all parts of a table that changed after a version.
    async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<TableRows, FeedError>;
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object whole.
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError>;
    /// Reads an object whole.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;
    /// Deletes an object; deleting an absent one succeeds.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Runs.
    Live,
    /// Is about to be stopped; gets no new work.
    Leaving,
    /// Was stopped for good.
    Terminated,
}

/// What an instance in the platform's list is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum ListedRole {
    /// An entry instance of this system.
    Entry,
    /// A worker.
    Worker {
        /// Rack.
        rack: Rack,
        /// Everything that it has.
        capacity: Resources,
    },
    /// A backend server.
    Backend {
        /// Workspace that offers the service.
        workspace: Workspace,
        /// The service.
        service: ServiceName,
    },
}

/// An entry of the platform's list, which lags behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Address.
    pub address: SocketAddr,
    /// State.
    pub state: InstanceState,
    /// What it is for.
    pub role: ListedRole,
}

/// The platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}
