//! Requests that the server rejects, and its limits, over real sockets. The name of each case says which invalid input
//! or which fault of async-h1 it covers.

mod common;

use {
    common::{TestServer, connect, read_all, read_head, test_deadline},
    ragwortreel_http::{Client, ClientLimits, Request, ServerLimits},
    ragwortreel_runtime::{block_on, timeout_ms},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// Tests that raw bytes get exactly one response, with this status, that the connection closes and that the handler is
/// not called.
macro_rules! rejected {
    ($($name:ident: $bytes:expr => $status:literal;)*) => {$(
        #[test]
        fn $name() {
            let server = TestServer::start(small_limits());
            let bytes: Vec<u8> = $bytes.into();
            let answer = server.send_raw(&bytes);
            let start = concat!("HTTP/1.1 ", $status, " ");
            assert!(answer.starts_with(start), "{answer:?}");
            assert!(answer.contains("connection: close\r\n"), "{answer:?}");
            assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer:?}");
            assert_eq!(server.calls(), 0);
        }
    )*};
}

rejected! {
    differing_lengths: post("content-length: 4\r\ncontent-length: 5", "abcde") => "400";
    equal_lengths_twice: post("content-length: 4\r\ncontent-length: 4", "abcd") => "400";
    list_of_lengths: post("content-length: 4, 4", "abcd") => "400";
    length_with_plus: post("content-length: +4", "abcd") => "400";
    length_with_minus: post("content-length: -4", "abcd") => "400";
    length_empty: post("content-length:", "abcd") => "400";
    length_in_hex: post("content-length: 0x4", "abcd") => "400";
    length_beyond_64_bits: post("content-length: 18446744073709551620", "abcd") => "400";
    length_beside_chunked: post("content-length: 4\r\ntransfer-encoding: chunked", "0\r\n\r\n") => "400";
    unknown_coding: post("transfer-encoding: gzip, chunked", "0\r\n\r\n") => "400";
    coding_not_chunked: post("transfer-encoding: identity", "abcd") => "400";
    coding_twice: post("transfer-encoding: chunked\r\ntransfer-encoding: chunked", "0\r\n\r\n") => "400";
    line_folding: post("x: a\r\n b: c", "") => "400";
    bare_line_feed: post("x: a\ny: b", "") => "400";
    bare_carriage_return: post("x: a\ry: b", "") => "400";
    space_before_colon: post("content-length : 4", "abcd") => "400";
    field_without_colon: post("abc", "") => "400";
    control_character_in_value: post("x: a\u{1}b", "") => "400";
    form_feed_before_value: post("x:\u{c}a", "") => "400";
    zero_byte_in_name: post("x\0y: a", "") => "400";
    byte_beyond_ascii: post("x: \u{e4}", "") => "400";
    control_character_in_target: "GET /a\u{7f} HTTP/1.1\r\nhost: a\r\n\r\n" => "400";
    space_in_target: "GET /a b HTTP/1.1\r\nhost: a\r\n\r\n" => "400";
    no_host: "GET / HTTP/1.1\r\n\r\n" => "400";
    two_hosts: "GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n" => "400";
    invalid_host: "GET / HTTP/1.1\r\nhost: a/b\r\n\r\n" => "400";
    target_of_another_host: "GET http://b/ HTTP/1.1\r\nhost: a\r\n\r\n" => "400";
    malformed_head: "nonsense\r\n\r\n" => "400";
    truncated_head: "GET / HTTP/1.1\r\nhost" => "400";
    truncated_body: post("content-length: 10", "abcd") => "400";
    truncated_chunks: post("transfer-encoding: chunked", "4\r\nabcd\r\n") => "400";
    chunk_size_with_sign: post("transfer-encoding: chunked", "+4\r\nabcd\r\n0\r\n\r\n") => "400";
    chunk_size_too_long: post("transfer-encoding: chunked", "000000004\r\nabcd\r\n0\r\n\r\n") => "400";
    chunk_size_overflows: post("transfer-encoding: chunked", "fffffffffffffffff\r\nabcd") => "400";
    chunk_size_empty: post("transfer-encoding: chunked", "\r\nabcd\r\n0\r\n\r\n") => "400";
    chunk_longer_than_size: post("transfer-encoding: chunked", "3\r\nabcd\r\n0\r\n\r\n") => "400";
    chunk_line_with_bare_line_feed: post("transfer-encoding: chunked", "4\nabcd\r\n0\r\n\r\n") => "400";
    chunk_trailer_malformed: post("transfer-encoding: chunked", "0\r\nx y\r\n\r\n") => "400";
    head_too_large: post(&format!("x: {}", "a".repeat(8000)), "") => "431";
    too_many_fields: post("x: a\r\n".repeat(130).trim_end(), "") => "431";
    body_too_large: post("content-length: 1001", &"x".repeat(1001)) => "413";
    body_too_large_before_continue: post("content-length: 1001\r\nexpect: 100-continue", "") => "413";
    chunks_too_large: post("transfer-encoding: chunked", &format!("3e9\r\n{}", "x".repeat(1001))) => "413";
    unknown_method: "BREW / HTTP/1.1\r\nhost: a\r\n\r\n" => "501";
    connect_method: "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n" => "501";
    version_1_0: "GET / HTTP/1.0\r\nhost: a\r\n\r\n" => "505";
    unknown_expectation: post("expect: tea\r\ncontent-length: 4", "abcd") => "417";
}

fn small_limits() -> ServerLimits {
    ServerLimits {
        max_body_bytes: 1000,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_secs(2),
        body_rate_grace: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(700),
        ..ServerLimits::default()
    }
}

