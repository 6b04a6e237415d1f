//! Clients for the platform: transactional table service, object store and list of instances.

mod api;

pub use api::{
    Check, InstanceList, InstanceState, ListedInstance, ListedRole, MAX_TXN_BYTES, MAX_TXN_ROWS,
    ObjectStore, PlatformError, Row, TableService, Txn, TxnOutcome, Write,
};
