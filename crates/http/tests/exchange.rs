//! Exchanges between the client and the server of this crate.

mod common;

use {
    common::{TestServer, test_deadline},
    ragwortreel_http::{Client, ClientLimits, Method, Request, ServerLimits},
    ragwortreel_runtime::block_on,
};

// Guards against bodies or targets that are lost or changed in transit.
#[test]
fn bodies_and_targets_are_unchanged() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    for size in [0, 1, 100, 40_000, 300_000] {
        let req = Request::post("/a//b/../%2e?q=1&r", vec![b'x'; size]);
        let res = block_on(client.send(server.addr, req, test_deadline())).expect("response");
        assert_eq!(res.status, 200);
        let expected = format!("POST /a//b/../%2e?q=1&r {}", "x".repeat(size));
        assert_eq!(String::from_utf8_lossy(&res.body), expected);
    }
    assert_eq!(client.idle_connections(server.addr), 1);
}

// Guards against status codes that http-types does not support becoming errors or other codes.
#[test]
fn unregistered_status_is_kept() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    for status in [200, 201, 204, 299, 304, 418, 499, 503, 599] {
        let req = Request::get(format!("/status/{status}"));
        let res = block_on(client.send(server.addr, req, test_deadline())).expect("response");
        assert_eq!(res.status, status);
    }
    assert_eq!(client.idle_connections(server.addr), 1);
}

// Guards against waiting for a body because a response to HEAD declares a length.
#[test]
fn head_response_has_no_body() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    for _ in 0..2 {
        let req = Request::new(Method::Head, "/x");
        let res = block_on(client.send(server.addr, req, test_deadline())).expect("response");
        assert_eq!(res.headers.get("content-length"), Some("8"));
        assert!(res.body.is_empty());
    }
    assert_eq!(client.idle_connections(server.addr), 1);
}
