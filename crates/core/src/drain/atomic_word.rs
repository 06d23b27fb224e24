//! The one shared word of a gate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// An atomic word; a trait so that tests can explore every interleaving.
pub trait Word: Send + Sync {
    /// A word of zero.
    fn zero() -> Self;
    /// Reads it.
    fn load(&self) -> u64;
    /// Writes `new` if it is `current`, and tells whether it was.
    fn compare_and_set(&self, current: u64, new: u64) -> bool;
}

impl Word for AtomicU64 {
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
