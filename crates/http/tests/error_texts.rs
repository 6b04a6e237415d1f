//! Texts and status codes of the errors, which appear in responses and log lines.

use {
    ragwortreel_http::{
        ClientError, ClientErrorCause, ExchangeStep, MessageError, ReadError, Sent,
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
};

// Guards against a rename that changes the status or the body of an error response.
#[test]
fn message_errors_keep_their_status_and_text() {
    let expected = [
        (
            MessageError::Malformed("bare LF"),
            400,
            "malformed message: bare LF",
        ),
        (MessageError::HeadTooLarge, 431, "head too large"),
        (MessageError::BodyTooLarge, 413, "body too large"),
        (MessageError::TooSlow, 408, "message arrived too slowly"),
        (MessageError::Method, 501, "method not supported"),
        (MessageError::Version, 505, "version not supported"),
        (MessageError::Expectation, 417, "expectation not supported"),
    ];
    for (err, status, text) in expected {
        assert_eq!((err.status(), err.to_string().as_str()), (status, text));
        assert_eq!(ReadError::Message(err).to_string(), text);
    }
    assert_eq!(ReadError::Closed.to_string(), "connection closed");
    assert_eq!(
        ReadError::Truncated.to_string(),
        "connection closed within a message"
    );
    let broken = ReadError::Io(io::Error::other("broken"));
    assert_eq!(broken.to_string(), "broken");
}

// Guards against a rename that changes the error text of a failed request in logs and replies.
#[test]
fn client_errors_keep_their_text() {
    let expected = [
        (
            ExchangeStep::Encode,
            Sent::Nothing,
            ClientErrorCause::InvalidRequest("invalid host"),
            "encode: invalid request: invalid host (nothing sent)",
        ),
        (
            ExchangeStep::Connect,
            Sent::Nothing,
            ClientErrorCause::Deadline,
            "connect: deadline passed (nothing sent)",
        ),
        (
            ExchangeStep::Write,
            Sent::Maybe,
            ClientErrorCause::Io(io::Error::other("broken")),
            "write: broken (maybe sent)",
        ),
        (
            ExchangeStep::Wait,
            Sent::Maybe,
            ClientErrorCause::Closed,
            "wait: connection closed (maybe sent)",
        ),
        (
            ExchangeStep::Head,
            Sent::Maybe,
            ClientErrorCause::Response(MessageError::HeadTooLarge),
            "head: head too large (maybe sent)",
        ),
        (
            ExchangeStep::Body,
            Sent::Maybe,
            ClientErrorCause::Response(MessageError::BodyTooLarge),
            "body: body too large (maybe sent)",
        ),
    ];
    for (step, sent, cause, text) in expected {
        let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, 80));
        let err = ClientError {
            step,
            peer,
            sent,
            cause,
        };
        assert_eq!(err.to_string(), format!("127.0.0.1:80: {text}"));
    }
}
