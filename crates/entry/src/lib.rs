//! Calls between entry instances: tonic services over HTTP/2.
//!
//! [`EntryService`] is the server side of the calls and [`EntryPeer`] the client side. [`HelperService`] and
//! [`HelperPeer`] are the same for the calls between a cell's leader and its other instances. [`EntryServer`] and
//! [`TonicConnector`] implement both over sockets; tests replace them with in-memory implementations.

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
