//! Slots that are held.

use std::sync::Arc;

use super::control::Shared;
use crate::Class;
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
    class: Class,
    since: Tick,
    held: bool,
}

impl Permit {
    pub(super) fn new(shared: &Arc<Shared>, class: Class, since: Tick) -> Permit {
        Permit {
            shared: shared.clone(),
            class,
            since,
            held: true,
        }
    }

    /// Gives the slot to the next that waits.
    pub fn release(mut self, now: Tick) {
        // INVARIANT: The drop that follows finds nothing held.
        self.held = false;
        self.shared.release(Some(now), self.class, self.since);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.held {
            self.shared.release(None, self.class, self.since);
        }
    }
}
