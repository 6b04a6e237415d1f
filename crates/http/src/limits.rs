//! Limits of servers and clients.

use std::time::Duration;

/// Largest head in bytes; async-h1 refuses heads of 8 KiB and more, and the rewritten head can be a little longer.
pub const MAX_HEAD_BYTES: usize = 8000;
/// Most header fields; async-h1 refuses more than 128.
pub const MAX_HEADER_FIELDS: usize = 120;
/// Largest body that is accepted by default.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest head in bytes, at most [`MAX_HEAD_BYTES`]; larger ones get 431.
    pub max_head_bytes: usize,
    /// Largest body in bytes; larger ones get 413.
    pub max_body_bytes: usize,
    /// Time from a head's first byte to its last; slower ones get 408.
    pub head_timeout: Duration,
    /// Time for a whole body; slower ones get 408.
    pub body_timeout: Duration,
    /// Time before the minimum rate applies to a body.
    pub body_rate_grace: Duration,
    /// Minimum rate of a body in bytes a second.
    pub min_body_bytes_per_s: u32,
    /// Time that a connection may wait for its next request.
    pub idle_timeout: Duration,
    /// Time to write a whole response.
    pub write_timeout: Duration,
    /// Most connections; further ones wait in the listen queue of the operating system.
    pub max_connections: usize,
    /// Time after a stop request during which idle connections still accept a request that is on its way.
    pub stop_linger: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_mins(1),
            body_rate_grace: Duration::from_secs(5),
            min_body_bytes_per_s: 1024,
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
            max_connections: 4096,
            stop_linger: Duration::from_millis(250),
        }
    }
}

/// Limits of a client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Largest response head in bytes, at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest response body in bytes.
    pub max_body_bytes: usize,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Most idle connections kept for each address.
    pub max_idle_per_address: usize,
    /// Time after which an idle connection is closed instead of reused; below the idle time of usual servers.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            connect_timeout: Duration::from_secs(1),
            max_idle_per_address: 8,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