fn post(fields: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n{body}")
}

/// Sends the bytes one by one with pauses until the server responds, and returns its response and the time until it.
fn trickle(mut socket: TcpStream, bytes: &[u8]) -> (String, Duration) {
    let started = Instant::now();
    let mut reader = socket.try_clone().expect("clone");
    let answer = thread::spawn(move || (read_all(&mut reader), started.elapsed()));
    for byte in bytes {
        if answer.is_finished() || socket.write_all(&[*byte]).is_err() {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    answer.join().expect("reader")
}

// Guards against a head that occupies a connection by arriving byte by byte.
#[test]
fn slow_head_gets_408() {
    let server = TestServer::start(small_limits());
    let bytes = post(&format!("x: {}", "a".repeat(200)), "");
    let (answer, elapsed) = trickle(connect(server.addr), bytes.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
}

// Guards against a body that occupies a connection by arriving byte by byte.
#[test]
fn slow_body_gets_408() {
    let server = TestServer::start(small_limits());
    let mut socket = connect(server.addr);
    let head = post("content-length: 900", "");
    socket.write_all(head.as_bytes()).expect("write");
    let (answer, elapsed) = trickle(socket, &[b'x'; 900]);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    assert_eq!(server.calls(), 0);
}

// Guards against connections that are opened and never used.
#[test]
fn idle_connection_is_closed() {
    let server = TestServer::start(small_limits());
    let started = Instant::now();
    assert_eq!(read_all(&mut connect(server.addr)), "");
    assert!(started.elapsed() < Duration::from_secs(3));
}

// Guards against losing pipelined requests: async-h1 loses all but the first.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(small_limits());
    let chunked = "transfer-encoding: chunked";
    let bytes = [
        post("content-length: 3", "one"),
        post(chunked, "2;x=y\r\ntw\r\n1\r\no\r\n0\r\nt: u\r\n\r\n"),
        "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n".to_owned(),
        "GET http://a/abs HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_owned(),
    ];
    let answer = server.send_raw(bytes.concat().as_bytes());
    let found: Vec<usize> = ["POST / one", "POST / two", "GET /slow", "GET /abs"]
        .iter()
        .map(|part| answer.find(part).expect("a response to each request"))
        .collect();
    assert!(found.is_sorted(), "{answer:?}");
    assert_eq!(server.calls(), 4);
}

// Guards against handling a request that follows a malformed one, and against losing the request before it.
#[test]
fn malformed_request_ends_the_pipeline() {
    let server = TestServer::start(small_limits());
    let good = post("content-length: 3", "one");
    let bad = post("content-length: +3", "two");
    let answer = server.send_raw([good.clone(), bad, good].concat().as_bytes());
    assert!(answer.contains("POST / one"), "{answer:?}");
    assert!(answer.contains("HTTP/1.1 400 "), "{answer:?}");
    assert_eq!(server.calls(), 1);
}

// Guards against a client that never sends its body because it waits for status 100.
#[test]
fn expect_header_gets_100_continue() {
    let server = TestServer::start(small_limits());
    let mut socket = connect(server.addr);
    let head = post(
        "content-length: 3\r\nexpect: 100-continue\r\nconnection: close",
        "",
    );
    socket.write_all(head.as_bytes()).expect("write");
    let interim = read_head(&mut socket);
    assert_eq!(interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    socket.write_all(b"abc").expect("write");
    assert!(read_all(&mut socket).contains("POST / abc"));
}

// Guards against a panic in the handler that ends the executor thread or closes the connection without a response.
#[test]
fn handler_panic_gets_500() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    let send = |path| block_on(client.send(server.addr, Request::get(path), test_deadline()));
    assert_eq!(send("/panic").expect("response").status, 500);
    assert_eq!(send("/").expect("response").status, 200);
}

// Guards against a stop request that aborts a request in flight, or that waits for idle connections to close.
#[test]
fn stop_is_graceful() {
    let server = TestServer::start(ServerLimits {
        stop_linger: Duration::from_secs(2),
        ..ServerLimits::default()
    });
    let (mut busy, mut idle) = (connect(server.addr), connect(server.addr));
    let slow = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
    busy.write_all(slow).expect("write");
    thread::sleep(Duration::from_millis(100));
    server.stop.request();
    thread::sleep(Duration::from_millis(50));
    // Sent after the stop request, within `stop_linger`.
    let late = b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n";
    idle.write_all(late).expect("write");
    for (socket, path) in [(&mut busy, "GET /slow"), (&mut idle, "GET /late")] {
        let answer = read_all(socket);
        assert!(answer.contains(path), "{answer:?}");
        assert!(answer.contains("connection: close\r\n"), "{answer:?}");
    }
    drop((busy, idle));
    block_on(timeout_ms(5000, server.task)).expect("the server ends");
    assert!(TcpStream::connect(server.addr).is_err());
}

// Guards against more connections than the limit being served at the same time.
#[test]
fn connections_are_limited() {
    let limits = ServerLimits {
        max_connections: 1,
        ..ServerLimits::default()
    };
    let server = TestServer::start(limits);
    let mut first = connect(server.addr);
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    first.write_all(request).expect("write");
    read_head(&mut first);
    let mut second = connect(server.addr);
    let wait = Duration::from_millis(200);
    second.set_read_timeout(Some(wait)).expect("option");
    second.write_all(request).expect("write");
    assert!(second.read(&mut [0]).is_err());
    drop(first);
    second.set_read_timeout(None).expect("option");
    assert!(read_head(&mut second).starts_with(b"HTTP/1.1 200 "));
}
