//! Client of the calls between entry instances, over HTTP/2.

use {
    crate::{
        MAX_HEARTBEAT_BYTES, MAX_MESSAGE_BYTES,
        api::{EntryError, EntryPeer, HelperConnector, HelperPeer, PeerConnector},
        connection::{ConnectError, Connection, TrackedSender},
        generated::{
            AdviseReply, AdviseRequest, BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply,
            ConfirmSlotEpochRequest, DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse,
            HandRowsReply, HandRowsRequest, HeartbeatReply, HeartbeatRequest, JobMessage,
            JobReference, JobReply, JobStatesReply, JobStatesRequest, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion,
            entry_client::EntryClient as GeneratedClient, helper_client::HelperClient,
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

/// Timeouts, probe intervals and reconnect delays of a client.
#[derive(Debug, Clone, Copy)]
pub struct PeerTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout of heartbeats, of the calls about slots, burn counts and job states, and of handing over job rows.
    pub short_call: Duration,
    /// Timeout of the other calls; forwarded requests and advice requests carry their own.
    pub call: Duration,
    /// Interval between the HTTP/2 pings that probe the connection.
    pub keep_alive_interval: Duration,
    /// Timeout of a ping, after which the connection is closed.
    ///
    /// The interval and this timeout together stay below 3 s, the limit for detecting a silent connection.
    pub keep_alive_timeout: Duration,
    /// Delay after the first failed connection attempt; each further failure doubles it.
    pub initial_backoff: Duration,
    /// Upper limit of the delay between two connection attempts.
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

/// Creates clients that call over HTTP/2 with tonic.
#[derive(Debug, Clone, Copy, Default)]
pub struct TonicConnector {
    /// Timeouts of every client that it creates.
    pub timeouts: PeerTimeouts,
}

impl PeerConnector for TonicConnector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer> {
        Arc::new(EntryClient::new(address, self.timeouts))
    }
}

/// Client of one peer, over a single connection.
pub struct EntryClient {
    address: SocketAddr,
    timeouts: PeerTimeouts,
    connection: Connection,
}

impl EntryClient {
    /// Creates a client; the first call opens the connection.
    #[must_use]
    pub fn new(address: SocketAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            address,
            timeouts,
            connection: Connection::new(address, timeouts),
        }
    }

    fn connect_error(&self, step: &'static str, err: &ConnectError) -> EntryError {
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

    /// Sends one request; the error says whether the peer may have run it.
    async fn call<T, F>(
        &self,
        step: &'static str,
        deadline: Instant,
        invoke: impl FnOnce(TrackedSender, http::Uri) -> F,
    ) -> Result<T, EntryError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let sender = self.connection.sender(deadline).await;
        let sender = sender.map_err(|err| self.connect_error(step, &err))?;
        let sent = Arc::new(AtomicBool::new(false));
        let tracked = TrackedSender {
            sender,
            sent: Arc::clone(&sent),
        };
        let origin = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()
            .map_err(|err| self.call_error(step, true, &err.to_string()))?;
        match timeout_at(deadline, invoke(tracked, origin)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) => {
                // The status for an oversized message does not say whether the request or the reply was too large, so
                // it does not prove that the call did not run.
                let not_run = !sent.load(Ordering::SeqCst) || status.code() == Code::Unimplemented;
                Err(self.call_error(step, not_run, &status.to_string()))
            }
            Err(_) => {
                let not_run = !sent.load(Ordering::SeqCst);
                Err(self.call_error(step, not_run, "timeout"))
            }
        }
    }

    fn call_error(&self, step: &'static str, not_run: bool, problem: &str) -> EntryError {
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

macro_rules! impl_entry_peer {
    ($($name:ident($step:literal, $req:ident, $timeout:expr, $max_bytes:expr) -> $reply:ident;)*) => {
        #[async_trait]
        impl EntryPeer for EntryClient {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                let timeout: fn(&PeerTimeouts, &$req) -> Duration = $timeout;
                if req.encoded_len() > $max_bytes {
                    return Err(self.call_error($step, true, "the message is too large"));
                }
                let deadline = Instant::now() + timeout(&self.timeouts, &req);
                let invoke = |sender, origin| async move {
                    let mut client = GeneratedClient::with_origin(sender, origin)
                        .max_decoding_message_size($max_bytes)
                        .max_encoding_message_size($max_bytes);
                    client.$name(req).await
                };
                self.call($step, deadline, invoke).await
            })*
        }
    };
}

impl_entry_peer! {
    heartbeat("heartbeat", HeartbeatRequest, |timeouts, _| timeouts.short_call, MAX_HEARTBEAT_BYTES)
        -> HeartbeatReply;
    push_settings("push settings", SettingsTree, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> SettingsVersion;
    pull_settings("pull settings", SettingsVersion, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> SettingsTree;
    confirm_slot_epoch(
        "confirm slot epoch", ConfirmSlotEpochRequest, |timeouts, _| timeouts.short_call, MAX_MESSAGE_BYTES)
        -> ConfirmSlotEpochReply;
    release_slots("release slots", ReleaseSlotsRequest, |timeouts, _| timeouts.short_call, MAX_MESSAGE_BYTES)
        -> ReleaseSlotsReply;
    forward_request("forward request", ForwardedRequest, |_, req| Duration::from_millis(req.deadline_ms), MAX_MESSAGE_BYTES)
        -> ForwardedResponse;
    submit_job("submit job", JobMessage, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    cancel_job("cancel job", JobReference, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    describe_job("describe job", JobReference, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> JobReply;
    drain("drain", DrainRequest, |timeouts, _| timeouts.call, MAX_MESSAGE_BYTES)
        -> DrainReply;
    burn_counts("burn counts", BurnCountsRequest, |timeouts, _| timeouts.short_call, MAX_MESSAGE_BYTES)
        -> BurnCountsReply;
}

macro_rules! impl_helper_peer {
    ($($name:ident($step:literal, $req:ident, $timeout:expr) -> $reply:ident;)*) => {
        #[async_trait]
        impl HelperPeer for EntryClient {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                let timeout: fn(&PeerTimeouts, &$req) -> Duration = $timeout;
                let deadline = Instant::now() + timeout(&self.timeouts, &req);
                let invoke = |sender, origin| async move {
                    HelperClient::with_origin(sender, origin).$name(req).await
                };
                self.call($step, deadline, invoke).await
            })*
        }
    };
}

impl_helper_peer! {
    advise("advise", AdviseRequest, |_, req| Duration::from_millis(req.timeout_ms)) -> AdviseReply;
    job_states("job states", JobStatesRequest, |timeouts, _| timeouts.short_call) -> JobStatesReply;
    hand_rows("hand rows", HandRowsRequest, |timeouts, _| timeouts.short_call) -> HandRowsReply;
}

impl HelperConnector for TonicConnector {
    fn connect_helper(&self, address: SocketAddr) -> Arc<dyn HelperPeer> {
        Arc::new(EntryClient::new(address, self.timeouts))
    }
}
