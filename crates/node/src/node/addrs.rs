//! Where a node listens.

use std::net::SocketAddr;

/// The addresses that were bound, with the ports that port 0 became.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddrs {
    /// HTTP for callers from outside.
    pub ingress: SocketAddr,
    /// HTTP for the calls of the own target; the ingress if they share it.
    pub egress: SocketAddr,
    /// HTTP/2 for other nodes.
    pub traffic: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// HTTP for operators.
    pub admin: SocketAddr,
}
