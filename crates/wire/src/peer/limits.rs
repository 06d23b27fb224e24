//! Limits of the connections between nodes.

use std::time::Duration;

/// Limits of the connections between a node and its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Most addresses for which a node keeps a connection, or the state of a failed one.
    pub max_outbound: usize,
    /// Most connections accepted from other nodes; further ones are closed at once.
    pub max_inbound: usize,
    /// Most messages of one connection that are processed concurrently.
    pub max_concurrent_requests: usize,
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a connection from another node is closed.
    pub idle_timeout: Duration,
    /// First wait after a failed attempt to open a connection.
    pub backoff_base: Duration,
    /// Longest wait after repeated failures.
    pub backoff_cap: Duration,
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            max_outbound: 32,
            max_inbound: 256,
            max_concurrent_requests: 16,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(300),
            backoff_base: Duration::from_millis(50),
            backoff_cap: Duration::from_secs(2),
        }
    }
}
