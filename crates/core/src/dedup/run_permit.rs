//! The right to run the request of a key.

use std::sync::Arc;

use super::window::Shared;
use crate::Attempt;
use crate::Refusal;
use crate::RequestKey;
use crate::StoredAnswer;
use crate::Tick;

/// The right to run the request of a key once.
///
/// Dropping it marks the outcome as unknown.
#[derive(Debug)]
#[must_use = "dropping it marks the outcome as unknown"]
pub struct RunPermit {
    shared: Arc<Shared>,
    key: RequestKey,
    attempt: Attempt,
    open: bool,
}

impl RunPermit {
    pub(super) fn new(shared: &Arc<Shared>, key: RequestKey, attempt: Attempt) -> RunPermit {
        RunPermit {
            shared: shared.clone(),
            key,
            attempt,
            open: true,
        }
    }

    /// Checks again, right before the hand-over to the target, whether this
    /// node may run the key. If it may not, the key counts as unused again.
    ///
    /// # Errors
    ///
    /// Refuses if the node no longer owns the key or the lease expired while
    /// the request waited.
    pub fn recheck(mut self, now: Tick) -> Result<RunPermit, Refusal> {
        match self.shared.check_ownership(now, &self.key, self.attempt) {
            None => Ok(self),
            Some(refusal) => {
                self.open = false;
                self.shared.remove(&self.key);
                Err(refusal)
            }
        }
    }

    /// Stores the answer: the request ran and its whole answer was received.
    pub fn complete(mut self, now: Tick, answer: StoredAnswer) {
        self.open = false;
        self.shared.complete(now, &self.key, answer);
    }

    /// Marks the outcome as unknown: the request was handed over.
    pub fn mark_unknown(mut self, now: Tick) {
        self.open = false;
        self.shared.mark_unknown(Some(now), &self.key);
    }

    /// Returns the right: the request was refused before the hand-over, and the
    /// key counts as unused again.
    pub fn release(mut self, refusal: Refusal) -> Refusal {
        self.open = false;
        self.shared.remove(&self.key);
        refusal
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        // A cancelled task may already have handed its request over.
        if self.open {
            self.shared.mark_unknown(None, &self.key);
        }
    }
}
