//! HTTP/1.1 server with one task for each connection.

use {
    crate::{
        DeadlineTimer, MessageError, Method, ReadError, Request, Response, ServerLimits,
        codec::{decode_request, encode_response_head, has_body},
        events::{
            ACCEPT_FAILED, HANDLER_PANICKED, INVALID_RESPONSE, REQUEST_REFUSED,
            RESPONSE_NOT_WRITTEN,
        },
        head::Framing,
        reader::{MessageReader, ReadLimits, ReadTimeouts},
        stream::Stream,
    },
    async_channel::Sender,
    async_io::Async,
    async_lock::{Semaphore, SemaphoreGuardArc},
    async_trait::async_trait,
    futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future},
    ragwortreel_runtime::{
        Logger, Stop, log_event, sleep, sleep_ms, spawn, timeout, timeout_ms, traffic::HTTP_SERVER,
    },
    std::{
        future::Future,
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        panic::AssertUnwindSafe,
        pin::{Pin, pin},
        sync::Arc,
        time::Instant,
    },
};

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_MS: u64 = 50;
/// Time during which a closing connection still reads and discards bytes, so that the last response is not lost.
const CLOSE_LINGER_MS: u64 = 1000;
/// Number of bytes after which a closing connection stops discarding and closes.
const CLOSE_LINGER_BYTES: usize = 1024 * 1024;
/// Largest body that is sent in one write together with the head.
const MAX_COALESCED_BODY_BYTES: usize = 32 * 1024;

/// Produces the responses of a [`Server`].
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the response to a complete request; if the handler panics, the client gets status 500.
    async fn handle(&self, req: Request, peer: SocketAddr) -> Response;
}

/// HTTP/1.1 server that is bound to an address; [`Server::run`] accepts and serves connections.
pub struct Server {
    listener: Async<TcpListener>,
    local_addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    handler: Arc<dyn Handler>,
    limits: ServerLimits,
    log: Logger,
}

impl Server {
    /// Starts to listen on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        addr: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: ServerLimits,
        log: Logger,
    ) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(addr)?;
        let local_addr = listener.get_ref().local_addr()?;
        let shared = Shared {
            handler,
            limits,
            log,
        };
        Ok(Self {
            listener,
            local_addr,
            shared: Arc::new(shared),
        })
    }

    /// Address that the server listens on, with the actual port if it was bound to port 0.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Serves until a stop is requested and all connections have closed.
    ///
    /// After the stop request no connection is accepted, and requests in flight are answered. Idle connections close
    /// after [`ServerLimits::stop_linger`], during which requests that are already in transit are still answered.
    pub async fn run(self, stop: Stop) {
        let permits = Arc::new(Semaphore::new(self.shared.limits.max_connections));
        // Each connection task holds a sender; `recv` returns when the last one is dropped.
        let (open_tx, open_rx) = async_channel::bounded::<()>(1);
        loop {
            let next = future::or(async { Some(self.accept(&permits).await) }, async {
                stop.requested().await;
                None
            });
            let Some((stream, peer, permit)) = next.await else {
                break;
            };
            let task = ConnectionTask {
                shared: Arc::clone(&self.shared),
                stop: stop.clone(),
                peer,
                _open_tx: open_tx.clone(),
                _permit: permit,
            };
            spawn(task.run(stream)).detach();
        }
        drop(self.listener);
        drop(open_tx);
        let _ = open_rx.recv().await;
    }

    async fn accept(
        &self,
        permits: &Arc<Semaphore>,
    ) -> (Async<TcpStream>, SocketAddr, SemaphoreGuardArc) {
        let permit = permits.acquire_arc().await;
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => return (stream, peer, permit),
                Err(err) => {
                    log_event!(self.shared.log, ACCEPT_FAILED; "error" => err.to_string());
                    sleep_ms(ACCEPT_RETRY_MS).await;
                }
            }
        }
    }
}

/// Task that serves one connection.
struct ConnectionTask {
    shared: Arc<Shared>,
    stop: Stop,
    peer: SocketAddr,
    _open_tx: Sender<()>,
    _permit: SemaphoreGuardArc,
}

impl ConnectionTask {
    async fn run(self, stream: Async<TcpStream>) {
        let _guard = self.stop.guard();
        let Ok(stream) = Stream::new(stream, &HTTP_SERVER) else {
            return;
        };
        let mut reader = MessageReader::new(stream, read_limits(&self.shared.limits));
        let mut timer = DeadlineTimer::default();
        // Created once for each connection instead of for each request, to register only one listener with the stop
        // signal.
        let mut stopped = pin!(async {
            self.stop.requested().await;
            sleep(self.shared.limits.stop_linger).await;
            false
        });
        while self
            .wait_for_request(&mut reader, &mut timer, stopped.as_mut())
            .await
        {
            if !self.serve_request(&mut reader).await {
                close_gracefully(reader.io_mut()).await;
                return;
            }
        }
    }

