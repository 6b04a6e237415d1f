//! Limits of a connection pool and options of a request.

use {
    ragwortreel_http::ClientLimits,
    ragwortreel_model::WorkClass,
    std::time::{Duration, Instant},
};

/// Options of one request.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Class of the work; selects the idle connections and the silence timeout.
    pub class: WorkClass,
    /// Latest instant at which the exchange ends.
    pub deadline: Instant,
    /// Whether the caller can send the request again after an unknown outcome. If so, a silent connection is reported
    /// earlier, so that time for another attempt is left.
    pub retryable: bool,
}

/// Limits and timeouts of the connections to one backend server.
#[derive(Debug, Clone)]
pub struct PoolLimits {
    /// Maximum number of open connections: this instance's share of the 64 that the backend server allows.
    pub max_connections: usize,
    /// Limits of connecting and of each exchange.
    pub http: ClientLimits,
    /// Time for which an idle connection may be reused, counted from when it was opened or last received a response.
    pub idle_timeout: Duration,
    /// Request that verifies idle connections periodically; without one they close after `idle_timeout`.
    pub probe: Option<Probe>,
    /// Time without progress after which a connection counts as silent; adapted to the observed latencies of the
    /// request's class. `None` turns the detection off.
    pub silence_timeout: Option<Duration>,
    /// Shortest time without progress after which a connection with long work counts as silent. If the network
    /// drops all packets, `tcp_user_timeout` closes the connection earlier.
    pub long_silence_timeout: Duration,
    /// Longest silence timeout that observed latencies can give urgent and short work.
    pub max_short_silence_timeout: Duration,
    /// Time without acknowledgement of sent bytes or keepalive probes after which the operating system closes the
    /// connection.
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

/// Request that verifies an idle connection.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Target of a GET request that costs the backend server little; any complete response
    /// verifies the connection.
    pub path: String,
    /// Time between two probes of a connection.
    pub interval: Duration,
    /// Time to wait for the response to a probe.
    pub timeout: Duration,
}
