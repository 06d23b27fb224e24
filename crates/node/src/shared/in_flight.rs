//! Counts the requests in flight at a node, so that a drain can wait for the last
//! of them.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// The number of requests in flight at a node.
///
/// A request counts from the moment its head was read until the last byte of its
/// response was passed to the connection, or until it was abandoned.
#[derive(Debug, Clone)]
pub struct InFlight(Arc<Counter>);

#[derive(Debug)]
struct Counter {
    count: AtomicU64,
    /// Notified when the count reaches 0.
    became_idle: Notify,
}

impl InFlight {
    /// A counter at 0.
    pub(super) fn new() -> InFlight {
        InFlight(Arc::new(Counter {
            count: AtomicU64::new(0),
            became_idle: Notify::new(),
        }))
    }

    /// Counts one request for as long as the guard lives.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard {
        self.0.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.0))
    }

    /// The number of requests in flight.
    pub fn count(&self) -> u64 {
        self.0.count.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            let notified = self.0.became_idle.notified();
            tokio::pin!(notified);
            // Registered before the count is read, so that the end of the last request
            // in between wakes this task.
            notified.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Counter>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.became_idle.notify_waiters();
        }
    }
}