    /// Waits for the first byte of a request; returns false if the connection is to be closed instead.
    async fn wait_for_request(
        &self,
        reader: &mut MessageReader<Stream>,
        timer: &mut DeadlineTimer,
        stopped: Pin<&mut impl Future<Output = bool>>,
    ) -> bool {
        let limits = &self.shared.limits;
        let request = async { reader.wait().await.is_ok() };
        // The request is polled first, so that one that has arrived is served even after the timeout or the stop.
        let deadline = Instant::now() + limits.idle_timeout;
        let next = timer.timeout_at(deadline, request.or(stopped)).await;
        next.unwrap_or(false)
    }

    /// Reads and answers one request; returns false if the connection is to be closed.
    async fn serve_request(&self, reader: &mut MessageReader<Stream>) -> bool {
        let (request, client_closes) = match self.read_request(reader).await {
            Ok(message) => message,
            Err(ReadError::Message(err)) => return self.reject(reader, err).await,
            Err(ReadError::Truncated) => {
                let err = MessageError::Malformed("message cut");
                return self.reject(reader, err).await;
            }
            Err(ReadError::Closed | ReadError::Io(_)) => return false,
        };
        let method = request.method;
        let response = self.call_handler(request).await;
        let close = client_closes || self.stop.is_requested();
        self.write_response(reader.io_mut(), response, method, close)
            .await
            && !close
    }

    /// Reads a request; the flag says whether the client asked to close the connection after the response.
    async fn read_request(
        &self,
        reader: &mut MessageReader<Stream>,
    ) -> Result<(Request, bool), ReadError> {
        let head = reader.request_head().await?;
        if let Framing::Length(length) = head.framing
            && length > self.shared.limits.max_body_bytes as u64
        {
            return Err(MessageError::BodyTooLarge.into());
        }
        if head.expects_continue && !reader.has_buffered() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            reader.io_mut().write_all(interim).await?;
        }
        let body = reader.body(head.framing).await?;
        let close = head.close;
        Ok((decode_request(head, &body)?, close))
    }

    /// Runs the handler and turns a panic into a response with status 500.
    async fn call_handler(&self, request: Request) -> Response {
        let response = self.shared.handler.handle(request, self.peer);
        let result = AssertUnwindSafe(response).catch_unwind().await;
        result.unwrap_or_else(|_| {
            log_event!(self.shared.log, HANDLER_PANICKED; "peer" => self.peer.to_string());
            Response::text(500, "internal error\n")
        })
    }

    /// Answers an invalid request; returns false because the connection is then closed.
    async fn reject(&self, reader: &mut MessageReader<Stream>, err: MessageError) -> bool {
        log_event!(self.shared.log, REQUEST_REFUSED;
            "peer" => self.peer.to_string(), "reason" => err.to_string());
        let response = Response::text(err.status(), format!("{err}\n"));
        self.write_response(reader.io_mut(), response, Method::Get, true)
            .await;
        false
    }

    /// Writes a response; returns false if that failed.
    async fn write_response(
        &self,
        stream: &mut Stream,
        response: Response,
        method: Method,
        close: bool,
    ) -> bool {
        let encoded = encode_response_head(&response, method, close);
        let (mut head, response) = match encoded {
            Ok(head) => (head, response),
            Err(problem) => {
                log_event!(self.shared.log, INVALID_RESPONSE; "problem" => problem);
                let response = Response::text(500, "internal error\n");
                match encode_response_head(&response, method, close) {
                    Ok(head) => (head, response),
                    Err(_) => return false,
                }
            }
        };
        let body: &[u8] = if has_body(response.status, method) {
            &response.body
        } else {
            &[]
        };
        let coalesced = body.len() <= MAX_COALESCED_BODY_BYTES;
        if coalesced {
            head.extend_from_slice(body);
        }
        let write = async {
            stream.write_all(&head).await?;
            if !coalesced {
                stream.write_all(body).await?;
            }
            Ok::<_, io::Error>(())
        };
        let written = timeout(self.shared.limits.write_timeout, write).await;
        let ok = matches!(written, Ok(Ok(())));
        if !ok {
            log_event!(self.shared.log, RESPONSE_NOT_WRITTEN; "peer" => self.peer.to_string());
        }
        ok
    }
}

/// Shuts down the sending side, then reads and discards bytes until the client closes or a limit is reached.
///
/// Closing a socket with unread bytes resets the connection, and the client could lose the last response.
async fn close_gracefully(stream: &mut Stream) {
    if stream.socket().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let mut buf = vec![0; 4096];
        let mut discarded = 0;
        while discarded < CLOSE_LINGER_BYTES {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(read) => discarded += read,
            }
        }
    };
    let _ = timeout_ms(CLOSE_LINGER_MS, discard).await;
}

fn read_limits(limits: &ServerLimits) -> ReadLimits {
    ReadLimits {
        max_head_bytes: limits.max_head_bytes,
        max_body_bytes: limits.max_body_bytes,
        timeouts: Some(ReadTimeouts {
            head_timeout: limits.head_timeout,
            body_timeout: limits.body_timeout,
            body_rate_grace: limits.body_rate_grace,
            min_body_bytes_per_s: limits.min_body_bytes_per_s,
        }),
    }
}
