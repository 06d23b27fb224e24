//! What a node's control traffic comes to.

use serde::Deserialize;
use serde::Serialize;

/// Counts since the node's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStats {
    /// Bytes read from control connections, the platform's included, as
    /// counted at the socket.
    pub bytes_in: u64,
    /// Bytes written to them.
    pub bytes_out: u64,
    /// Messages to and from other nodes.
    pub messages: u64,
    /// Messages of these that asked another node for a body.
    pub pulls: u64,
    /// Reads of the platform.
    pub reads: u64,
}
