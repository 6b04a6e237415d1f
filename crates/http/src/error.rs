//! Errors of reading messages and of sending requests.

use {
    derive_more::{Display, Error},
    std::{io, net::SocketAddr},
};

/// Reason why a received message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum MessageError {
    /// The message violates the syntax of HTTP/1.1 or is ambiguous.
    #[display("malformed message: {_0}")]
    Malformed(#[error(not(source))] &'static str),
    /// The head is larger than the limit.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than the limit.
    #[display("body too large")]
    BodyTooLarge,
    /// The message did not arrive within the read timeouts.
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
    /// Status code of the response that reports this error to the client.
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

/// Reason why a message could not be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The message is invalid or exceeds a limit.
    #[display("{_0}")]
    Message(MessageError),
    /// The peer closed the connection before the first byte of a message.
    #[display("connection closed")]
    Closed,
    /// The peer closed the connection within a message.
    #[display("connection closed within a message")]
    Truncated,
    /// Reading from or writing to the socket failed.
    #[display("{_0}")]
    Io(io::Error),
}

impl From<MessageError> for ReadError {
    fn from(err: MessageError) -> Self {
        Self::Message(err)
    }
}

impl From<io::Error> for ReadError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

/// Whether any part of a request may have reached the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Sent {
    /// No byte was passed to the operating system for sending, so the request did not run.
    #[display("nothing sent")]
    Nothing,
    /// At least one byte may have reached the peer, so the request may have run.
    #[display("maybe sent")]
    Maybe,
}

/// Step of an exchange of a request and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ExchangeStep {
    /// Validating and encoding the request.
    #[display("encode")]
    Encode,
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Writing the request.
    #[display("write")]
    Write,
    /// Waiting for the first byte of the response.
    #[display("wait")]
    Wait,
    /// Reading the head of the response.
    #[display("head")]
    Head,
    /// Reading the body of the response.
    #[display("body")]
    Body,
}

/// Cause of a failed exchange.
#[derive(Debug, Display, Error)]
pub enum ClientErrorCause {
    /// The deadline passed.
    #[display("deadline passed")]
    Deadline,
    /// The request cannot be encoded as a valid message; nothing was sent.
    #[display("invalid request: {_0}")]
    InvalidRequest(#[error(not(source))] &'static str),
    /// Reading from or writing to the socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The peer closed the connection.
    #[display("connection closed")]
    Closed,
    /// The response is invalid or exceeds a limit.
    #[display("{_0}")]
    Response(MessageError),
}

/// Error of a request that got no complete response.
#[derive(Debug, Display, Error)]
#[display("{peer}: {step}: {cause} ({sent})")]
pub struct ClientError {
    /// Step that failed.
    pub step: ExchangeStep,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Whether any part of the request may have reached the server.
    pub sent: Sent,
    /// What went wrong in this step.
    #[error(source)]
    pub cause: ClientErrorCause,
}
