//! Ports that a process can be started on again.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// The lowest port that is tried. Below the range from which the system takes
/// ports of outgoing connections, so that none takes a stopped node's port.
const LOWEST: u16 = 10_000;

/// How many ports are tried from there.
const RANGE: u16 = 22_000;

/// How far apart the places are at which two processes begin to try.
const APART: u32 = 607;

/// Free ports on loopback.
///
/// # Invariants
///
/// Each port that was given out stays bound until this is dropped, by a socket
/// that doesn't listen: no other run takes it while its node is down, and the
/// node can still listen on it.
#[derive(Debug)]
pub struct Ports {
    next: u16,
    held: Vec<TcpSocket>,
}

impl Ports {
    /// Begins at a place that depends on the process, so that runs side by
    /// side rarely try the same ports.
    pub fn new() -> Ports {
        let place = std::process::id().wrapping_mul(APART) % u32::from(RANGE);
        Ports {
            next: u16::try_from(place).unwrap_or(0),
            held: Vec::new(),
        }
    }

    /// The next free address.
    ///
    /// # Errors
    ///
    /// Fails if no port of the range can be bound.
    pub fn take(&mut self) -> std::io::Result<SocketAddr> {
        let mut err = std::io::Error::other("no port tried");
        for _ in 0..RANGE {
            let port = LOWEST + self.next;
            self.next = (self.next + 1) % RANGE;
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            match reserve(addr) {
                Ok(socket) => {
                    self.held.push(socket);
                    return Ok(addr);
                }
                Err(e) => err = e,
            }
        }
        Err(err)
    }
}

/// Binds alone, and only then lets others bind beside it: the other way round
/// it would share a port that another run reserved.
fn reserve(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(false)?;
    socket.bind(addr)?;
    // INVARIANT: Bound from here on.
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

impl Default for Ports {
    fn default() -> Ports {
        Ports::new()
    }
}
