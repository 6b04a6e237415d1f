//! Socket options of connections to backend servers.

use {
    rustix::net::sockopt,
    std::{io, net::TcpStream, time::Duration},
};

/// Unanswered keepalive probes after which the operating system closes the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Makes the operating system close a connection whose peer sends no acknowledgements for this time.
pub fn set_timeouts(socket: &TcpStream, tcp_user_timeout: Duration) -> io::Result<()> {
    let timeout_ms = u32::try_from(tcp_user_timeout.as_millis()).unwrap_or(u32::MAX);
    // The operating system takes keepalive times in whole seconds.
    let keepalive_interval = (tcp_user_timeout / KEEPALIVE_PROBES).max(Duration::from_secs(1));
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, keepalive_interval)?;
    sockopt::set_tcp_keepintvl(socket, keepalive_interval)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, timeout_ms)?;
    Ok(())
}

#[cfg(test)]
mod tests;
