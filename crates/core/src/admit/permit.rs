//! Permits for the slots of a target.

use std::sync::Arc;

use super::admission::Shared;
use super::service_times::WorkType;
use crate::Tick;

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
    pub fn release(mut self, now: Tick) {
        // INVARIANT: The drop that follows finds `held` unset and doesn't free the slot again.
        self.held = false;
        self.shared.release(Some(now), self.work, self.acquired_at);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.held {
            self.shared.release(None, self.work, self.acquired_at);
        }
    }
}
