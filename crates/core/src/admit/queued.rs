//! Requests that wait, as their tasks hold them.

use std::sync::Arc;

use super::control::Shared;
use super::queue::WaitKey;
use crate::Refusal;
use crate::Tick;

/// A request that waits for a slot; dropping it leaves the queue.
#[derive(Debug)]
#[must_use = "dropping it leaves the queue"]
pub struct Queued {
    shared: Arc<Shared>,
    key: WaitKey,
    until: Tick,
}

impl Queued {
    pub(super) fn new(shared: &Arc<Shared>, key: WaitKey, until: Tick) -> Queued {
        Queued {
            shared: shared.clone(),
            key,
            until,
        }
    }

    /// When to call [`Queued::expire`] if the waker wasn't called before.
    pub const fn until(&self) -> Tick {
        self.until
    }

    /// Leaves the queue because the time is over.
    ///
    /// Returns nothing if the request isn't waiting any more: then its waker
    /// has been called, or is just being called, with the verdict that counts.
    pub fn expire(self, now: Tick) -> Option<Refusal> {
        self.shared.expire(now, self.key)
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.shared.leave(self.key);
    }
}
