//! Statistics of a node's control traffic.

use serde::Deserialize;
use serde::Serialize;

/// Counts since the node's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStats {
    /// Bytes read from control connections, including those to the platform, counted
    /// at the socket.
    pub bytes_in: u64,
    /// Bytes written to the same connections.
    pub bytes_out: u64,
    /// Messages sent to and received from other nodes.
    pub messages: u64,
    /// Pulls among these messages, which request a body from another node.
    pub pulls: u64,
    /// Reads of the platform.
    pub reads: u64,
}
