//! The target beside a node.

use std::net::SocketAddr;

/// The target and its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that the node opens to it at most.
    pub connections: u32,
    /// The path that answers 200 once the target has started.
    pub ready_path: String,
}
