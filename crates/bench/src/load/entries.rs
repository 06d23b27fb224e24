//! Where callers send their requests.

use std::net::SocketAddr;

/// The nodes that callers know, in no order.
///
/// Callers aren't told when a node stops; they find out by a refused
/// connection and go on to the next.
#[derive(Debug, Default)]
pub struct Entries {
    addrs: Vec<SocketAddr>,
}

impl Entries {
    /// Callers know `addrs`.
    pub fn new(addrs: Vec<SocketAddr>) -> Entries {
        Entries { addrs }
    }

    /// All nodes, beginning with the one that `draw` picks.
    pub fn from_draw(&self, draw: u64) -> Vec<SocketAddr> {
        let mut addrs = self.addrs.clone();
        if !addrs.is_empty() {
            let len = u64::try_from(addrs.len()).unwrap_or(1);
            let first = usize::try_from(draw % len).unwrap_or(0);
            addrs.rotate_left(first);
        }
        addrs
    }
}
