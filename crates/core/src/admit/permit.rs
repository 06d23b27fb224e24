//! Slots that are held.

use std::sync::Arc;

use super::control::Shared;
use super::took::Work;
use crate::Tick;

/// A slot of the target, held until it is released or dropped.
///
/// # Invariants
///
/// Each is counted once among those that run, and uncounted once.
#[derive(Debug)]
#[must_use = "dropping a permit gives the slot back"]
pub struct Permit {
    shared: Arc<Shared>,
    work: Work,
    since: Tick,
    held: bool,
}

impl Permit {
    pub(super) fn new(shared: &Arc<Shared>, work: Work, since: Tick) -> Permit {
        Permit {
            shared: shared.clone(),
            work,
            since,
            held: true,
        }
    }

    /// Gives the slot to the next that waits.
    pub fn release(mut self, now: Tick) {
        // INVARIANT: The drop that follows finds nothing held.
        self.held = false;
        self.shared.release(Some(now), self.work, self.since);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.held {
            self.shared.release(None, self.work, self.since);
        }
    }
}
