//! Results of requests to backend servers.

use {
    derive_more::{Display, Error},
    ragwortreel_http::{ClientError, Response},
    ragwortreel_model::Outcome,
    std::{net::SocketAddr, time::Duration},
};

/// Result of sending a request.
#[derive(Debug)]
pub enum SendResult {
    /// The complete response to this request.
    Answered(Response),
    /// The request certainly did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl SendResult {
    /// The outcome that is reported to the caller.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }
}

/// Reason why a request certainly did not run: no byte of it was passed to the operating system for sending.
#[derive(Debug, Display, Error)]
pub enum NotRunReason {
    /// The pool is being drained.
    #[display("{peer}: pool is draining")]
    Draining {
        /// Address of the backend server.
        peer: SocketAddr,
    },
    /// All allowed connections are in use.
    #[display("{peer}: all {connections} connections are in use")]
    Busy {
        /// Address of the backend server.
        peer: SocketAddr,
        /// Connections in use.
        connections: usize,
    },
    /// The deadline passed before a connection was taken.
    #[display("{peer}: deadline passed before the request was sent")]
    Expired {
        /// Address of the backend server.
        peer: SocketAddr,
    },
    /// The slot was lost before the first byte was sent.
    #[display("{peer}: the slot was lost before the request was sent")]
    Revoked {
        /// Address of the backend server.
        peer: SocketAddr,
    },
    /// No connection could be opened.
    #[display("{_0}")]
    Connect(ClientError),
    /// The exchange failed before the first byte was sent.
    #[display("{_0}")]
    NothingSent(ClientError),
}

/// Reason why it is unknown whether a request ran.
#[derive(Debug, Display, Error)]
pub enum UnknownReason {
    /// The connection made no progress within the silence timeout.
    #[display("{peer}: no progress for {} ms", waited.as_millis())]
    Silent {
        /// Address of the backend server.
        peer: SocketAddr,
        /// Time without progress.
        waited: Duration,
    },
    /// The deadline passed after the first byte was sent.
    #[display("{_0}")]
    Deadline(ClientError),
    /// The connection broke, or the response was invalid or exceeded a limit.
    #[display("{_0}")]
    Broken(ClientError),
    /// The slot was lost after the first byte was sent.
    #[display("{peer}: the slot was lost while the request ran")]
    Revoked {
        /// Address of the backend server.
        peer: SocketAddr,
    },
    /// The connection task ended without sending a result.
    #[display("{peer}: task of the connection ended")]
    TaskEnded {
        /// Address of the backend server.
        peer: SocketAddr,
    },
}
