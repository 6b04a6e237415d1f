//! HTTP/1.1 over `async-h1` with guards.
//!
//! `async-h1` accepts cut bodies, ambiguous lengths and other messages that two readers could understand differently.
//! A guard therefore reads each message from the socket first: it checks the head byte by byte, counts the body
//! against its declared length under a limit, and hands only unambiguous, complete messages to `async-h1`. Bodies are
//! held whole in memory; their limits are in [`ServerLimits`] and [`ClientLimits`].

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
