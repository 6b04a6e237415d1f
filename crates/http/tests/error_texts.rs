//! Texts and status codes of the errors, which leave the process in responses and log lines.

use {
    ragwortreel_http::{Cause, ClientError, ReadError, Refusal, Sent, Step},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
};

// Guards against a rename that changes the status or the body of an error response.
#[test]
fn refusals_keep_their_status_and_text() {
    let expected = [
        (
            Refusal::Malformed("bare LF"),
            400,
            "malformed message: bare LF",
        ),
        (Refusal::HeadTooLarge, 431, "head too large"),
        (Refusal::BodyTooLarge, 413, "body too large"),
        (Refusal::TooSlow, 408, "message arrived too slowly"),
        (Refusal::Method, 501, "method not supported"),
        (Refusal::Version, 505, "version not supported"),
        (Refusal::Expectation, 417, "expectation not supported"),
    ];
    for (refusal, status, text) in expected {
        assert_eq!(
            (refusal.status(), refusal.to_string().as_str()),
            (status, text)
        );
        assert_eq!(ReadError::Refused(refusal).to_string(), text);
    }
    assert_eq!(ReadError::Closed.to_string(), "connection closed");
    assert_eq!(
        ReadError::Cut.to_string(),
        "connection closed within a message"
    );
    let broken = ReadError::Io(io::Error::other("broken"));
    assert_eq!(broken.to_string(), "broken");
}

// Guards against a rename that changes the text of a failed request in logs and replies.
#[test]
fn client_errors_keep_their_text() {
    let expected = [
        (
            Step::Encode,
            Sent::Nothing,
            Cause::InvalidRequest("invalid host"),
            "encode: invalid request: invalid host (nothing sent)",
        ),
        (
            Step::Connect,
            Sent::Nothing,
            Cause::Deadline,
            "connect: deadline passed (nothing sent)",
        ),
        (
            Step::Write,
            Sent::Maybe,
            Cause::Io(io::Error::other("broken")),
            "write: broken (maybe sent)",
        ),
        (
            Step::Wait,
            Sent::Maybe,
            Cause::Closed,
            "wait: connection closed (maybe sent)",
        ),
        (
            Step::Head,
            Sent::Maybe,
            Cause::Response(Refusal::HeadTooLarge),
            "head: head too large (maybe sent)",
        ),
        (
            Step::Body,
            Sent::Maybe,
            Cause::Response(Refusal::BodyTooLarge),
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
