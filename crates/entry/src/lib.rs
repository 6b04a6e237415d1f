//! Calls between entry instances: tonic services over HTTP/2.
//!
//! [`EntryService`] is what an instance answers, [`EntryPeer`] is what it may ask of another one. [`EntryServer`] and
//! [`TonicConnector`] carry the calls over sockets; tests put fakes in place of either.

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

/// Largest heartbeat in either direction, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4 * 1024;
/// Largest other message: a settings tree or a forwarded request of 4 MiB with its envelope, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;
