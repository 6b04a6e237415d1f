//! Clients for the platform: transactional table service, object store and list of instances.
//!
//! [`ResilientTable`] adds batching, a circuit breaker and a rate limit to any table client. [`idempotency`] runs
//! requests with an idempotency key at most once. [`read_back()`] finds out whether a conditional write took effect.

mod api;
mod circuit_breaker;
pub mod events;
mod hedge;
mod http_client;
pub mod idempotency;
mod rate_limiter;
mod read_back;
mod resilient_table;
mod txn_batch;

pub use {
    api::{
        ChangeFeed, ChangedRow, Check, FeedError, InstanceList, InstanceState, ListedInstance,
        ListedRole, MAX_TXN_BYTES, MAX_TXN_ROWS, ObjectStore, PlatformError, Row, TableRows,
        TableService, Txn, TxnOutcome, Write,
    },
    circuit_breaker::{BreakerTransition, CircuitBreaker},
    hedge::{ResponseTimes, hedge, hedge_bounded, hedge_unless_receiving},
    http_client::{HttpPlatform, InstancesResponse, RowResponse, RowsResponse, ZONE_HEADER},
    rate_limiter::RateLimiter,
    read_back::{ReadBackOutcome, read_back},
    resilient_table::{
        MAX_IN_FLIGHT_BATCHES, MAX_QUEUED_TXNS, ResilientConfig, ResilientTable, SendCondition,
        TableStats,
    },
    txn_batch::{BatchOutcome, TxnBatch},
};
