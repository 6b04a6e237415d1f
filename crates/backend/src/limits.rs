//! Limits of a pool.

use {
    ragwortreel_http::ClientLimits,
    ragwortreel_model::WorkClass,
    std::time::{Duration, Instant},
};

/// How a request is to be sent.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Class of the work.
    pub class: WorkClass,
    /// Instant at which the exchange ends at the latest.
    pub deadline: Instant,
    /// Whether the sender can send the request again after an unknown outcome; it is then told earlier that a
    /// connection is silent, so that time for another attempt is left.
    pub retryable: bool,
}

/// Limits of the connections to one backend server.
#[derive(Debug, Clone)]
pub struct PoolLimits {
    /// Most connections: this instance's share of the backend server's 64.
    pub max_connections: usize,
    /// Limits of each exchange.
    pub http: ClientLimits,
    /// Time after its last sign of life for which an idle connection may be reused unchecked.
    pub idle_timeout: Duration,
    /// Request that keeps idle connections proven; without one they close after `idle_timeout`.
    pub probe: Option<Probe>,
    /// Time without progress after which a connection counts as silent, unless the learned latency of the request's
    /// class explains it; `None` turns the detection off.
    pub silence_timeout: Option<Duration>,
    /// Time without progress that long work is always allowed. Where only the network is silent, `tcp_user_timeout` ends
    /// the connection earlier.
    pub long_silence_timeout: Duration,
    /// Upper bound of the time without progress that learned latency can explain for urgent and short work.
    pub max_short_silence_timeout: Duration,
    /// Time for which sent bytes may stay unacknowledged, and keepalive probes unanswered, before the operating
    /// system breaks the connection.
    pub tcp_user_timeout: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_connections: 8,
            http: ClientLimits::default(),
            idle_timeout: Duration::from_secs(2),
            probe: None,
            silence_timeout: Some(Duration::from_secs(2)),
            long_silence_timeout: Duration::from_secs(30),
            max_short_silence_timeout: Duration::from_secs(10),
            tcp_user_timeout: Duration::from_secs(3),
        }
    }
}

/// Request that checks an idle connection.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Target of a GET request that costs the backend server little; any complete response is a sign of life.
    pub path: String,
    /// Time between two probes of a connection.
    pub interval: Duration,
    /// Time for a probe's response.
    pub timeout: Duration,
}
