//! Counting the watches that wait.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A count of guards that are alive.
#[derive(Debug, Default)]
pub(super) struct Waiting(AtomicU64);

impl Waiting {
    /// Counts one more until the guard is dropped, which also happens when a
    /// reader hangs up and its answer is abandoned.
    pub(super) fn enter(&self) -> WaitingGuard<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(self)
    }

    /// How many wait now.
    pub(super) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// One that waits.
#[derive(Debug)]
pub(super) struct WaitingGuard<'a>(&'a Waiting);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
