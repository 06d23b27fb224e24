//! The nodes that callers send their requests to.

use std::net::SocketAddr;

/// The addresses of the nodes that callers use, in no particular order.
///
/// Callers aren't notified when a node stops. They detect it by a refused
/// connection and try the next node.
#[derive(Debug, Default)]
pub struct EntryNodes {
    addrs: Vec<SocketAddr>,
}

impl EntryNodes {
    /// Makes a list of the nodes at `addrs`.
    pub fn new(addrs: Vec<SocketAddr>) -> EntryNodes {
        EntryNodes { addrs }
    }

    /// All nodes, starting with the one that the random number `draw` selects.
    pub fn rotated_by(&self, draw: u64) -> Vec<SocketAddr> {
        let mut addrs = self.addrs.clone();
        if !addrs.is_empty() {
            let len = u64::try_from(addrs.len()).unwrap_or(1);
            let first = usize::try_from(draw % len).unwrap_or(0);
            addrs.rotate_left(first);
        }
        addrs
    }
}
