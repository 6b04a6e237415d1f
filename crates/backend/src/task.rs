//! Task that owns one connection.

use {
    crate::{
        NotRunReason, SendOptions, SendResult, UnknownReason,
        events::{
            CONNECT_FAILED, CONNECTION_BROKE, CONNECTION_SILENT, PROBE_FAILED,
            SOCKET_OPTIONS_FAILED,
        },
        socket::set_timeouts,
        state::{ConnectionPermit, PendingRequest, Shared},
    },
    async_channel::{Receiver, Sender},
    futures_lite::future,
    ragwortreel_http::{
        ClientError, ClientErrorCause, Connection, DeadlineTimer, Progress, Request, Response, Sent,
    },
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::log_event,
    std::{
        future::Future,
        pin::{Pin, pin},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of progress checks within a silence timeout.
const PROGRESS_CHECKS_PER_TIMEOUT: u32 = 8;

/// Opens a connection and sends requests on it, one at a time.
pub struct ConnectionTask {
    shared: Arc<Shared>,
    permit: ConnectionPermit,
    request_tx: Sender<PendingRequest>,
    request_rx: Receiver<PendingRequest>,
}

/// An open connection.
struct OpenConnection {
    connection: Connection,
    timer: DeadlineTimer,
    // When the connection was opened or last received a complete response.
    last_activity: Instant,
}

/// How an exchange ended.
enum ExchangeEnd {
    Completed(Result<Response, ClientError>),
    /// No progress for this time.
    Silent(Duration),
    /// The slot was lost.
    Revoked,
}

/// Event that ends the idle time of a connection.
enum IdleEvent {
    Request(PendingRequest),
    ProbeDue,
    Close,
}

impl ConnectionTask {
    pub fn new(shared: Arc<Shared>, permit: ConnectionPermit) -> Self {
        let (request_tx, request_rx) = async_channel::bounded(1);
        Self {
            shared,
            permit,
            request_tx,
            request_rx,
        }
    }

    /// Sends the first request and further ones, until the connection cannot be reused.
    pub async fn run(mut self, first: PendingRequest) {
        let (mut pending, mut current) = (first, None);
        // Created once for each connection instead of for each request, to register only one listener with the stop
        // signal.
        let stop = self.shared.stop.clone();
        let mut stopped = pin!(async {
            stop.requested().await;
            IdleEvent::Close
        });
        loop {
            let (class, reply_tx) = (pending.options.class, pending.reply_tx.clone());
            let (result, open) = self.send(current, pending).await;
            let open = open.filter(|open| open.connection.is_usable());
            let offered = open.is_some() && self.permit.offer_idle(class, self.request_tx.clone());
            // The connection is offered for reuse, or has stopped counting as open, before the caller gets the result
            // and can send its next request.
            let Some(open) = open.filter(|_| offered) else {
                drop(self);
                let _ = reply_tx.try_send(result);
                return;
            };
            let _ = reply_tx.try_send(result);
            match self.wait_for_request(open, class, stopped.as_mut()).await {
                Some((next, open)) => (pending, current) = (next, Some(open)),
                None => return,
            }
        }
    }

    /// Sends a request on the current connection, or on a new one if the current one cannot be reused.
    async fn send(
        &self,
        current: Option<OpenConnection>,
        pending: PendingRequest,
    ) -> (SendResult, Option<OpenConnection>) {
        let is_reusable = |open: &OpenConnection| {
            self.shared.is_reusable(open.last_activity) && open.connection.is_ready()
        };
        if let Some(mut open) = current.filter(is_reusable) {
            match self.exchange(&mut open, &pending, true).await {
                // The connection broke before the first byte was sent, so the request is retried on a new one.
                SendResult::NotRun(NotRunReason::NothingSent(err))
                    if is_connection_failure(&err) => {}
                result => return (result, Some(open)),
            }
        }
        let connect = async { Some(self.connect(pending.options.deadline).await) };
        let lost = async {
            slot_lost(&pending).await;
            None
        };
        let Some(connected) = future::or(connect, lost).await else {
            let peer = self.shared.peer;
            return (SendResult::NotRun(NotRunReason::Revoked { peer }), None);
        };
        match connected {
            Ok(mut open) => (self.exchange(&mut open, &pending, false).await, Some(open)),
            Err(err) => {
                log_event!(self.shared.log, CONNECT_FAILED; "error" => err.to_string());
                (SendResult::NotRun(NotRunReason::Connect(err)), None)
            }
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<OpenConnection, ClientError> {
        let limits = &self.shared.limits;
        let connection = Connection::connect(self.shared.peer, &limits.http, deadline).await?;
        self.shared.count_opened();
        if let Err(err) = set_timeouts(connection.socket(), limits.tcp_user_timeout) {
            log_event!(self.shared.log, SOCKET_OPTIONS_FAILED; "error" => err.to_string());
        }
        Ok(OpenConnection {
            connection,
            timer: DeadlineTimer::default(),
            last_activity: Instant::now(),
        })
    }

    /// Waits for the next request and sends probes meanwhile; returns `None` if the connection is to be closed.
    async fn wait_for_request(
        &mut self,
        mut open: OpenConnection,
        class: WorkClass,
        mut stopped: Pin<&mut impl Future<Output = IdleEvent>>,
    ) -> Option<(PendingRequest, OpenConnection)> {
        loop {
            let event = self.next_idle_event(&mut open, stopped.as_mut()).await;
            let to_close = matches!(event, IdleEvent::Close);
            if let IdleEvent::Request(pending) = event {
                return Some((pending, open));
            }
            if !self.permit.remove_idle(class, to_close) {
                // The pool has taken the connection, so a request is about to arrive.
                return Some((self.request_rx.recv().await.ok()?, open));
            }
            if to_close || !self.probe(&mut open).await {
                return None;
            }
            if !self.permit.offer_idle(class, self.request_tx.clone()) {
                return None;
            }
        }
    }

    async fn next_idle_event(
        &self,
        open: &mut OpenConnection,
        stopped: Pin<&mut impl Future<Output = IdleEvent>>,
    ) -> IdleEvent {
        let limits = &self.shared.limits;
        let (timeout, at_timeout) = match &limits.probe {
            Some(probe) => (probe.interval, IdleEvent::ProbeDue),
            None => (limits.idle_timeout, IdleEvent::Close),
        };
        let request = async {
            self.request_rx
                .recv()
                .await
                .map_or(IdleEvent::Close, IdleEvent::Request)
        };
        let readable = async {
            open.connection.readable().await;
            IdleEvent::Close
        };
        let event = future::or(request, future::or(readable, stopped));
        let result = open.timer.timeout_at(Instant::now() + timeout, event).await;
        result.unwrap_or(at_timeout)
    }

    /// Sends a probe; returns false if the connection cannot be reused.
    async fn probe(&self, open: &mut OpenConnection) -> bool {
        let Some(probe) = &self.shared.limits.probe else {
            return false;
        };
        let request = Request::get(probe.path.as_str());
        let deadline = Instant::now() + probe.timeout;
        match open.connection.exchange(&request, deadline).await {
            Ok(_) => open.last_activity = Instant::now(),
            Err(err) => {
                log_event!(self.shared.log, PROBE_FAILED; "error" => err.to_string());
                if matches!(err.cause, ClientErrorCause::Deadline) {
                    self.shared.record_silent_connection();
                }
            }
        }
        open.connection.is_usable()
    }

    async fn exchange(
        &self,
        open: &mut OpenConnection,
        pending: &PendingRequest,
        reused: bool,
    ) -> SendResult {
        let peer = self.shared.peer;
        // The process may have been paused since the slot was granted, so the slot is checked immediately before the
        // first byte is sent.
        if pending.slot.as_ref().is_some_and(|slot| !slot.is_valid()) {
            return SendResult::NotRun(NotRunReason::Revoked { peer });
        }
        let started = Instant::now();
        let progress = open.connection.progress();
        let (read_before, written_before) = (progress.read(), progress.written());
        let exchange = async {
            ExchangeEnd::Completed(
                open.connection
                    .exchange(&pending.request, pending.options.deadline)
                    .await,
            )
        };
        let watch = async {
            let waited =
                self.wait_until_silent(&mut open.timer, &progress, pending.options, started);
            ExchangeEnd::Silent(waited.await)
        };
        let lost = async {
            slot_lost(pending).await;
            ExchangeEnd::Revoked
        };
        match future::or(exchange, future::or(watch, lost)).await {
            ExchangeEnd::Completed(Ok(response)) => {
                open.last_activity = Instant::now();
                self.shared
                    .record_answered(pending.options.class, open.last_activity - started);
                SendResult::Answered(response)
            }
            ExchangeEnd::Completed(Err(err)) => {
                self.exchange_failed(err, reused && progress.read() == read_before)
            }
            ExchangeEnd::Silent(waited) => {
                log_event!(self.shared.log, CONNECTION_SILENT; "peer" => peer.to_string(),
                    "waited_ms" => u64::try_from(waited.as_millis()).unwrap_or(u64::MAX));
                self.shared
                    .record_silent_exchange(pending.options.class, waited);
                self.shared.record_silent_connection();
                SendResult::Unknown(UnknownReason::Silent { peer, waited })
            }
            ExchangeEnd::Revoked if progress.written() == written_before => {
                SendResult::NotRun(NotRunReason::Revoked { peer })
            }
            ExchangeEnd::Revoked => SendResult::Unknown(UnknownReason::Revoked { peer }),
        }
    }

    /// Logs the error of an exchange and converts it to a result. The flag says whether the connection was reused and
    /// received no bytes during the exchange.
    fn exchange_failed(&self, err: ClientError, reused_without_reply: bool) -> SendResult {
        if err.sent == Sent::Nothing {
            return SendResult::NotRun(NotRunReason::NothingSent(err));
        }
        log_event!(self.shared.log, CONNECTION_BROKE; "error" => err.to_string());
        if !matches!(err.cause, ClientErrorCause::Deadline) {
            return SendResult::Unknown(UnknownReason::Broken(err));
        }
        // With a deadline shorter than the silence timeout, a silent connection is not detected as such. Replacing the
        // idle connections costs little, while the next requests would otherwise miss their deadlines on them as well.
        if reused_without_reply && self.shared.limits.silence_timeout.is_some() {
            self.shared.invalidate_idle();
        }
        SendResult::Unknown(UnknownReason::Deadline(err))
    }

    /// Waits until the connection is silent and returns the time without progress.
    ///
    /// A straggler of long work can take many times longer than every earlier exchange. A connection with long work
    /// therefore counts as silent only if another connection of the pool was found silent since the exchange started.
    async fn wait_until_silent(
        &self,
        timer: &mut DeadlineTimer,
        progress: &Progress,
        options: SendOptions,
        started: Instant,
    ) -> Duration {
        let Some(silence_timeout) = self.shared.silence_timeout(options) else {
            return future::pending().await;
        };
        let (mut last_counts, mut last_progress) = ((progress.written(), progress.read()), started);
        loop {
            let next_check = Instant::now() + silence_timeout / PROGRESS_CHECKS_PER_TIMEOUT;
            timer.sleep_until(next_check).await;
            let counts = (progress.written(), progress.read());
            if counts != last_counts {
                (last_counts, last_progress) = (counts, Instant::now());
            }
            let waited = last_progress.elapsed();
            if waited >= silence_timeout
                && (options.class != WorkClass::Long
                    || self.shared.found_silent_connection_since(started))
            {
                return waited;
            }
        }
    }
}

/// Waits until the slot of the request is lost; never returns for a request without a slot.
async fn slot_lost(pending: &PendingRequest) {
    match &pending.slot {
        Some(slot) => slot.revoked().await,
        None => future::pending().await,
    }
}

/// Whether the connection failed, as opposed to the request being invalid or missing its deadline.
fn is_connection_failure(err: &ClientError) -> bool {
    matches!(
        err.cause,
        ClientErrorCause::Io(_) | ClientErrorCause::Closed
    )
}
