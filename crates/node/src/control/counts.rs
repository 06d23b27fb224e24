//! Counters of a node's control traffic.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sassafrasspool_core::PeerMessage;
use sassafrasspool_wire::SocketBytes;
use sassafrasspool_wire::admin::ControlStats;

/// Counters of a node's control traffic; clones share the same counters.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControlCounts {
    bytes: Arc<SocketBytes>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    messages: AtomicU64,
    pulls: AtomicU64,
    reads: AtomicU64,
}

impl ControlCounts {
    /// The byte counters that the control sockets update.
    pub(crate) fn bytes(&self) -> Arc<SocketBytes> {
        Arc::clone(&self.bytes)
    }

    /// Counts a message that was sent or received.
    pub(crate) fn add_message(&self) {
        self.counts.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a message that this node sends.
    pub(crate) fn add_sent(&self, message: &PeerMessage) {
        self.add_message();
        if matches!(message, PeerMessage::Pull(_)) {
            self.counts.pulls.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a read sent to the platform.
    pub(crate) fn add_read(&self) {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// The present values of the counters.
    pub(crate) fn stats(&self) -> ControlStats {
        ControlStats {
            bytes_in: self.bytes.read(),
            bytes_out: self.bytes.written(),
            messages: self.counts.messages.load(Ordering::Relaxed),
            pulls: self.counts.pulls.load(Ordering::Relaxed),
            reads: self.counts.reads.load(Ordering::Relaxed),
        }
    }
}
