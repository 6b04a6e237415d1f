//! Traits of the calls between entry instances, and their error.

use {
    crate::generated::{
        AdviseReply, AdviseRequest, BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply,
        ConfirmSlotEpochRequest, DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse,
        HandRowsReply, HandRowsRequest, HeartbeatReply, HeartbeatRequest, JobMessage, JobReference,
        JobReply, JobStatesReply, JobStatesRequest, ReleaseSlotsReply, ReleaseSlotsRequest,
        SettingsTree, SettingsVersion,
    },
    async_trait::async_trait,
    derive_more::{Display, Error},
    std::{net::SocketAddr, sync::Arc},
};

/// Failure of a call to another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EntryError {
    /// The peer's port refused the connection, so no process listens there.
    #[display("{step} at {peer}: connection refused")]
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The peer did not run the request: it was not sent, or the peer does not implement the call.
    #[display("{step} at {peer}: not sent: {problem}")]
    NotSent {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause, as text for logs and replies.
        problem: Arc<str>,
    },
    /// The request was sent, but no valid reply arrived; the peer may or may not have run it.
    #[display("{step} at {peer}: outcome unknown: {problem}")]
    Unknown {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause, as text for logs and replies.
        problem: Arc<str>,
    },
}

impl EntryError {
    /// Returns whether it is certain that the peer did not run the request.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

macro_rules! entry_traits {
    ($($(#[$doc:meta])* $name:ident($req:ident) -> $reply:ident;)*) => {
        /// Server side of the calls between entry instances.
        #[async_trait]
        pub trait EntryService: Send + Sync {
            $($(#[$doc])* async fn $name(&self, req: $req) -> $reply;)*
        }

        /// Client side of the calls between entry instances; one object stands for one peer.
        #[async_trait]
        pub trait EntryPeer: Send + Sync {
            $($(#[$doc])* async fn $name(&self, req: $req) -> Result<$reply, EntryError>;)*
        }
    };
}

entry_traits! {
    /// Exchanges liveness, the settings version, the slot epoch, and load.
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    /// Sends a settings tree; the reply is the receiver's version after the call.
    push_settings(SettingsTree) -> SettingsVersion;
    /// Returns the receiver's settings tree, with empty content when it is not newer than the version in the request.
    pull_settings(SettingsVersion) -> SettingsTree;
    /// Asks the receiver to confirm that a slot epoch is the newest, which renews the sender's slot lease. After a
    /// confirmation the receiver writes no new slot epoch until that lease has expired.
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    /// Returns the newest slot epoch to whose shares the receiver has reduced its use, and the backend servers on which
    /// the receiver still uses more than its share. The sender uses the slots that a new epoch adds to its share only
    /// after the other instances have reduced their use to that epoch's shares.
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    /// Forwards a caller's request to an instance in another zone.
    forward_request(ForwardedRequest) -> ForwardedResponse;
    /// Submits a job to the owner of its pool.
    submit_job(JobMessage) -> JobReply;
    /// Asks the owner of the job's pool to cancel it.
    cancel_job(JobReference) -> JobReply;
    /// Returns the status of one job, or of all jobs of a workspace, from the owner of the pool.
    describe_job(JobReference) -> JobReply;
    /// Asks the receiver to finish its requests in flight and stop. A receiver that the request does not name refuses.
    drain(DrainRequest) -> DrainReply;
    /// Returns the receiver's counts of all requests and of those answered within the objective's latency, by service
    /// and minute. The rate at which a service uses up its error budget (burn rate) is computed from them.
    burn_counts(BurnCountsRequest) -> BurnCountsReply;
}

/// Creates clients for other entry instances.
pub trait PeerConnector: Send + Sync {
    /// Creates a client for the instance at an address; the first call opens the connection.
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer>;
}

/// Server side of the calls between the cell's leader and the other instances.
#[async_trait]
pub trait HelperService: Send + Sync {
    /// Calls the advice service on behalf of the leader, which spreads these calls over the instances of the cell.
    async fn advise(&self, req: AdviseRequest) -> AdviseReply;
    /// Returns the stored states of jobs from memory if this instance is the leader, which saves the caller a read of
    /// the store. The reply of any other instance has no states.
    async fn job_states(&self, req: JobStatesRequest) -> JobStatesReply;
    /// Accepts the rows of jobs that the calling instance has written to the store, if this instance is the leader.
    async fn hand_rows(&self, req: HandRowsRequest) -> HandRowsReply;
}

/// Client side of the calls between the cell's leader and the other instances.
#[async_trait]
pub trait HelperPeer: Send + Sync {
    /// Asks the peer to call the advice service.
    ///
    /// # Errors
    ///
    /// Returns an error when the request could not be sent, or when no reply arrived within the request's timeout.
    async fn advise(&self, req: AdviseRequest) -> Result<AdviseReply, EntryError>;
    /// Returns the stored states of jobs from the leader's memory, without a read of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the request could not be sent, or when no reply arrived within the short-call timeout.
    async fn job_states(&self, req: JobStatesRequest) -> Result<JobStatesReply, EntryError>;
    /// Sends the leader the rows of jobs that this instance has written to the store, so that the leader has them
    /// before its next read of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the request could not be sent, or when no reply arrived within the short-call timeout.
    async fn hand_rows(&self, req: HandRowsRequest) -> Result<HandRowsReply, EntryError>;
}

/// Creates clients for the calls between the cell's leader and the other instances.
pub trait HelperConnector: Send + Sync {
    /// Creates a client for the instance at an address; the first call opens the connection.
    fn connect_helper(&self, address: SocketAddr) -> Arc<dyn HelperPeer>;
}
