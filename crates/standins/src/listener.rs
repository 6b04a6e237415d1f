//! HTTP server of the stand-ins.
//!
//! The server of the `ragwortreel-http` crate only sends well-formed responses. Fault injection also needs truncated
//! responses, requests without a response and open connections that stop responding, so the stand-ins have their own
//! server on top of `async-h1`. One task serves each connection, one request at a time.

use {
    crate::faults::{FaultInjector, Faults},
    async_io::Async,
    async_trait::async_trait,
    futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future},
    ragwortreel_http::{Method, Request, Response, json_response, parse_json},
    ragwortreel_runtime::{Stop, sleep_ms, spawn},
    std::{
        fmt::Write,
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
};

/// Request bodies are cut off at this size; a request with a larger `content-length` closes the connection.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_MS: u64 = 50;
/// Path of the control endpoint for [`Faults`]: `GET` reads them, `POST` replaces them.
pub const FAULTS_PATH: &str = "/standin/faults";

/// Action of the server in reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the response; an injected fault may truncate it.
    Respond(Response),
    /// Sends nothing and leaves the connection open until the peer closes it.
    Silent,
    /// Closes the connection without a response.
    Close,
}

/// Request handler of one stand-in.
#[async_trait]
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles a request to any path except [`FAULTS_PATH`].
    async fn handle(&self, req: Request) -> Reply;
    /// Returns the fault injector, which the server also uses for its own faults.
    fn faults(&self) -> &FaultInjector;
    /// Called with the new number of open connections whenever it changes.
    fn connections_changed(&self, _open: u64) {}
}

/// Handle of a running HTTP server; dropping it stops the server.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    stop: Stop,
}

impl ServerHandle {
    /// Returns the bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting and closes all connections at once, as a killed process would.
    pub fn stop(&self) {
        self.stop.request();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts an HTTP server at an address; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn listen(addr: SocketAddr, handler: Arc<dyn RequestHandler>) -> io::Result<ServerHandle> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    let stop = Stop::new();
    spawn(accept_loop(listener, handler, stop.clone())).detach();
    Ok(ServerHandle { addr, stop })
}

async fn accept_loop(listener: Async<TcpListener>, handler: Arc<dyn RequestHandler>, stop: Stop) {
    let open_connections = Arc::new(AtomicU64::new(0));
    while !stop.is_requested() {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            stop.requested().await;
            None
        };
        match future::or(accept, stopped).await {
            Some(Ok((stream, _))) => {
                let connection = Connection {
                    io: SharedStream(Arc::new(stream)),
                    silence_count: handler.faults().silence_count(),
                    handler: Arc::clone(&handler),
                    open_connections: Arc::clone(&open_connections),
                };
                let stop = stop.clone();
                spawn(async move { future::or(connection.run(), stop.requested()).await }).detach();
            }
            Some(Err(_)) => sleep_ms(ACCEPT_RETRY_MS).await,
            None => return,
        }
    }
}

/// Cloneable stream, as `async-h1` requires.
#[derive(Debug, Clone)]
struct SharedStream(Arc<Async<TcpStream>>);

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}

struct Connection {
    io: SharedStream,
    handler: Arc<dyn RequestHandler>,
    /// [`FaultInjector::silence_count`] when the connection was opened; a higher count silences it.
    silence_count: u64,
    open_connections: Arc<AtomicU64>,
}

/// Counts an open connection; also correct when the task of the connection is cancelled.
struct OpenConnectionGuard<'a>(&'a Connection);

impl<'a> OpenConnectionGuard<'a> {
    fn new(connection: &'a Connection) -> Self {
        let open = connection.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
        connection.handler.connections_changed(open);
        Self(connection)
    }
}

impl Drop for OpenConnectionGuard<'_> {
    fn drop(&mut self) {
        let open = self.0.open_connections.fetch_sub(1, Ordering::SeqCst) - 1;
        self.0.handler.connections_changed(open);
    }
}

impl Connection {
    async fn run(self) {
        let _open = OpenConnectionGuard::new(&self);
        let _ = self.io.0.get_ref().set_nodelay(true);
        while let Some(req) = self.read_request().await {
            if !self.serve_request(req).await {
                return;
            }
        }
    }

    // Reads the next request; `None` if the connection was closed or the request is invalid.
    async fn read_request(&self) -> Option<Request> {
        let (mut head, _) = async_h1::server::decode(self.io.clone()).await.ok()??;
        let url = head.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        let length = (head.header("content-length")).and_then(|value| value.as_str().parse().ok());
        let length: u64 = length.unwrap_or(0);
        let mut body = Vec::new();
        let mut reader = head.take_body().into_reader().take(MAX_BODY_BYTES);
        reader.read_to_end(&mut body).await.ok()?;
        if (body.len() as u64) < length {
            return None;
        }
        let mut req = Request::new(head.method(), path).with_body(body);
        for (name, values) in &head {
            for value in values {
                req.headers.append(name.as_str(), value.as_str());
            }
        }
        Some(req)
    }

    fn is_silenced(&self) -> bool {
        self.handler.faults().silence_count() != self.silence_count
    }

    // Serves a request; returns whether the connection stays open.
    async fn serve_request(&self, req: Request) -> bool {
        if req.path_only() == FAULTS_PATH {
            let response = self.read_or_replace_faults(&req);
            return self.write_response(&response, false).await;
        }
        if self.is_silenced() {
            return self.discard_input().await;
        }
        let reply = self.handler.handle(req).await;
        match reply {
            _ if self.is_silenced() => self.discard_input().await,
            Reply::Respond(response) => {
                let truncate = self.handler.faults().should_truncate_response();
                self.write_response(&response, truncate).await
            }
            Reply::Silent => self.discard_input().await,
            Reply::Close => false,
        }
    }

    // Discards input until the peer closes the connection.
    async fn discard_input(&self) -> bool {
        let mut buf = [0; 1024];
        let mut io = self.io.clone();
        while matches!(io.read(&mut buf).await, Ok(1..)) {}
        false
    }

    fn read_or_replace_faults(&self, req: &Request) -> Response {
        if req.method == Method::Post {
            match parse_json::<Faults>(&req.body, 64 * 1024) {
                Ok(faults) => self.handler.faults().set(faults),
                Err(err) => return Response::text(400, format!("{err}\n")),
            }
        }
        let current = self.handler.faults().current();
        json_response(200, &current).unwrap_or_else(|_| Response::new(500))
    }

    // Writes a response; returns whether the connection stays open.
    async fn write_response(&self, response: &Response, truncate: bool) -> bool {
        let mut head = format!("HTTP/1.1 {} status\r\n", response.status);
        for (name, value) in response.headers.iter() {
            // Writing to a string cannot fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "content-length: {}\r\n\r\n", response.body.len());
        let mut bytes = head.into_bytes();
        let sent = if truncate {
            &response.body[..response.body.len() / 2]
        } else {
            &response.body[..]
        };
        bytes.extend_from_slice(sent);
        let mut io = self.io.clone();
        let written = io.write_all(&bytes).await;
        written.is_ok() && !truncate
    }
}
