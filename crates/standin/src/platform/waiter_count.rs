//! Counting the watches that wait.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A count of guards that are alive.
#[derive(Debug, Default)]
pub(super) struct WaiterCount(AtomicU64);

impl WaiterCount {
    /// Counts one more until the guard is dropped, which also happens when a
    /// reader hangs up and its answer is abandoned.
    pub(super) fn enter(&self) -> WaiterGuard<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        WaiterGuard(self)
    }

    /// How many wait now.
    pub(super) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One that waits.
#[derive(Debug)]
pub(super) struct WaiterGuard<'a>(&'a WaiterCount);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
