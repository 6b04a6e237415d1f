//! Interfaces of the platform's services: table, change feed, object store and instance list.
//!
//! Any call may fail. After [`PlatformError::Unknown`] a write may or may not have taken effect; the caller reads the
//! row back to find out.
//!
//! For the change feed, rows are grouped into tables, and each table into parts. The key `table/part/name` of
//! [`TableService`] is the row `name` in a part of a table.

use {
    async_trait::async_trait,
    derive_more::{Display, Error},
    ragwortreel_http::{ClientError, Sent},
    ragwortreel_model::{InstanceId, Rack, Resources, ServiceName, Workspace, Zone},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum number of checks, and of writes, in one transaction.
pub const MAX_TXN_ROWS: usize = 100;
/// Maximum total size of the values in one transaction, in bytes.
pub const MAX_TXN_BYTES: usize = 256 * 1024;

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table service.
    pub key: Arc<str>,
    /// Value, JSON text by convention.
    pub value: Arc<str>,
    /// Version, from 1, raised by each write of the row; never reused after a delete.
    pub version: u64,
}

/// Condition of a transaction on the version of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; 0 if the row must not exist.
    pub version: u64,
}

/// Write or delete of one row in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New value; `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Transaction: all writes take effect if all checks hold, otherwise none does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, at most [`MAX_TXN_ROWS`].
    pub checks: Vec<Check>,
    /// Writes, at most [`MAX_TXN_ROWS`].
    pub writes: Vec<Write>,
}

impl Txn {
    /// Number of checks or of writes, whichever is larger; limited by [`MAX_TXN_ROWS`].
    #[must_use]
    pub fn rows(&self) -> usize {
        self.checks.len().max(self.writes.len())
    }

    /// Total size of the written values in bytes; limited by [`MAX_TXN_BYTES`].
    #[must_use]
    pub fn bytes(&self) -> usize {
        let values = (self.writes.iter()).filter_map(|write| write.value.as_ref());
        values.map(|value| value.len()).sum()
    }

    /// Whether the transaction is within the service's limits.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.rows() <= MAX_TXN_ROWS && self.bytes() <= MAX_TXN_BYTES
    }
}

/// Response of the table service to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum TxnOutcome {
    /// All writes took effect.
    Committed {
        /// New version of each written row, in the order of the writes; 0 for a deleted row.
        versions: Vec<u64>,
    },
    /// A check did not hold; nothing was written.
    Conflict {
        /// Current rows of the checks that did not hold; rows that do not exist are left out.
        current: Vec<Row>,
    },
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, Display, Error)]
pub enum PlatformError {
    /// The call had no effect: the call or the connection was refused, the circuit breaker is open or the queue full.
    #[display("{step} at {peer}: not done: {problem}")]
    NotDone {
        /// Operation that failed, such as `commit`.
        step: &'static str,
        /// Address of the service; `table` for errors raised on the client side.
        peer: Arc<str>,
        /// Cause of the failure, as text for the log.
        problem: Arc<str>,
    },
    /// The call had no effect, and the service will refuse the same call again: a row is too large, or not valid.
    #[display("{step} at {peer}: refused: {problem}")]
    Refused {
        /// Operation that failed, such as `commit`.
        step: &'static str,
        /// Address of the service; `table` for errors raised on the client side.
        peer: Arc<str>,
        /// Cause of the failure, as text for the log.
        problem: Arc<str>,
    },
    /// The call may or may not have taken effect.
    #[display("{step} at {peer}: outcome unknown: {problem}")]
    Unknown {
        /// Operation that failed, such as `commit`.
        step: &'static str,
        /// Address of the service; `table` for errors raised on the client side.
        peer: Arc<str>,
        /// Cause of the failure, as text for the log.
        problem: Arc<str>,
    },
}

impl PlatformError {
    /// Error of a call that had no effect.
    #[must_use]
    pub fn not_done(step: &'static str, peer: SocketAddr, problem: &str) -> Self {
        Self::NotDone {
            step,
            peer: Arc::from(peer.to_string()),
            problem: Arc::from(problem),
        }
    }

    /// Error of a call that the service refuses for good.
    #[must_use]
    pub fn refused(step: &'static str, peer: SocketAddr, problem: &str) -> Self {
        Self::Refused {
            step,
            peer: Arc::from(peer.to_string()),
            problem: Arc::from(problem),
        }
    }

