//! The addresses that a node listens on.

use std::net::SocketAddr;

/// The bound addresses; port 0 is replaced by the assigned port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddrs {
    /// HTTP for callers from outside.
    pub ingress: SocketAddr,
    /// HTTP for calls of the local target; equal to `ingress` if it has no
    /// address of its own.
    pub egress: SocketAddr,
    /// HTTP/2 for other nodes.
    pub traffic: SocketAddr,
    /// Control messages from other nodes.
    pub control: SocketAddr,
    /// HTTP for operators.
    pub admin: SocketAddr,
}
