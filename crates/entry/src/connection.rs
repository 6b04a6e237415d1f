//! One HTTP/2 connection to a peer, opened on use and replaced when it breaks.

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

/// Lets hyper spawn its tasks on the process-wide executor.
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

/// Why no connection could be had.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ConnectError {
    /// The port refused the connection.
    #[display("connection refused")]
    Refused,
    /// Anything else.
    #[display("{problem}")]
    Failed {
        /// What went wrong.
        problem: Arc<str>,
    },
}

/// The connection to one peer.
pub(crate) struct Connection {
    address: SocketAddr,
    timeouts: PeerTimeouts,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    sender: Option<SendRequest<Body>>,
    failures: u32,
    not_before: Option<Instant>,
}

impl Connection {
    pub(crate) fn new(address: SocketAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            address,
            timeouts,
            state: Mutex::new(State::default()),
        }
    }

    /// Returns the open connection, or opens one.
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
        if state.not_before.is_some_and(|time| Instant::now() < time) {
            return Err(failed("waiting before the next attempt to connect"));
        }
        let limit = deadline.min(Instant::now() + self.timeouts.connect);
        let result = timeout_at(limit, self.open()).await;
        let result = result.unwrap_or_else(|_| Err(failed("timeout while connecting")));
        match &result {
            Ok(sender) => {
                *state = State {
                    sender: Some(sender.clone()),
                    ..State::default()
                };
            }
            Err(_) => state.back_off(&self.timeouts),
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
        // Heartbeats are small and must not wait for an acknowledgement of earlier ones.
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
            // A broken connection shows as closed to the next call, which replaces it.
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}

impl State {
    fn back_off(&mut self, timeouts: &PeerTimeouts) {
        self.failures = self.failures.saturating_add(1);
        let longest = timeouts.initial_backoff * 2u32.saturating_pow(self.failures.min(16) - 1);
        let longest = longest.min(timeouts.max_backoff);
        let wait_ms = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        let wait = Duration::from_millis(fastrand::u64(wait_ms / 2..=wait_ms));
        self.not_before = Some(Instant::now() + wait);
    }
}

/// Sends one request and records whether any of it may have reached the peer.
pub(crate) struct OneCall {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) sent: Arc<AtomicBool>,
}

impl Service<http::Request<Body>> for OneCall {
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
                if err.take_message().is_some() {
                    sent.store(false, Ordering::SeqCst);
                }
                err.into_error()
            })
        })
    }
}
