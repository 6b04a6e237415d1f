//! Client for another entry instance.

use {
    crate::{
        MAX_HEARTBEAT_BYTES, MAX_MESSAGE_BYTES,
        api::{EntryError, EntryPeer, HelperConnector, HelperPeer, PeerConnector},
        connection::{ConnectError, Connection, OneCall},
        generated::{
            AdviseReply, AdviseRequest, BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply,
            ConfirmSlotEpochRequest, DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse,
            HandRowsReply, HandRowsRequest, HeartbeatReply, HeartbeatRequest, JobMessage,
            JobReference, JobReply, JobStatesReply, JobStatesRequest, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion, entry_client::EntryClient as Stub,
            helper_client::HelperClient,
        },
    },
    async_trait::async_trait,
    prost::Message,
    ragwortreel_runtime::timeout_at,
    std::{
        future::Future,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tonic::{Code, Response, Status},
};

/// Timeouts of a client.
#[derive(Debug, Clone, Copy)]
pub struct PeerTimeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time for a heartbeat or a question about slots.
    pub short_call: Duration,
    /// Time for any other call; a forwarded request brings its own.
    pub call: Duration,
    /// Time between two probes of the connection.
    pub keep_alive_interval: Duration,
    /// Time without an answer to a probe after which the connection counts as broken.
    ///
    /// With the interval it stays below the 3 s within which a silent connection must be found.
    pub keep_alive_timeout: Duration,
    /// Wait after the first failed attempt to connect; doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest wait between two attempts to connect.
    pub max_backoff: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            short_call: Duration::from_secs(1),
            call: Duration::from_secs(5),
            keep_alive_interval: Duration::from_secs(1),
            keep_alive_timeout: Duration::from_millis(1_500),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Makes clients that call over HTTP/2.
#[derive(Debug, Clone, Copy, Default)]
pub struct TonicConnector {
    /// Timeouts of the clients.
    pub timeouts: PeerTimeouts,
}

impl PeerConnector for TonicConnector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer> {
        Arc::new(EntryClient::new(address, self.timeouts))
    }
}

/// Client with one connection to one peer.
pub struct EntryClient {
    address: SocketAddr,
    timeouts: PeerTimeouts,
    connection: Connection,
}

impl EntryClient {
    /// Makes a client; the connection is opened by the first call.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            address,
            timeouts,
            connection: Connection::new(address, timeouts),
        }
    }

    fn connect_failed(&self, step: &'static str, err: &ConnectError) -> EntryError {
        let peer = self.address;
        match err {
            ConnectError::Refused => EntryError::Refused { step, peer },
            ConnectError::Failed { problem } => EntryError::NotSent {
                step,
                peer,
                problem: Arc::clone(problem),
            },
        }
    }

    /// Sends one call and tells whether any of it may have reached the peer.
    async fn call<T, F>(
        &self,
        step: &'static str,
        deadline: Instant,
        run: impl FnOnce(OneCall, http::Uri) -> F,
    ) -> Result<T, EntryError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let sender = self.connection.sender(deadline).await;
        let sender = sender.map_err(|err| self.connect_failed(step, &err))?;
        let sent = Arc::new(AtomicBool::new(false));
        let call = OneCall {
            sender,
            sent: Arc::clone(&sent),
        };
        let origin = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()
            .map_err(|err| self.call_failed(step, true, &err.to_string()))?;
        match timeout_at(deadline, run(call, origin)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => {
                // A status that says that a message is too large does not tell whether it means the request or the
                // reply of a call that ran.
                let not_run = !sent.load(Ordering::SeqCst) || status.code() == Code::Unimplemented;
                Err(self.call_failed(step, not_run, &status.to_string()))
            }
            Err(_) => {
                let not_run = !sent.load(Ordering::SeqCst);
                Err(self.call_failed(step, not_run, "timeout"))
            }
        }
    }

    fn call_failed(&self, step: &'static str, not_run: bool, problem: &str) -> EntryError {
        let (peer, problem) = (self.address, problem.into());
        if not_run {
            EntryError::NotSent {
                step,
                peer,
                problem,
            }
        } else {
            EntryError::Unknown {
                step,
                peer,
                problem,
            }
        }
    }
}

macro_rules! peer {
    ($($name:ident($step:literal, $req:ident, $limit:expr, $bytes:expr) -> $reply:ident;)*) => {
        #[async_trait]
        impl EntryPeer for EntryClient {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                let limit: fn(&PeerTimeouts, &$req) -> Duration = $limit;
                if req.encoded_len() > $bytes {
                    return Err(self.call_failed($step, true, "the message is too large"));
                }
                let deadline = Instant::now() + limit(&self.timeouts, &req);
                let run = |call, origin| async move {
                    let mut stub = Stub::with_origin(call, origin)
                        .max_decoding_message_size($bytes)
                        .max_encoding_message_size($bytes);
                    stub.$name(req).await
                };
                self.call($step, deadline, run).await
            })*
        }
    };
}

peer! {
    heartbeat("heartbeat", HeartbeatRequest, |it, _| it.short_call, MAX_HEARTBEAT_BYTES)
        -> HeartbeatReply;
    push_settings("push settings", SettingsTree, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> SettingsVersion;
    pull_settings("pull settings", SettingsVersion, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> SettingsTree;
    confirm_slot_epoch("confirm slot epoch", ConfirmSlotEpochRequest, |it, _| it.short_call, MAX_MESSAGE_BYTES)
        -> ConfirmSlotEpochReply;
    release_slots("release slots", ReleaseSlotsRequest, |it, _| it.short_call, MAX_MESSAGE_BYTES)
        -> ReleaseSlotsReply;
    forward_request("forward request", ForwardedRequest, |_, req| Duration::from_millis(req.deadline_ms), MAX_MESSAGE_BYTES)
        -> ForwardedResponse;
    submit_job("submit job", JobMessage, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    cancel_job("cancel job", JobReference, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    describe_job("describe job", JobReference, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    drain("drain", DrainRequest, |it, _| it.call, MAX_MESSAGE_BYTES)
        -> DrainReply;
    burn_counts("burn counts", BurnCountsRequest, |it, _| it.short_call, MAX_MESSAGE_BYTES)
        -> BurnCountsReply;
}

macro_rules! helper {
    ($($name:ident($step:literal, $req:ident, $limit:expr) -> $reply:ident;)*) => {
        #[async_trait]
        impl HelperPeer for EntryClient {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                let limit: fn(&PeerTimeouts, &$req) -> Duration = $limit;
                let deadline = Instant::now() + limit(&self.timeouts, &req);
                let run = |call, origin| async move {
                    HelperClient::with_origin(call, origin).$name(req).await
                };
                self.call($step, deadline, run).await
            })*
        }
    };
}

helper! {
    advise("advise", AdviseRequest, |_, req| Duration::from_millis(req.timeout_ms)) -> AdviseReply;
    job_states("job states", JobStatesRequest, |it, _| it.short_call) -> JobStatesReply;
    hand_rows("hand rows", HandRowsRequest, |it, _| it.short_call) -> HandRowsReply;
}

impl HelperConnector for TonicConnector {
    fn connect_helper(&self, address: SocketAddr) -> Arc<dyn HelperPeer> {
        Arc::new(EntryClient::new(address, self.timeouts))
    }
}
