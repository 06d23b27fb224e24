//! Ports that a process can be started on again.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// The lowest port that is tried. Below the range from which the system takes
/// ports of outgoing connections, so that none takes a stopped node's port.
const LOWEST: u16 = 10_000;

/// How many ports are tried from there.
const RANGE: u16 = 22_000;

/// Free ports on loopback, found by trying.
#[derive(Debug)]
pub struct Ports {
    next: u16,
}

impl Ports {
    /// Begins at a place that depends on the process, so that runs side by
    /// side rarely try the same ports.
    pub fn new() -> Ports {
        let place = std::process::id().wrapping_mul(607) % u32::from(RANGE);
        Ports {
            next: u16::try_from(place).unwrap_or(0),
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
            match TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
                Ok(listener) => return listener.local_addr(),
                Err(e) => err = e,
            }
        }
        Err(err)
    }
}

impl Default for Ports {
    fn default() -> Ports {
        Ports::new()
    }
}
