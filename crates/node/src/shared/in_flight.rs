//! Counting the requests that a node works on, so that a drain can wait for
//! the last of them.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// How many requests a node works on.
///
/// A request counts from the moment its head was read until its answer's last
/// byte was handed to the connection, or until it was given up.
#[derive(Debug, Clone)]
pub struct InFlight(Arc<Count>);

#[derive(Debug)]
struct Count {
    now: AtomicU64,
    idle: Notify,
}

impl InFlight {
    /// No request so far.
    pub(super) fn new() -> InFlight {
        InFlight(Arc::new(Count {
            now: AtomicU64::new(0),
            idle: Notify::new(),
        }))
    }

    /// Counts one request for as long as the guard lives.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard {
        self.0.now.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.0))
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.now.load(Ordering::Acquire)
    }

    /// Waits until there is none.
    pub async fn idle(&self) {
        loop {
            let notified = self.0.idle.notified();
            tokio::pin!(notified);
            // Registered before the count is read: a last request that ends
            // in between wakes this one up.
            notified.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// One request that counts as in flight.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Count>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.now.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
