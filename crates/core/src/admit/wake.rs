//! Notifying queued requests of their decisions.

use crate::Permit;
use crate::Refusal;

/// Called once with the decision on a queued request.
///
/// It is called without any lock held and must not block: it is meant to send into a
/// one-shot channel. If the receiver is gone, the permit is dropped, which gives the slot
/// to the next request.
pub type Waker = Box<dyn FnOnce(Result<Permit, Refusal>) + Send>;

/// A waker with its decision, collected under the lock and called after its release.
pub(super) struct Wake {
    pub(super) waker: Waker,
    pub(super) decision: Result<Permit, Refusal>,
}

impl Wake {
    pub(super) fn call(self) {
        (self.waker)(self.decision);
    }
}
