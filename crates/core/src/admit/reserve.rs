//! Slots that are kept free of background work.

use std::time::Duration;

use crate::Tick;

/// Time between two slots that are added.
const GROW_AFTER: Duration = Duration::from_millis(50);

/// Time without a refusal after which a slot is given back: several times what
/// a background request holds one for.
const SHRINK_AFTER: Duration = Duration::from_millis(1_000);

/// How many slots background work leaves to more urgent work.
///
/// Urgent work goes first when a slot frees up, which doesn't help it while all
/// slots are held by long background requests. Each time that urgent work is
/// turned away, one slot more is kept for it; each second without that gives one
/// back. Where urgent work finds its place, nothing is kept free in vain.
///
/// Without it, long background requests hold most slots once targets are lost, and
/// short calls are refused, each of which fails its parent.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    slots: u32,
    changed: Tick,
}

impl Reserve {
    /// Notes that urgent work was turned away.
    pub(super) fn turned_away(&mut self, now: Tick, most: u32) {
        if now.since(self.changed) >= GROW_AFTER {
            self.slots = (self.slots + 1).min(most);
            self.changed = now;
        }
    }

    /// How many slots are kept now.
    pub(super) fn slots(&mut self, now: Tick) -> u32 {
        while self.slots > 0 && now.since(self.changed) >= SHRINK_AFTER {
            self.slots -= 1;
            self.changed = self.changed + SHRINK_AFTER;
        }
        self.slots
    }
}
