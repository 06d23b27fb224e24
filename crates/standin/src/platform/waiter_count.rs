//! Counts the reads that wait.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The number of live guards.
#[derive(Debug, Default)]
pub(super) struct WaiterCount(AtomicU64);

impl WaiterCount {
    /// Counts one more waiter until the guard is dropped. That also happens when
    /// the reader disconnects, since its handler is then dropped.
    pub(super) fn enter(&self) -> WaiterGuard<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        WaiterGuard(self)
    }

    /// The number of current waiters.
    pub(super) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one waiter while it is alive.
#[derive(Debug)]
pub(super) struct WaiterGuard<'a>(&'a WaiterCount);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
