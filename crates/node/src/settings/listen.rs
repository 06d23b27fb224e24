//! Where a node listens.

use std::net::SocketAddr;

/// The node's listening addresses; port 0 takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// HTTP for callers from outside.
    pub ingress: SocketAddr,
    /// HTTP for the calls of the own target.
    pub egress: SocketAddr,
    /// HTTP/2 for other nodes.
    pub traffic: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// HTTP for operators; a loopback address.
    pub admin: SocketAddr,
}
