//! HTTP/1.1 client and server with strict validation in front of `async-h1`.
//!
//! `async-h1` accepts truncated bodies, ambiguous lengths and other messages that two implementations could interpret
//! differently. A validating reader therefore reads each message from the socket first: it checks the head byte by byte
//! and the body against its declared length and the size limit, and passes only unambiguous, complete messages to
//! `async-h1`. Bodies are held completely in memory; [`ServerLimits`] and [`ClientLimits`] bound their size.

mod client;
mod codec;
mod connection;
mod deadline_timer;
mod error;
pub mod events;
mod head;
mod json;
mod limits;
mod message;
mod reader;
mod server;
mod stream;
mod transfer;

pub use client::Client;
pub use connection::Connection;
pub use deadline_timer::DeadlineTimer;
pub use error::{ClientError, ClientErrorCause, ExchangeStep, MessageError, ReadError, Sent};
pub use json::{
    JsonError, MAX_JSON_BYTES, MAX_JSON_DEPTH, json_request, json_response, parse_json,
};
pub use limits::{ClientLimits, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, ServerLimits};
pub use message::{Headers, Method, Request, Response};
pub use server::{Handler, Server};
pub use stream::Progress;
pub use transfer::Transfer;
