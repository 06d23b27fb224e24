//! Detection of connections that ended without a reset.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

#[cfg(test)]
mod tests;

/// Idle time after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes. The system's unit is whole seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection counts as dead. A single lost probe costs
/// one more connection and one more read. A second probe would leave no time to
/// disseminate the changes that were missed.
const MAX_UNANSWERED_PROBES: u32 = 1;

/// How long sent bytes may stay unacknowledged. A packet that is lost once is
/// retransmitted within half a second.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Enables TCP keep-alive probes on a connection.
///
/// A peer that loses power, or a network that drops a connection's packets, sends no
/// reset, and a read of the answer would wait for ever. With these options the connection
/// ends about two seconds after the last packet from the peer.
///
/// # Errors
///
/// Fails if the system rejects the options.
pub fn enable_keep_alive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED))
}
