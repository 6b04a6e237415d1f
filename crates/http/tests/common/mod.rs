//! Test servers and helpers for raw sockets.

#![allow(dead_code, reason = "the test files use different subsets")]

use {
    async_trait::async_trait,
    ragwortreel_http::{Handler, Request, Response, Server, ServerLimits},
    ragwortreel_runtime::{Stop, Task, discard_logger, spawn},
    std::{
        io::{Read, Write},
        net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time that a raw socket waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler that responds with the method, target and body of the request, and counts its calls.
///
/// `/slow` delays the response by 300 ms, `/panic` panics, and `/status/CODE` sets the status.
#[derive(Default)]
pub struct Echo {
    pub calls: AtomicUsize,
}

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, req: Request, _: SocketAddr) -> Response {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if req.path == "/slow" {
            ragwortreel_runtime::sleep_ms(300).await;
        }
        assert_ne!(req.path, "/panic", "panic requested by the test");
        let status = req.path.strip_prefix("/status/");
        let status = status.and_then(|code| code.parse().ok()).unwrap_or(200);
        let mut body = format!("{} {} ", req.method, req.path).into_bytes();
        body.extend_from_slice(&req.body);
        Response::new(status).with_body(body)
    }
}

/// A running server with an [`Echo`] handler.
pub struct TestServer {
    pub addr: SocketAddr,
    pub echo: Arc<Echo>,
    pub stop: Stop,
    pub task: Task<()>,
}

impl TestServer {
    pub fn start(limits: ServerLimits) -> Self {
        let echo = Arc::new(Echo::default());
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let handler: Arc<dyn Handler> = Arc::clone(&echo) as _;
        let server = Server::bind(addr, handler, limits, discard_logger()).expect("bind");
        let (addr, stop) = (server.local_addr(), Stop::new());
        let task = spawn(server.run(stop.clone()));
        Self {
            addr,
            echo,
            stop,
            task,
        }
    }

    pub fn calls(&self) -> usize {
        self.echo.calls.load(Ordering::SeqCst)
    }

    /// Sends raw bytes, shuts down the sending side and returns everything received until the server closes.
    pub fn send_raw(&self, bytes: &[u8]) -> String {
        let mut socket = connect(self.addr);
        let _ = socket.write_all(bytes);
        let _ = socket.shutdown(Shutdown::Write);
        read_all(&mut socket)
    }
}

pub fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(addr).expect("connect");
    socket.set_read_timeout(Some(READ_TIMEOUT)).expect("option");
    socket
}

pub fn read_all(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = socket.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Starts a server that accepts one connection for each reply, and sends the reply after a complete request head.
///
/// Each reply has a flag that says whether the server shuts down the sending side after it.
pub fn serve_replies(replies: Vec<(&'static [u8], bool)>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for (reply, close) in replies {
            let Ok((mut socket, _)) = listener.accept() else {
                return;
            };
            read_head(&mut socket);
            let _ = socket.write_all(reply);
            if close {
                let _ = socket.shutdown(Shutdown::Write);
            }
            kept.push(socket);
        }
        // The sockets stay open until the test process ends.
        thread::sleep(Duration::from_mins(1));
    });
    addr
}

pub fn read_head(socket: &mut TcpStream) -> Vec<u8> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && matches!(socket.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
    }
    head
}

pub fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}
