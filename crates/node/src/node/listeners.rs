//! The control side's listeners.

use std::io;
use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that wait to be taken: a restarting fleet connects all at once.
const BACKLOG: u32 = 1_024;

/// Listens on `addr`; port 0 takes any free port.
///
/// # Errors
///
/// Fails, naming the address, if that can't be listened on.
///
/// # Panics
///
/// Panics outside of a runtime.
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
    // A node that restarts finds its port at once, although connections of
    // its predecessor are still being forgotten.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// The address that a listener was given.
///
/// # Errors
///
/// Fails if the system doesn't tell.
pub(super) fn bound(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|cause| Error::new(Step::Connect, "no address").with_cause(cause))
}
