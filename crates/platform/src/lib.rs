//! Clients for the platform: transactional table service, object store and list of instances.
//!
//! [`ResilientTable`] wraps any table client with grouping, a circuit breaker and a rate limit. [`once`] runs requests
//! at most once.

mod api;
mod breaker;
pub mod events;
mod group;
mod http_client;
pub mod once;
mod rate;
mod read_back;
mod resilient;

pub use {
    api::{
        ChangeFeed, ChangedRow, Check, FeedError, InstanceList, InstanceState, ListedInstance,
        ListedRole, MAX_TXN_BYTES, MAX_TXN_ROWS, ObjectStore, PlatformError, Row, TableRows,
        TableService, Txn, TxnOutcome, Write,
    },
    breaker::{Breaker, Change},
    group::{Division, Group},
    http_client::{HttpPlatform, InstancesAnswer, RowAnswer, RowsAnswer, ZONE_HEADER},
    rate::RateLimit,
    read_back::{ReadBack, read_back},
    resilient::{MAX_IN_FLIGHT, QUEUE_LIMIT, ResilientConfig, ResilientTable, TableFigures},
};
