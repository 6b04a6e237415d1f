//! Texts of the reasons for a missing response, which appear in replies and log lines.

use {
    ragwortreel_backend::{NotRunReason, UnknownReason},
    ragwortreel_http::{ClientError, ClientErrorCause, ExchangeStep, Sent},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

fn peer() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 80))
}

fn error() -> ClientError {
    ClientError {
        step: ExchangeStep::Wait,
        peer: peer(),
        sent: Sent::Maybe,
        cause: ClientErrorCause::Deadline,
    }
}

// Guards against a rename that changes the reason given for a request that did not run.
#[test]
fn not_run_reasons_keep_their_text() {
    let peer = peer();
    let connections = 2;
    let expected = [
        (
            NotRunReason::Draining { peer },
            "127.0.0.1:80: pool is draining",
        ),
        (
            NotRunReason::Busy { peer, connections },
            "127.0.0.1:80: all 2 connections are in use",
        ),
        (
            NotRunReason::Expired { peer },
            "127.0.0.1:80: deadline passed before the request was sent",
        ),
        (
            NotRunReason::Revoked { peer },
            "127.0.0.1:80: the slot was lost before the request was sent",
        ),
        (
            NotRunReason::Connect(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            NotRunReason::NothingSent(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
    ];
    for (reason, text) in expected {
        assert_eq!(reason.to_string(), text);
    }
}

// Guards against a rename that changes the reason given for a request that may have run.
#[test]
fn unknown_reasons_keep_their_text() {
    let peer = peer();
    let waited = Duration::from_micros(1_500_900);
    let expected = [
        (
            UnknownReason::Silent { peer, waited },
            "127.0.0.1:80: no progress for 1500 ms",
        ),
        (
            UnknownReason::Deadline(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            UnknownReason::Broken(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            UnknownReason::Revoked { peer },
            "127.0.0.1:80: the slot was lost while the request ran",
        ),
        (
            UnknownReason::TaskEnded { peer },
            "127.0.0.1:80: task of the connection ended",
        ),
    ];
    for (reason, text) in expected {
        assert_eq!(reason.to_string(), text);
    }
}
