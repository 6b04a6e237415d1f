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
    /// Exchanges liveness, versions and load.
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    /// Sends a settings tree; the reply is the receiver's version after the call.
    push_settings(SettingsTree) -> SettingsVersion;
    /// Returns the receiver's settings tree, with empty content when it is not newer than the version in the request.
    pull_settings(SettingsVersion) -> SettingsTree;
    /// Asks the receiver to confirm a slot epoch; a receiver that confirms it does not change it for the lease time.
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    /// Returns the slot epoch to whose shares the receiver has shrunk, and the backend servers on which it still uses
    /// more than its share; the sender uses slots that it gained only after their previous user has released them.
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    /// Forwards a caller's request to an instance in another zone.
    forward_request(ForwardedRequest) -> ForwardedResponse;
    /// Submits a job to the owner of its pool.
    submit_job(JobMessage) -> JobReply;
    /// Asks the owner of the job's pool to cancel it.
    cancel_job(JobReference) -> JobReply;
    /// Returns the status of one job, or of all jobs of a workspace, from the owner of the pool.
    describe_job(JobReference) -> JobReply;
    /// Asks the receiver to finish its requests in flight and stop.
    drain(DrainRequest) -> DrainReply;
    /// Returns the receiver's request counts, from which the burn-rate report of the service level is computed.
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
    /// Asks the advice service on behalf of the leader.
    async fn advise(&self, req: AdviseRequest) -> AdviseReply;
    /// Returns the stored states of jobs if this instance leads; the leader has them in memory.
    async fn job_states(&self, req: JobStatesRequest) -> JobStatesReply;
    /// Accepts rows of jobs that another instance stored, if this instance leads.
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
    /// Asks the leader for the stored states of jobs, which it has in memory.
    ///
    /// # Errors
    ///
    /// Returns an error when the request could not be sent, or when no reply arrived within the short-call timeout.
    async fn job_states(&self, req: JobStatesRequest) -> Result<JobStatesReply, EntryError>;
    /// Sends the leader rows of jobs that this instance stored, so that it need not wait until it reads them from the
    /// store.
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
