//! Socket options of connections to backend servers.

use {
    rustix::net::sockopt,
    std::{io, net::TcpStream, time::Duration},
};

/// Keepalive probes that may stay unanswered.
const KEEPALIVE_PROBES: u32 = 3;

/// Lets the operating system break a connection whose peer stops acknowledging for this time.
pub fn set_timeouts(socket: &TcpStream, tcp_user_timeout: Duration) -> io::Result<()> {
    let timeout_ms = u32::try_from(tcp_user_timeout.as_millis()).unwrap_or(u32::MAX);
    // The operating system counts keepalive in whole seconds.
    let interval = (tcp_user_timeout / KEEPALIVE_PROBES).max(Duration::from_secs(1));
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, interval)?;
    sockopt::set_tcp_keepintvl(socket, interval)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, timeout_ms)?;
    Ok(())
}

#[cfg(test)]
mod tests;
