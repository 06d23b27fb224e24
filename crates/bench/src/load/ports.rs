//! Reserves ports on which a process can be restarted.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// The lowest port that is tried. All ports that are tried lie below the range of the
/// system's ephemeral ports, so that no outgoing connection takes a stopped node's
/// port.
const LOWEST_PORT: u16 = 10_000;

/// Number of ports that are tried from there.
const PORT_COUNT: u16 = 22_000;

/// Distance between the first ports that two processes with successive ids try.
const PORTS_BETWEEN_PROCESSES: u32 = 607;

/// Free ports on loopback.
///
/// # Invariants
///
/// Each reserved port stays bound until this is dropped, by a socket that doesn't
/// listen. So no other run takes it while its node is down, and the node can still
/// listen on it.
#[derive(Debug)]
pub struct Ports {
    next: u16,
    reserved: Vec<TcpSocket>,
}

impl Ports {
    /// The first port that is tried depends on the process id, so that concurrent
    /// runs rarely try the same ports.
    pub fn new() -> Ports {
        let offset =
            std::process::id().wrapping_mul(PORTS_BETWEEN_PROCESSES) % u32::from(PORT_COUNT);
        Ports {
            next: u16::try_from(offset).unwrap_or(0),
            reserved: Vec::new(),
        }
    }

    /// Reserves the next free address.
    ///
    /// # Errors
    ///
    /// Fails if no port of the range can be bound.
    pub fn take(&mut self) -> std::io::Result<SocketAddr> {
        let mut err = std::io::Error::other("no port was tried");
        for _ in 0..PORT_COUNT {
            let port = LOWEST_PORT + self.next;
            self.next = (self.next + 1) % PORT_COUNT;
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            match reserve(addr) {
                Ok(socket) => {
                    self.reserved.push(socket);
                    return Ok(addr);
                }
                Err(e) => err = e,
            }
        }
        Err(err)
    }
}

/// Binds exclusively and allows other sockets to bind only afterwards. In the other
/// order it could share a port that another run has reserved.
fn reserve(addr: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(false)?;
    socket.bind(addr)?;
    // INVARIANT: The port is bound from here on.
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

impl Default for Ports {
    fn default() -> Ports {
        Ports::new()
    }
}
