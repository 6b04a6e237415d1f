//! Why a message was refused or a request failed.

use {
    derive_more::{Display, Error},
    std::{io, net::SocketAddr},
};

/// A message that is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// The bytes are not an unambiguous message.
    #[display("malformed message: {_0}")]
    Malformed(#[error(not(source))] &'static str),
    /// The head is larger than the limit.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than the limit.
    #[display("body too large")]
    BodyTooLarge,
    /// The message arrived too slowly.
    #[display("message arrived too slowly")]
    TooSlow,
    /// The method is not a registered one, or is CONNECT.
    #[display("method not supported")]
    Method,
    /// The protocol version is not 1.1.
    #[display("version not supported")]
    Version,
    /// The expectation is not `100-continue`.
    #[display("expectation not supported")]
    Expectation,
}

impl MessageError {
    /// Status code that tells the peer.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::TooSlow => 408,
            Self::Method => 501,
            Self::Version => 505,
            Self::Expectation => 417,
        }
    }
}

/// Why a message could not be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The message is not accepted.
    #[display("{_0}")]
    Message(MessageError),
    /// The connection ended before the first byte of a message.
    #[display("connection closed")]
    Closed,
    /// The connection ended within a message.
    #[display("connection closed within a message")]
    Truncated,
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
}

impl From<MessageError> for ReadError {
    fn from(refusal: MessageError) -> Self {
        Self::Message(refusal)
    }
}

impl From<io::Error> for ReadError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// How much of a request the peer may have taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Sent {
    /// No byte was handed to the operating system for sending: the request did not run.
    #[display("nothing sent")]
    Nothing,
    /// At least one byte may have reached the peer: the request may have run.
    #[display("maybe sent")]
    Maybe,
}

/// Step of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ExchangeStep {
    /// Checking and encoding the request.
    #[display("encode")]
    Encode,
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Writing the request.
    #[display("write")]
    Write,
    /// Waiting for the response's first byte.
    #[display("wait")]
    Wait,
    /// Reading the response's head.
    #[display("head")]
    Head,
    /// Reading the response's body.
    #[display("body")]
    Body,
}

/// Cause of a failed exchange.
#[derive(Debug, Display, Error)]
pub enum ClientErrorCause {
    /// The deadline passed.
    #[display("deadline passed")]
    Deadline,
    /// The request cannot be sent as it is.
    #[display("invalid request: {_0}")]
    InvalidRequest(#[error(not(source))] &'static str),
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The peer closed the connection.
    #[display("connection closed")]
    Closed,
    /// The response is not accepted.
    #[display("{_0}")]
    Response(MessageError),
}

/// A request without a complete response.
#[derive(Debug, Display, Error)]
#[display("{peer}: {step}: {cause} ({sent})")]
pub struct ClientError {
    /// Step that failed.
    pub step: ExchangeStep,
    /// Address of the server.
    pub peer: SocketAddr,
    /// How much of the request the server may have taken.
    pub sent: Sent,
    /// Cause.
    #[error(source)]
    pub cause: ClientErrorCause,
}
