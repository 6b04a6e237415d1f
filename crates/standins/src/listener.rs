//! HTTP server of the stand-ins.
//!
//! The guarded server of the `http` package only sends well-formed responses. A stand-in must also be able to cut a
//! response, to leave a request without answer and to fall silent on open connections, so it has a server of its own
//! over `async-h1`. Each connection is served by one task, one request at a time.

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

/// Largest request body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Pause after a failed accept.
const ACCEPT_RETRY_MS: u64 = 50;
/// Control endpoint: `GET` reads the switches, `POST` replaces them.
pub const FAULTS_PATH: &str = "/standin/faults";

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends the response, unless a switch cuts it.
    Respond(Response),
    /// Sends nothing and leaves the connection open.
    Silent,
    /// Closes the connection.
    Close,
}

/// A handler of a stand-in.
#[async_trait]
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers a request.
    async fn handle(&self, req: Request) -> Reply;
    /// The fault switches.
    fn faults(&self) -> &FaultInjector;
    /// Notes that the number of open connections has changed.
    fn connections_changed(&self, _open: u64) {}
}

/// A listening stand-in; dropping it stops it.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    stop: Stop,
}

impl ServerHandle {
    /// The bound address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting and closes all connections, as when the process dies.
    pub fn stop(&self) {
        self.stop.request();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts serving a handler at an address.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn listen(addr: SocketAddr, handler: Arc<dyn RequestHandler>) -> io::Result<ServerHandle> {
    let listener = Async::<TcpListener>::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    let stop = Stop::new();
    spawn(accept_all(listener, handler, stop.clone())).detach();
    Ok(ServerHandle { addr, stop })
}

async fn accept_all(listener: Async<TcpListener>, handler: Arc<dyn RequestHandler>, stop: Stop) {
    let open = Arc::new(AtomicU64::new(0));
    while !stop.is_requested() {
        let accept = async { Some(listener.accept().await) };
        let stopped = async {
            stop.requested().await;
            None
        };
        match future::or(accept, stopped).await {
            Some(Ok((stream, _))) => {
                let connection = Connection {
                    io: Io(Arc::new(stream)),
                    silence_count: handler.faults().silence_count(),
                    handler: Arc::clone(&handler),
                    open: Arc::clone(&open),
                };
                let stop = stop.clone();
                spawn(async move { future::or(connection.run(), stop.requested()).await }).detach();
            }
            Some(Err(_)) => sleep_ms(ACCEPT_RETRY_MS).await,
            None => return,
        }
    }
}

/// Socket that `async-h1` can clone.
#[derive(Debug, Clone)]
struct Io(Arc<Async<TcpStream>>);

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Io {
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
    io: Io,
    handler: Arc<dyn RequestHandler>,
    /// Number of silences when the connection was opened; a later one concerns it.
    silence_count: u64,
    open: Arc<AtomicU64>,
}

/// Keeps the number of open connections right when the task of a connection is dropped.
struct OpenGuard<'a>(&'a Connection);

impl<'a> OpenGuard<'a> {
    fn new(connection: &'a Connection) -> Self {
        let open = connection.open.fetch_add(1, Ordering::SeqCst) + 1;
        connection.handler.connections_changed(open);
        Self(connection)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let open = self.0.open.fetch_sub(1, Ordering::SeqCst) - 1;
        self.0.handler.connections_changed(open);
    }
}

impl Connection {
    async fn run(self) {
        let _open = OpenGuard::new(&self);
        let _ = self.io.0.get_ref().set_nodelay(true);
        while let Some(req) = self.read().await {
            if !self.serve(req).await {
                return;
            }
        }
    }

    // A request that cannot be read ends the connection.
    async fn read(&self) -> Option<Request> {
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

    fn is_silent(&self) -> bool {
        self.handler.faults().silence_count() != self.silence_count
    }

    // Serves a request; `false` when the connection is to be closed.
    async fn serve(&self, req: Request) -> bool {
        if req.path_only() == FAULTS_PATH {
            let response = self.control(&req);
            return self.write(&response, false).await;
        }
        if self.is_silent() {
            return self.stay_silent().await;
        }
        let reply = self.handler.handle(req).await;
        match reply {
            _ if self.is_silent() => self.stay_silent().await,
            Reply::Respond(response) => {
                let cut = self.handler.faults().should_truncate_response();
                self.write(&response, cut).await
            }
            Reply::Silent => self.stay_silent().await,
            Reply::Close => false,
        }
    }

    // Discards what arrives until the peer closes the connection.
    async fn stay_silent(&self) -> bool {
        let mut buf = [0; 1024];
        let mut io = self.io.clone();
        while matches!(io.read(&mut buf).await, Ok(1..)) {}
        false
    }

    fn control(&self, req: &Request) -> Response {
        if req.method == Method::Post {
            match parse_json::<Faults>(&req.body, 64 * 1024) {
                Ok(faults) => self.handler.faults().set(faults),
                Err(err) => return Response::text(400, format!("{err}\n")),
            }
        }
        let current = self.handler.faults().current();
        json_response(200, &current).unwrap_or_else(|_| Response::new(500))
    }

    async fn write(&self, response: &Response, cut: bool) -> bool {
        let mut head = format!("HTTP/1.1 {} status\r\n", response.status);
        for (name, value) in response.headers.iter() {
            // Writing to a string cannot fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "content-length: {}\r\n\r\n", response.body.len());
        let mut bytes = head.into_bytes();
        let sent = if cut {
            &response.body[..response.body.len() / 2]
        } else {
            &response.body[..]
        };
        bytes.extend_from_slice(sent);
        let mut io = self.io.clone();
        let written = io.write_all(&bytes).await;
        written.is_ok() && !cut
    }
}
