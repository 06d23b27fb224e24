//! Calls to peers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::InstanceId;
use crate::PeerMessage;

/// Names one call, so that its answer finds what it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

impl CallId {
    /// The id of the call number `n` of this node.
    pub const fn new(n: u64) -> CallId {
        CallId(n)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A message to a peer that expects an answer.
#[derive(Debug, Clone)]
pub struct Call {
    /// Comes back with the answer.
    pub id: CallId,
    /// The peer; absent if only its address is known.
    pub peer: Option<InstanceId>,
    /// Where the peer takes control messages.
    pub addr: SocketAddr,
    /// What to say.
    pub message: PeerMessage,
    /// After this time the answer isn't waited for any more.
    pub timeout: Duration,
}
