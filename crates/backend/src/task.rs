//! Task of one connection.

use {
    crate::{
        NotRunReason, SendOptions, SendResult, UnknownReason,
        events::{
            CONNECT_FAILED, CONNECTION_BROKE, CONNECTION_SILENT, PROBE_FAILED,
            SOCKET_OPTIONS_FAILED,
        },
        socket::set_timeouts,
        state::{Job, Permit, Shared},
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

/// Checks of the progress within the time after which a connection counts as silent.
const CHECKS_PER_SILENCE: u32 = 8;

/// Opens a connection and carries requests on it, one at a time.
pub struct ConnectionTask {
    shared: Arc<Shared>,
    permit: Permit,
    job_tx: Sender<Job>,
    job_rx: Receiver<Job>,
}

/// An open connection and its last sign of life.
struct Open {
    connection: Connection,
    timer: DeadlineTimer,
    last_sign: Instant,
}

/// How an exchange ended.
enum End {
    Done(Result<Response, ClientError>),
    Silent(Duration),
    Revoked,
}

/// What an idle connection does next.
enum Next {
    Job(Job),
    Probe,
    Close,
}

impl ConnectionTask {
    pub fn new(shared: Arc<Shared>, permit: Permit) -> Self {
        let (job_tx, job_rx) = async_channel::bounded(1);
        Self {
            shared,
            permit,
            job_tx,
            job_rx,
        }
    }

    /// Runs until the connection is not fit for another request.
    pub async fn run(mut self, first: Job) {
        let (mut job, mut kept) = (first, None);
        // One future for the whole connection, because each new one registers with the stop signal.
        let stop = self.shared.stop.clone();
        let mut stopped = pin!(async {
            stop.requested().await;
            Next::Close
        });
        loop {
            let (class, reply) = (job.terms.class, job.reply.clone());
            let (result, open) = self.serve(kept, job).await;
            let open = open.filter(|open| open.connection.is_usable());
            let offered = open.is_some() && self.permit.put_idle(class, self.job_tx.clone());
            // The connection is offered, or no longer counted, before the caller can send its next request.
            let Some(open) = open.filter(|_| offered) else {
                drop(self);
                let _ = reply.try_send(result);
                return;
            };
            let _ = reply.try_send(result);
            match self.idle(open, class, stopped.as_mut()).await {
                Some((next, open)) => (job, kept) = (next, Some(open)),
                None => return,
            }
        }
    }

    /// Carries one request on the kept connection, or on a new one if that is not fit.
    async fn serve(&self, kept: Option<Open>, job: Job) -> (SendResult, Option<Open>) {
        let fit =
            |open: &Open| self.shared.is_trusted(open.last_sign) && open.connection.is_ready();
        if let Some(mut open) = kept.filter(fit) {
            match self.exchange(&mut open, &job, true).await {
                // The connection broke before the first byte, so the request can go over a new one.
                SendResult::NotRun(NotRunReason::NothingSent(err)) if is_broken(&err) => {}
                result => return (result, Some(open)),
            }
        }
        let connect = async { Some(self.connect(job.terms.deadline).await) };
        let lost = async {
            revoked(&job).await;
            None
        };
        let Some(connected) = future::or(connect, lost).await else {
            let peer = self.shared.peer;
            return (SendResult::NotRun(NotRunReason::Revoked { peer }), None);
        };
        match connected {
            Ok(mut open) => (self.exchange(&mut open, &job, false).await, Some(open)),
            Err(err) => {
                log_event!(self.shared.log, CONNECT_FAILED; "error" => err.to_string());
                (SendResult::NotRun(NotRunReason::Connect(err)), None)
            }
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<Open, ClientError> {
        let limits = &self.shared.limits;
        let connection = Connection::connect(self.shared.peer, &limits.http, deadline).await?;
        self.shared.count_opened();
        if let Err(err) = set_timeouts(connection.socket(), limits.tcp_user_timeout) {
            log_event!(self.shared.log, SOCKET_OPTIONS_FAILED; "error" => err.to_string());
        }
        Ok(Open {
            connection,
            timer: DeadlineTimer::default(),
            last_sign: Instant::now(),
        })
    }

    /// Waits for the next request; `None` when the connection is to be closed.
    async fn idle(
        &mut self,
        mut open: Open,
        class: WorkClass,
        mut stopped: Pin<&mut impl Future<Output = Next>>,
    ) -> Option<(Job, Open)> {
        loop {
            let next = self.next(&mut open, stopped.as_mut()).await;
            let to_close = matches!(next, Next::Close);
            if let Next::Job(job) = next {
                return Some((job, open));
            }
            if !self.permit.withdraw(class, to_close) {
                // The connection has been taken, so a request is on its way.
                return Some((self.job_rx.recv().await.ok()?, open));
            }
            if to_close || !self.probe(&mut open).await {
                return None;
            }
            if !self.permit.put_idle(class, self.job_tx.clone()) {
                return None;
            }
        }
    }

    async fn next(&self, open: &mut Open, stopped: Pin<&mut impl Future<Output = Next>>) -> Next {
        let limits = &self.shared.limits;
        let (time, at_end) = match &limits.probe {
            Some(probe) => (probe.interval, Next::Probe),
            None => (limits.idle_timeout, Next::Close),
        };
        let job = async { self.job_rx.recv().await.map_or(Next::Close, Next::Job) };
        let readable = async {
            open.connection.readable().await;
            Next::Close
        };
        let event = future::or(job, future::or(readable, stopped));
        let limited = open.timer.timeout_at(Instant::now() + time, event).await;
        limited.unwrap_or(at_end)
    }

    /// Sends a probe; false when it was not answered.
    async fn probe(&self, open: &mut Open) -> bool {
        let Some(probe) = &self.shared.limits.probe else {
            return false;
        };
        let request = Request::get(probe.path.as_str());
        let deadline = Instant::now() + probe.timeout;
        match open.connection.exchange(&request, deadline).await {
            Ok(_) => open.last_sign = Instant::now(),
            Err(err) => {
                log_event!(self.shared.log, PROBE_FAILED; "error" => err.to_string());
                if matches!(err.cause, ClientErrorCause::Deadline) {
                    self.shared.found_silent();
                }
            }
        }
        open.connection.is_usable()
    }

    async fn exchange(&self, open: &mut Open, job: &Job, reused: bool) -> SendResult {
        let peer = self.shared.peer;
        // The process may have been paused since the slot was given, so this is the last step before the first byte.
        if job.slot.as_ref().is_some_and(|slot| !slot.is_valid()) {
            return SendResult::NotRun(NotRunReason::Revoked { peer });
        }
        let started = Instant::now();
        let progress = open.connection.progress();
        let (read_before, written_before) = (progress.read(), progress.written());
        let exchange = async {
            End::Done(
                open.connection
                    .exchange(&job.request, job.terms.deadline)
                    .await,
            )
        };
        let watch = async {
            let waited = self.watch(&mut open.timer, &progress, job.terms, started);
            End::Silent(waited.await)
        };
        let lost = async {
            revoked(job).await;
            End::Revoked
        };
        match future::or(exchange, future::or(watch, lost)).await {
            End::Done(Ok(response)) => {
                open.last_sign = Instant::now();
                self.shared
                    .record_answered(job.terms.class, open.last_sign - started);
                SendResult::Answered(response)
            }
            End::Done(Err(err)) => self.failed(err, reused && progress.read() == read_before),
            End::Silent(waited) => {
                log_event!(self.shared.log, CONNECTION_SILENT; "peer" => peer.to_string(),
                    "waited_ms" => u64::try_from(waited.as_millis()).unwrap_or(u64::MAX));
                self.shared.record_silent(job.terms.class, waited);
                self.shared.found_silent();
                SendResult::Unknown(UnknownReason::Silent { peer, waited })
            }
            End::Revoked if progress.written() == written_before => {
                SendResult::NotRun(NotRunReason::Revoked { peer })
            }
            End::Revoked => SendResult::Unknown(UnknownReason::Revoked { peer }),
        }
    }

    fn failed(&self, err: ClientError, no_sign_of_life: bool) -> SendResult {
        if err.sent == Sent::Nothing {
            return SendResult::NotRun(NotRunReason::NothingSent(err));
        }
        log_event!(self.shared.log, CONNECTION_BROKE; "error" => err.to_string());
        if !matches!(err.cause, ClientErrorCause::Deadline) {
            return SendResult::Unknown(UnknownReason::Broken(err));
        }
        // A deadline shorter than the silence time hides a silent connection. Replacing the idle ones costs little,
        // and the next requests could not afford to find out one by one.
        if no_sign_of_life && self.shared.limits.silence_timeout.is_some() {
            self.shared.distrust_idle();
        }
        SendResult::Unknown(UnknownReason::Deadline(err))
    }

    /// Returns the time without progress once it is longer than the request's class can explain.
    ///
    /// A straggler of long work takes many times longer than anything seen before, so long work counts as silent only
    /// when another connection of the pool was found silent since it began.
    async fn watch(
        &self,
        timer: &mut DeadlineTimer,
        progress: &Progress,
        terms: SendOptions,
        started: Instant,
    ) -> Duration {
        let Some(patience) = self.shared.patience(terms) else {
            return future::pending().await;
        };
        let (mut last, mut since) = ((progress.written(), progress.read()), started);
        loop {
            let next = Instant::now() + patience / CHECKS_PER_SILENCE;
            timer.sleep_until(next).await;
            let now = (progress.written(), progress.read());
            if now != last {
                (last, since) = (now, Instant::now());
            }
            let waited = since.elapsed();
            if waited >= patience
                && (terms.class != WorkClass::Long || self.shared.silent_since(started))
            {
                return waited;
            }
        }
    }
}

/// Waits until the request's slot is lost; forever for a request without one.
async fn revoked(job: &Job) {
    match &job.slot {
        Some(slot) => slot.revoked().await,
        None => future::pending().await,
    }
}

/// Whether the connection, not the request or its deadline, was the cause.
fn is_broken(err: &ClientError) -> bool {
    matches!(
        err.cause,
        ClientErrorCause::Io(_) | ClientErrorCause::Closed
    )
}
