//! Noticing connections that have died without a word.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

#[cfg(test)]
mod tests;

/// How long a connection is silent before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Time between two probes: the system counts in whole seconds.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection counts as dead. A lost probe costs
/// a connection and a read more; a second one would leave no time to spread what was missed.
const PROBES: u32 = 1;

/// How long sent bytes may stay without an acknowledgement. Packets that are
/// lost once are sent again within half a second.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Has the system probe a connection while it is silent.
///
/// A peer that loses power, or a network that drops a connection's packets,
/// sends no reset: whoever waits for an answer there would wait for ever. The
/// connection ends about two seconds after its last sign of life.
///
/// # Errors
///
/// Fails if the system refuses the options.
pub fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
