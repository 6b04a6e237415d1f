//! Responses that the client rejects or accepts, over real sockets. The name of each case says which input or which
//! fault of async-h1 it covers.

mod common;

use {
    common::{read_head, serve_replies, test_deadline},
    ragwortreel_http::{
        Client, ClientError, ClientErrorCause, ClientLimits, ExchangeStep, Request, Response, Sent,
    },
    ragwortreel_runtime::block_on,
    std::{
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        thread,
        time::{Duration, Instant},
    },
};

fn send(client: &Client, addr: SocketAddr) -> Result<Response, ClientError> {
    block_on(client.send(addr, Request::post("/", "x"), test_deadline()))
}

/// Tests that a response fails at this step, that the error reports the request as possibly sent, and that the
/// connection is not kept.
macro_rules! rejected {
    ($($name:ident: $bytes:literal => $step:ident;)*) => {$(
        #[test]
        fn $name() {
            let addr = serve_replies(vec![($bytes, true)]);
            let client = Client::new(ClientLimits::default());
            let err = send(&client, addr).expect_err("no response");
            assert_eq!((err.step, err.sent, err.peer), (ExchangeStep::$step, Sent::Maybe, addr));
            assert_eq!(client.idle_connections(addr), 0);
        }
    )*};
}

rejected! {
    truncated_body: b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc" => Body;
    truncated_chunked_body: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n" => Body;
    neither_length_nor_chunks: b"HTTP/1.1 200 OK\r\n\r\nabc" => Head;
    differing_lengths: b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nabc" => Head;
    length_with_plus: b"HTTP/1.1 200 OK\r\ncontent-length: +3\r\n\r\nabc" => Head;
    length_beside_chunked:
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" => Head;
    truncated_head: b"HTTP/1.1 200 OK\r\ncontent-le" => Head;
    no_response: b"" => Wait;
    not_http: b"SSH-2.0-x\r\n\r\n" => Head;
    version_1_0: b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n" => Head;
    status_out_of_range: b"HTTP/1.1 999 OK\r\ncontent-length: 0\r\n\r\n" => Head;
    unrequested_upgrade: b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n" => Head;
    only_interim: b"HTTP/1.1 100 Continue\r\n\r\n" => Head;
    line_folding: b"HTTP/1.1 200 OK\r\nx: a\r\n b\r\ncontent-length: 0\r\n\r\n" => Head;
    bare_line_feeds: b"HTTP/1.1 200 OK\ncontent-length: 0\n\n" => Head;
}

/// Tests the status and body that are read from a response, and whether the connection is kept.
macro_rules! accepted {
    ($($name:ident: $bytes:literal => $status:literal, $body:literal, kept $kept:literal;)*) => {$(
        #[test]
        fn $name() {
            let addr = serve_replies(vec![($bytes, false)]);
            let client = Client::new(ClientLimits::default());
            let res = send(&client, addr).expect("response");
            assert_eq!((res.status, res.body.as_slice()), ($status, $body.as_slice()));
            assert_eq!(client.idle_connections(addr), $kept);
        }
    )*};
}

accepted! {
    interim_is_skipped:
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        => 200, b"ok", kept 1;
    chunks_are_joined:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\nx: y\r\n\r\n"
        => 200, b"ok!", kept 1;
    status_without_body: b"HTTP/1.1 204 None\r\n\r\n" => 204, b"", kept 1;
    unregistered_status: b"HTTP/1.1 299 Odd\r\ncontent-length: 1\r\n\r\na" => 299, b"a", kept 1;
    server_closes: b"HTTP/1.1 200 OK\r\nconnection: Close\r\ncontent-length: 1\r\n\r\na" => 200, b"a", kept 0;
    surplus_bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n" => 200, b"a", kept 0;
    body_after_status_204: b"HTTP/1.1 204 None\r\ncontent-length: 1\r\n\r\na" => 204, b"", kept 0;
}

// Guards against matching a response that arrives after its deadline to the next request.
#[test]
fn late_response_is_not_matched_to_another_request() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for (delay_ms, body) in [(500, "first"), (0, "other")] {
            let (mut socket, _) = listener.accept().expect("accept");
            thread::spawn(move || {
                while !read_head(&mut socket).is_empty() {
                    thread::sleep(Duration::from_millis(delay_ms));
                    let _ = write!(socket, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{body}");
                }
            });
        }
    });
    let client = Client::new(ClientLimits::default());
    let deadline = Instant::now() + Duration::from_millis(100);
    let err = block_on(client.send(addr, Request::get("/"), deadline)).expect_err("too late");
    assert!(matches!(err.cause, ClientErrorCause::Deadline), "{err}");
    assert_eq!((err.step, err.sent), (ExchangeStep::Wait, Sent::Maybe));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(send(&client, addr).expect("response").body, b"other");
}

// Guards against reading bytes that arrive on an idle connection as the next response.
#[test]
fn bytes_on_an_idle_connection_close_it() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n";
        let mut kept = Vec::new();
        for body in [b"a", b"b"] {
            let (mut socket, _) = listener.accept().expect("accept");
            read_head(&mut socket);
            let _ = socket.write_all(&[reply.as_slice(), body].concat());
            thread::sleep(Duration::from_millis(50));
            let _ = socket.write_all(&[reply.as_slice(), b"z"].concat());
            kept.push(socket);
        }
    });
    let client = Client::new(ClientLimits::default());
    assert_eq!(send(&client, addr).expect("response").body, b"a");
    assert_eq!(client.idle_connections(addr), 1);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(send(&client, addr).expect("response").body, b"b");
}

// Guards against reporting a request as possibly sent when the connection was refused.
#[test]
fn refused_connection_sent_nothing() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    drop(listener);
    let err = send(&Client::new(ClientLimits::default()), addr).expect_err("refused");
    assert_eq!((err.step, err.sent), (ExchangeStep::Connect, Sent::Nothing));
}

// Guards against a failed request because the server has closed the idle connection.
#[test]
fn closed_idle_connection_is_replaced() {
    let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let addr = serve_replies(vec![(reply, true), (reply, false)]);
    let client = Client::new(ClientLimits::default());
    send(&client, addr).expect("response");
    thread::sleep(Duration::from_millis(50));
    send(&client, addr).expect("response");
}

// Guards against request splitting: targets and header fields that the server would read as a second request.
#[test]
fn invalid_targets_and_fields_are_not_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    let client = Client::new(ClientLimits::default());
    let bad = [
        Request::get("/").with_header("x", "a\r\ny: b"),
        Request::get("/").with_header("x\r\n", "a"),
        Request::get("/").with_header("x", "\u{e4}"),
        Request::get("/ HTTP/1.1\r\n"),
        Request::get("relative"),
        Request::get("/").with_header("host", "a b"),
    ];
    for req in bad {
        let err = block_on(client.send(addr, req, test_deadline())).expect_err("not sent");
        assert_eq!(
            (err.step, err.sent),
            (ExchangeStep::Encode, Sent::Nothing),
            "{err}"
        );
    }
}
