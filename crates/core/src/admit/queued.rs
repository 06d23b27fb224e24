//! The handle by which a task holds its queued request.

use std::sync::Arc;

use super::admission::Shared;
use super::queue::WaitKey;
use crate::Refusal;
use crate::Tick;

/// A request that waits for a slot; dropping it removes the request from the queue.
#[derive(Debug)]
#[must_use = "dropping it removes the request from the queue"]
pub struct Queued {
    shared: Arc<Shared>,
    key: WaitKey,
    expires_at: Tick,
}

impl Queued {
    pub(super) fn new(shared: &Arc<Shared>, key: WaitKey, expires_at: Tick) -> Queued {
        Queued {
            shared: shared.clone(),
            key,
            expires_at,
        }
    }

    /// When to call [`Queued::expire`] unless the waker was called before.
    pub const fn expires_at(&self) -> Tick {
        self.expires_at
    }

    /// Removes the request from the queue because its time there is over.
    ///
    /// Returns nothing if the request is no longer queued: then its waker has been called,
    /// or is being called, with the decision that counts.
    pub fn expire(self, now: Tick) -> Option<Refusal> {
        self.shared.expire_queued(now, self.key)
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.shared.remove_queued(self.key);
    }
}
