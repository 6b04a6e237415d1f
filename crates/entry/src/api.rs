//! The interfaces between entry instances.

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
        /// What was attempted.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// No byte of the request was handed to the peer.
    #[display("{step} at {peer}: not sent: {problem}")]
    NotSent {
        /// What was attempted.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        problem: Arc<str>,
    },
    /// The peer may or may not have run the request.
    #[display("{step} at {peer}: outcome unknown: {problem}")]
    Unknown {
        /// What was attempted.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        problem: Arc<str>,
    },
}

impl EntryError {
    /// Whether the peer certainly did not run the request.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        !matches!(self, Self::Unknown { .. })
    }
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($req:ident) -> $reply:ident;)*) => {
        /// Answers the calls of other entry instances.
        #[async_trait]
        pub trait EntryService: Send + Sync {
            $($(#[$doc])* async fn $name(&self, req: $req) -> $reply;)*
        }

        /// Another entry instance.
        #[async_trait]
        pub trait EntryPeer: Send + Sync {
            $($(#[$doc])* async fn $name(&self, req: $req) -> Result<$reply, EntryError>;)*
        }
    };
}

calls! {
    /// Exchanges liveness, versions and load.
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    /// Hands over a settings tree; the reply is the receiver's version afterwards.
    push_settings(SettingsTree) -> SettingsVersion;
    /// Returns the receiver's settings tree, without content when it is not newer than the version asked with.
    pull_settings(SettingsVersion) -> SettingsTree;
    /// Confirms a slot epoch and promises not to change it for the lease time.
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    /// Asks a previous holder whether its requests in flight on gained slots have ended.
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    /// Carries a caller's request to an instance in another zone.
    forward_request(ForwardedRequest) -> ForwardedResponse;
    /// Hands a job to the owner of its pool.
    submit_job(JobMessage) -> JobReply;
    /// Cancels a job at the owner of its pool.
    cancel_job(JobReference) -> JobReply;
    /// Describes jobs at the owner of their pool.
    describe_job(JobReference) -> JobReply;
    /// Asks the receiver to stop gracefully.
    drain(DrainRequest) -> DrainReply;
    /// Returns the receiver's counts for the service-level-burn report.
    burn_counts(BurnCountsRequest) -> BurnCountsReply;
}

/// Makes clients for other entry instances.
pub trait PeerConnector: Send + Sync {
    /// Makes a client for the instance at an address; the connection is opened on use.
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer>;
}

/// Helps the cell's leader.
#[async_trait]
pub trait HelperService: Send + Sync {
    /// Asks the advice service.
    async fn advise(&self, req: AdviseRequest) -> AdviseReply;
    /// Takes over stored states of jobs.
    async fn job_states(&self, req: JobStatesRequest) -> JobStatesReply;
    /// Takes over stored jobs, if this instance leads.
    async fn hand_rows(&self, req: HandRowsRequest) -> HandRowsReply;
}

/// Another instance that helps the cell's leader.
#[async_trait]
pub trait HelperPeer: Send + Sync {
    /// Asks the advice service through the peer.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer did not answer within the request's timeout.
    async fn advise(&self, req: AdviseRequest) -> Result<AdviseReply, EntryError>;
    /// Tells the peer stored states of jobs.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer did not answer in time.
    async fn job_states(&self, req: JobStatesRequest) -> Result<JobStatesReply, EntryError>;
    /// Hands the peer stored jobs.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer did not answer in time.
    async fn hand_rows(&self, req: HandRowsRequest) -> Result<HandRowsReply, EntryError>;
}

/// Makes clients for helpers.
pub trait HelperConnector: Send + Sync {
    /// Makes a client for the instance at an address; the connection is opened on use.
    fn connect_helper(&self, address: SocketAddr) -> Arc<dyn HelperPeer>;
}
