//! HTTP/1.1 over `async-h1` with guards.
//!
//! `async-h1` accepts cut bodies, ambiguous lengths and other messages that two readers could understand differently.
//! A guard therefore reads each message from the socket first: it checks the head byte by byte, counts the body
//! against its declared length under a limit, and hands only unambiguous, complete messages to `async-h1`. Bodies are
//! held whole in memory; their limits are in [`ServerLimits`] and [`ClientLimits`].

mod alarm;
mod client;
mod codec;
mod connection;
mod error;
pub mod events;
mod head;
mod json;
mod limits;
mod message;
mod reader;
mod server;
mod stream;

pub use alarm::Alarm;
pub use client::Client;
pub use connection::Connection;
pub use error::{Cause, ClientError, ReadError, Refusal, Sent, Step};
pub use json::{
    JsonError, MAX_JSON_BYTES, MAX_JSON_DEPTH, json_request, json_response, parse_json,
};
pub use limits::{ClientLimits, MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES, ServerLimits};
pub use message::{Headers, Method, Request, Response};
pub use server::{Handler, Server};
pub use stream::Progress;
