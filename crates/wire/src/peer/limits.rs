//! Bounds on connections between nodes.

use std::time::Duration;

/// How much a node gives to connections with other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Connections that a node keeps open to others.
    pub open: usize,
    /// Connections that it takes from others; more are closed at once.
    pub inbound: usize,
    /// Messages of one connection that are answered at the same time.
    pub requests: usize,
    /// How long opening a connection may take.
    pub connect: Duration,
    /// How long a connection from another node may stay silent.
    pub idle: Duration,
    /// First wait after a connection couldn't be opened.
    pub backoff_base: Duration,
    /// Longest wait after that.
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
