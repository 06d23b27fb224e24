//! The atomic word of a gate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// An atomic word. It is a trait so that tests can explore interleavings of
/// threads.
pub trait AtomicWord: Send + Sync {
    /// A word with the value zero.
    fn zero() -> Self;
    /// Reads the value.
    fn load(&self) -> u64;
    /// Writes `new` if the value is `current`. Returns whether it was.
    fn compare_and_set(&self, current: u64, new: u64) -> bool;
}

impl AtomicWord for AtomicU64 {
    fn zero() -> AtomicU64 {
        AtomicU64::new(0)
    }

    fn load(&self) -> u64 {
        AtomicU64::load(self, Ordering::SeqCst)
    }

    fn compare_and_set(&self, current: u64, new: u64) -> bool {
        self.compare_exchange(current, new, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }
}
