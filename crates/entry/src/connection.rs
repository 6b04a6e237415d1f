//! HTTP/2 connection to a peer: opened by the first call, and opened again by the next call after it breaks.

use {
    crate::client::PeerTimeouts,
    async_io::Async,
    async_lock::Mutex,
    derive_more::{Display, Error},
    hyper::client::conn::http2::{Builder, SendRequest},
    ragwortreel_runtime::{
        spawn, timeout_at,
        traffic::{CountedStream, ENTRY_LINK},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{
        future::Future,
        io::ErrorKind,
        net::{SocketAddr, TcpStream},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tonic::body::Body,
    tower_service::Service,
};

/// Spawns hyper's tasks on the process-wide executor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HyperExecutor;

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        spawn(future).detach();
    }
}

/// Failure to get an open connection.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ConnectError {
    /// The peer's port refused the connection.
    #[display("connection refused")]
    Refused,
    /// A timeout, the backoff after an earlier failure, or another I/O error.
    #[display("{problem}")]
    Failed {
        /// Cause, as text for logs and replies.
        problem: Arc<str>,
    },
}

/// Connection to one peer, shared by all calls to it.
pub(crate) struct Connection {
    address: SocketAddr,
    timeouts: PeerTimeouts,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sender: Option<SendRequest<Body>>,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Connection {
    pub(crate) fn new(address: SocketAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            address,
            timeouts,
            state: Mutex::new(State::default()),
        }
    }

    /// Returns a sender on the open connection; opens a connection if there is none.
    pub(crate) async fn sender(
        &self,
        deadline: Instant,
    ) -> Result<SendRequest<Body>, ConnectError> {
        let failed = |problem: &str| ConnectError::Failed {
            problem: problem.into(),
        };
        let mut state = timeout_at(deadline, self.state.lock())
            .await
            .map_err(|_| failed("timeout while another call connects"))?;
        if let Some(sender) = state.sender.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        state.sender = None;
        if state.retry_at.is_some_and(|time| Instant::now() < time) {
            return Err(failed("waiting before the next attempt to connect"));
        }
        let connect_deadline = deadline.min(Instant::now() + self.timeouts.connect);
        let result = timeout_at(connect_deadline, self.open()).await;
        let result = result.unwrap_or_else(|_| Err(failed("timeout while connecting")));
        match &result {
            Ok(sender) => {
                *state = State {
                    sender: Some(sender.clone()),
                    ..State::default()
                };
            }
            Err(_) => state.schedule_retry(&self.timeouts),
        }
        result
    }

    async fn open(&self) -> Result<SendRequest<Body>, ConnectError> {
        let failed = |problem: String| ConnectError::Failed {
            problem: problem.into(),
        };
        let stream = Async::<TcpStream>::connect(self.address).await;
        let stream = stream.map_err(|err| match err.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ => failed(err.to_string()),
        })?;
        // Without `TCP_NODELAY` a small heartbeat waits until the peer acknowledges earlier data.
        let _ = stream.get_ref().set_nodelay(true);
        let (sender, connection) = Builder::new(HyperExecutor)
            .timer(SmolTimer::new())
            .keep_alive_interval(self.timeouts.keep_alive_interval)
            .keep_alive_timeout(self.timeouts.keep_alive_timeout)
            .keep_alive_while_idle(true)
            .max_header_list_size(16 * 1024)
            .handshake(FuturesIo::new(CountedStream::new(stream, &ENTRY_LINK)))
            .await
            .map_err(|err| failed(err.to_string()))?;
        spawn(async move {
            // The error is ignored: the next call of `Connection::sender` finds the connection closed and opens a new
            // one.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

impl State {
    /// Sets the time of the next connection attempt: exponential backoff with jitter.
    fn schedule_retry(&mut self, timeouts: &PeerTimeouts) {
        self.failures = self.failures.saturating_add(1);
        let backoff = timeouts.initial_backoff * 2u32.saturating_pow(self.failures.min(16) - 1);
        let backoff = backoff.min(timeouts.max_backoff);
        let backoff_ms = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
        let delay = Duration::from_millis(fastrand::u64(backoff_ms / 2..=backoff_ms));
        self.retry_at = Some(Instant::now() + delay);
    }
}

/// Sends one request and records in `sent` whether any part of it may have reached the peer.
pub(crate) struct TrackedSender {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) sent: Arc<AtomicBool>,
}

impl Service<http::Request<Body>> for TrackedSender {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let sent = Arc::clone(&self.sent);
        sent.store(true, Ordering::SeqCst);
        let response = self.sender.try_send_request(req);
        Box::pin(async move {
            response.await.map_err(|mut err| {
                // The error contains the request only if hyper has not serialized it onto the connection.
                if err.take_message().is_some() {
                    sent.store(false, Ordering::SeqCst);
                }
                err.into_error()
            })
        })
    }
}
