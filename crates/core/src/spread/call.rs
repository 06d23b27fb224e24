//! Calls to peers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::InstanceId;
use crate::PeerMessage;

/// Identifies a call, to match its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

impl CallId {
    /// The id of call number `n` of this node.
    pub const fn new(n: u64) -> CallId {
        CallId(n)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A message to a peer that is answered by a reply.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id, which the reply repeats.
    pub id: CallId,
    /// The peer; absent if only its address is known.
    pub peer: Option<InstanceId>,
    /// The peer's address for control messages.
    pub addr: SocketAddr,
    /// The message.
    pub message: PeerMessage,
    /// Time after which the call counts as failed.
    pub timeout: Duration,
}
