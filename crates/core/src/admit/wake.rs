//! Telling those who wait.

use crate::Permit;
use crate::Refusal;

/// Told once what became of a queued request.
///
/// It is called without any lock held and must not block: sending into a
/// one-shot channel is what it is for. A permit that its receiver doesn't want
/// any more is dropped, which gives the slot to the next.
pub type Waker = Box<dyn FnOnce(Result<Permit, Refusal>) + Send>;

/// A waker with what it is to be told, collected under the lock.
pub(super) struct Wake {
    pub(super) waker: Waker,
    pub(super) verdict: Result<Permit, Refusal>,
}

impl Wake {
    pub(super) fn call(self) {
        (self.waker)(self.verdict);
    }
}