    /// Error of a call that may or may not have taken effect.
    #[must_use]
    pub fn unknown(step: &'static str, peer: SocketAddr, problem: &str) -> Self {
        Self::Unknown {
            step,
            peer: Arc::from(peer.to_string()),
            problem: Arc::from(problem),
        }
    }

    /// The same failure, whose outcome is unknown if the call may have taken effect before. An earlier copy of a call
    /// that is refused for good was refused as well.
    #[must_use]
    pub(crate) fn after_effect(self, may_have_effect: bool) -> Self {
        match self {
            Self::NotDone {
                step,
                peer,
                problem,
            } if may_have_effect => Self::Unknown {
                step,
                peer,
                problem,
            },
            err => err,
        }
    }

    /// Converts an error of the HTTP client: [`Self::NotDone`] if no byte of the request was sent, else
    /// [`Self::Unknown`].
    #[must_use]
    pub fn from_client_error(step: &'static str, err: &ClientError) -> Self {
        let problem = format!("{}: {}", err.step, err.cause);
        match err.sent {
            Sent::Nothing => Self::not_done(step, err.peer, &problem),
            Sent::Maybe => Self::unknown(step, err.peer, &problem),
        }
    }
}

/// Transactional table service.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Applies a transaction atomically.
    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, PlatformError>;
    /// Reads one row; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError>;
    /// Reads all rows whose keys begin with any of the prefixes, ordered by key, from one consistent snapshot.
    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError>;
}

/// Row as read from a table or its change feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedRow {
    /// Name of the row within its table and part.
    pub key: Arc<str>,
    /// Value; `None` if the row was deleted.
    pub value: Option<Arc<str>>,
    /// Version of the row.
    pub version: u64,
}

/// Rows of a table, read at a version of the whole store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableRows {
    /// Rows that were read, or that changed.
    pub rows: Vec<ChangedRow>,
    /// Version of the store; [`ChangeFeed::changes`] returns the changes after it.
    pub version: u64,
    /// Number of changes that are left out because the same row changed again later.
    pub superseded: usize,
    /// Bytes received from the service, by all copies of the calls.
    pub received_bytes: u64,
    /// Time on the service's steady clock when it answered first, in ms; `None` if it does not tell.
    pub clock_ms: Option<u64>,
}

/// Failure to read the changes of a table.
#[derive(Debug, Clone, Display, Error)]
pub enum FeedError {
    /// The service no longer keeps the changes since the requested version; the table has to be read again.
    #[display("the history since the version is gone")]
    HistoryGone,
    /// The changes are much larger than the rows themselves, because the same rows changed several times; the table has to
    /// be read again.
    #[display("the changes since the version are too large")]
    TooLarge,
    /// The call to the service failed.
    #[display("{_0}")]
    Failed(#[error(not(source))] PlatformError),
}

/// Change feed of the tables.
///
/// The service serializes the transactions on one part; transactions on different parts run concurrently.
#[async_trait]
pub trait ChangeFeed: Send + Sync {
    /// Reads all rows of a part of a table.
    async fn part(&self, table: &str, part: &str) -> Result<TableRows, PlatformError>;
    /// Long-polls for up to `wait` for rows of a table, in any part, that changed after the store's version `after`. Each
    /// row is returned once, with its last change, in the order of these changes.
    async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<TableRows, FeedError>;
}

/// Object store; objects are read and written whole.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Creates or replaces an object.
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError>;
    /// Reads an object; `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;
    /// Deletes an object; deleting an absent one succeeds.
    async fn delete(&self, key: &str) -> Result<(), PlatformError>;
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to be stopped and gets no new work.
    Leaving,
    /// The instance was stopped permanently.
    Terminated,
}

/// Role of an instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum ListedRole {
    /// Instance of this system that takes requests of callers.
    Entry,
    /// Machine that runs the tasks of jobs.
    Worker {
        /// Rack of the machine.
        rack: Rack,
        /// Total resources of the machine.
        capacity: Resources,
    },
    /// Backend server of a service.
    Backend {
        /// Workspace that offers the service.
        workspace: Workspace,
        /// Name of the service.
        service: ServiceName,
    },
}

/// Entry of the platform's instance list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Unique name of the instance.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Address at which the instance takes requests.
    pub address: SocketAddr,
    /// State according to the platform.
    pub state: InstanceState,
    /// Role, with the properties that belong to it.
    pub role: ListedRole,
}

/// The platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads all instances, in any state.
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}
