//! Memory for large answers that wait for the link.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::bounds::MAX_WAITING_ANSWER_BYTES;

/// The bytes of large answers that a node holds while they wait for its link.
#[derive(Debug, Default)]
pub(super) struct AnswerMemory {
    held: AtomicUsize,
}

impl AnswerMemory {
    /// Whether further bytes may be read before they can be sent.
    pub(super) fn has_space(&self) -> bool {
        self.held.load(Ordering::Relaxed) < MAX_WAITING_ANSWER_BYTES
    }

    /// Counts bytes that were read.
    pub(super) fn hold(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts bytes that were sent or dropped.
    pub(super) fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
