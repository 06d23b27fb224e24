//! Permits for the slots of a target.

use std::sync::Arc;

use super::admission::Shared;
use super::service_times::WorkType;
use crate::Tick;

/// How a request ended that held a slot.
#[derive(Debug, Clone, Copy)]
pub(super) enum RunEnd {
    /// The target has answered it, or doesn't start it any more.
    Settled(Tick),
    /// It was sent, and the target may still start it.
    Unanswered(Tick),
    /// The permit was dropped.
    Dropped,
}

/// A slot of the target, held until the permit is released or dropped.
///
/// # Invariants
///
/// Each permit is added to the count of running requests once and removed from it once.
#[derive(Debug)]
#[must_use = "dropping a permit frees its slot"]
pub struct Permit {
    shared: Arc<Shared>,
    work: WorkType,
    acquired_at: Tick,
    held: bool,
}

impl Permit {
    pub(super) fn new(shared: &Arc<Shared>, work: WorkType, acquired_at: Tick) -> Permit {
        Permit {
            shared: shared.clone(),
            work,
            acquired_at,
            held: true,
        }
    }

    /// Records the service time and gives the slot to the next queued request.
    pub fn release(self, now: Tick) {
        self.end(RunEnd::Settled(now));
    }

    /// As [`Permit::release`], for a request that was sent and got no answer. The target may
    /// start it later.
    pub fn release_unanswered(self, now: Tick) {
        self.end(RunEnd::Unanswered(now));
    }

    fn end(mut self, end: RunEnd) {
        // INVARIANT: The drop that follows finds `held` unset and doesn't free the slot again.
        self.held = false;
        self.shared.release(end, self.work, self.acquired_at);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.held {
            self.shared
                .release(RunEnd::Dropped, self.work, self.acquired_at);
        }
    }
}
