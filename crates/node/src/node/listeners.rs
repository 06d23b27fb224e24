//! Opens the control side's listeners.

use std::io;
use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted. The nodes of a restarting fleet all
/// connect at once.
const LISTEN_BACKLOG: u32 = 1_024;

/// Listens on `addr`; port 0 selects any free port.
///
/// # Errors
///
/// Fails, naming the address, if it can't be listened on.
///
/// # Panics
///
/// Panics outside of a Tokio runtime.
pub(super) fn listen(addr: SocketAddr) -> Result<TcpListener> {
    try_listen(addr).map_err(|cause| {
        Error::new(Step::Connect, format!("can't listen on {addr}")).with_cause(cause)
    })
}

fn try_listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted node can bind its port at once, although connections of the
    // previous process are still in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The address that a listener is bound to.
///
/// # Errors
///
/// Fails if the operating system doesn't return it.
pub(super) fn local_addr(listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|cause| {
        Error::new(Step::Connect, "can't get the address of a listener").with_cause(cause)
    })
}
