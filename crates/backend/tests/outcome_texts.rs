//! Texts of the reasons for a missing response, which leave the process in replies and log lines.

use {
    ragwortreel_backend::{NotRun, Unknown},
    ragwortreel_http::{Cause, ClientError, Sent, Step},
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
        step: Step::Wait,
        peer: peer(),
        sent: Sent::Maybe,
        cause: Cause::Deadline,
    }
}

// Guards against a rename that changes the reason given for a request that did not run.
#[test]
fn not_run_reasons_keep_their_text() {
    let peer = peer();
    let connections = 2;
    let expected = [
        (NotRun::Draining { peer }, "127.0.0.1:80: pool is draining"),
        (
            NotRun::Busy { peer, connections },
            "127.0.0.1:80: all 2 connections are in use",
        ),
        (
            NotRun::Expired { peer },
            "127.0.0.1:80: deadline passed before the request was sent",
        ),
        (
            NotRun::Revoked { peer },
            "127.0.0.1:80: the slot was lost before the request was sent",
        ),
        (
            NotRun::Connect(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            NotRun::NothingSent(error()),
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
            Unknown::Silent { peer, waited },
            "127.0.0.1:80: no progress for 1500 ms",
        ),
        (
            Unknown::Deadline(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            Unknown::Broken(error()),
            "127.0.0.1:80: wait: deadline passed (maybe sent)",
        ),
        (
            Unknown::Revoked { peer },
            "127.0.0.1:80: the slot was lost while the request ran",
        ),
        (
            Unknown::TaskEnded { peer },
            "127.0.0.1:80: task of the connection ended",
        ),
    ];
    for (reason, text) in expected {
        assert_eq!(reason.to_string(), text);
    }
}
