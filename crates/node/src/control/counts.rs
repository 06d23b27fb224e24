//! Counts of one node's control traffic.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sassafrasspool_core::PeerMessage;
use sassafrasspool_wire::SocketBytes;
use sassafrasspool_wire::admin::ControlStats;

/// What a node's control traffic comes to; cloning shares the counts.
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
    /// Where the sockets count their bytes.
    pub(crate) fn bytes(&self) -> Arc<SocketBytes> {
        Arc::clone(&self.bytes)
    }

    /// Counts a message, either way.
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

    /// Counts a read of the platform.
    pub(crate) fn add_read(&self) {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
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
