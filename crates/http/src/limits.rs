//! Size limits and timeouts of servers and clients.

use std::time::Duration;

/// Largest head in bytes. async-h1 rejects heads of 8 KiB and more, and the head passed to it can be a little longer
/// than the received one.
pub const MAX_HEAD_BYTES: usize = 8000;
/// Maximum number of header fields of a message; async-h1 rejects more than 128.
pub const MAX_HEADER_FIELDS: usize = 120;
/// Default limit of a body in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Size limits and timeouts of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest request head in bytes, at most [`MAX_HEAD_BYTES`]; a larger one gets status 431.
    pub max_head_bytes: usize,
    /// Largest request body in bytes; a larger one gets status 413.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head to its last; a slower one gets status 408.
    pub head_timeout: Duration,
    /// Time for a complete body; a slower one gets status 408.
    pub body_timeout: Duration,
    /// Time that a body may take in addition to what `min_body_bytes_per_s` allows.
    pub body_rate_grace: Duration,
    /// Minimum average rate of a body in bytes per second.
    pub min_body_bytes_per_s: u32,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time to write a complete response.
    pub write_timeout: Duration,
    /// Maximum number of open connections; further ones wait in the listen queue of the operating system.
    pub max_connections: usize,
    /// Time after a stop request during which idle connections still accept a request that is already in transit.
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

/// Size limits and timeouts of a client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Largest response head in bytes, at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest response body in bytes.
    pub max_body_bytes: usize,
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections that [`Client`](crate::Client) keeps for each address.
    pub max_idle_per_address: usize,
    /// Time after which an idle connection is closed instead of reused; below the idle timeout of common servers.
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
