//! Limits of the connections between nodes.

use std::time::Duration;

/// Limits of the connections between a node and its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Most addresses for which a node keeps a connection, or the state of a failed one.
    pub open: usize,
    /// Most connections accepted from other nodes; further ones are closed at once.
    pub inbound: usize,
    /// Most messages of one connection that are processed concurrently.
    pub requests: usize,
    /// Timeout of opening a connection.
    pub connect: Duration,
    /// Idle time after which a connection from another node is closed.
    pub idle: Duration,
    /// First wait after a failed attempt to open a connection.
    pub backoff_base: Duration,
    /// Longest wait after repeated failures.
    pub backoff_cap: Duration,
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            open: 32,
            inbound: 256,
            requests: 16,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(300),
            backoff_base: Duration::from_millis(50),
            backoff_cap: Duration::from_secs(2),
        }
    }
}
