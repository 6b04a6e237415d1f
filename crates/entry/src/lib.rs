//! Calls between entry instances: tonic services over HTTP/2.
//!
//! [`EntryService`] is the server side and [`EntryPeer`] the client side of the calls that any two instances make: for
//! membership, settings, slots, forwarded requests, jobs and administration. [`HelperService`] and [`HelperPeer`] are
//! the two sides of a second gRPC service, `Helper`, for the calls between the leader of a cell and its other
//! instances. [`EntryServer`] and [`TonicConnector`] implement both over sockets; tests replace them with in-memory
//! implementations.
//!
//! # Terms
//!
//! - *Settings tree*: the versioned JSON document with the settings of the cell and of all workspaces.
//! - *Slot*: the right to have one request in flight at a backend server. The slots of a backend server are divided
//!   into *shares*, one for each entry instance of its zone.
//! - *Slot epoch*: a numbered list of the instances among which the slots are divided. An instance uses its shares only
//!   while it holds a lease, which it renews in the table service or, while it cannot reach that, by having the other
//!   instances confirm the newest slot epoch.
//! - *Pool*: a group of workers that one instance, its *owner*, schedules jobs on.
//! - *Cell*: a group of instances and workers. One instance at a time is its *leader*, which places the tasks of all
//!   jobs.
//! - *Row*: a key and a value in the cell's store.
//! - *Advice service*: an external service that decides which workers may run a step of a job.

mod api;
mod client;
mod connection;
pub mod events;
#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated code")]
pub mod generated;
mod server;

pub use {
    api::{
        EntryError, EntryPeer, EntryService, HelperConnector, HelperPeer, HelperService,
        PeerConnector,
    },
    client::{EntryClient, PeerTimeouts, TonicConnector},
    server::EntryServer,
};

/// Size limit of a heartbeat request and of its reply, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4 * 1024;
/// Size limit of every other message of the entry service, in bytes: a settings tree or a forwarded body of 4 MiB, and
/// 64 KiB for the fields around it.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;
