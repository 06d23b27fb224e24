//! A key whose request runs.

use std::sync::Arc;

use super::window::Shared;
use crate::Attempt;
use crate::Refusal;
use crate::RequestKey;
use crate::StoredAnswer;
use crate::Tick;

/// The right to run the request of a key once.
///
/// Dropping it means that the outcome is unknown.
#[derive(Debug)]
#[must_use = "dropping it marks the outcome as unknown"]
pub struct Running {
    shared: Arc<Shared>,
    key: RequestKey,
    attempt: Attempt,
    open: bool,
}

impl Running {
    pub(super) fn new(shared: &Arc<Shared>, key: RequestKey, attempt: Attempt) -> Running {
        Running {
            shared: shared.clone(),
            key,
            attempt,
            open: true,
        }
    }

    /// Looks once more whether this node may run it, right before the
    /// hand-over; the right ends if it can't.
    ///
    /// # Errors
    ///
    /// Refuses as not run if the lease lapsed while the request waited.
    pub fn check(mut self, now: Tick) -> Result<Running, Refusal> {
        match self.shared.check_ownership(now, &self.key, self.attempt) {
            None => Ok(self),
            Some(refusal) => {
                self.open = false;
                self.shared.remove(&self.key);
                Err(refusal)
            }
        }
    }

    /// It ran and the whole answer was received.
    pub fn done(mut self, now: Tick, answer: StoredAnswer) {
        self.open = false;
        self.shared.complete(now, &self.key, answer);
    }

    /// It was handed over and its outcome is unknown.
    pub fn lost(mut self, now: Tick) {
        self.open = false;
        self.shared.mark_unknown(Some(now), &self.key);
    }

    /// It was refused before the hand-over: the key counts as unused again.
    pub fn refused(mut self, refusal: Refusal) -> Refusal {
        self.open = false;
        self.shared.remove(&self.key);
        refusal
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // A task that was cancelled may have handed its request over before.
        if self.open {
            self.shared.mark_unknown(None, &self.key);
        }
    }
}
