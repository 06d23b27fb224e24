//! Slots that are kept free of background requests.

use std::time::Duration;

use crate::Tick;

/// Minimum time between two slots that are added to the reserve.
const GROW_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a refusal after which a slot of the reserve is given back: several times the
/// service time of a background request.
const SHRINK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The number of slots that background requests leave to more urgent ones.
///
/// Urgent requests go first when a slot frees up. That doesn't help them while long
/// background requests hold all slots. Each refusal of an urgent request reserves one more
/// slot; each second without a refusal gives one back. While urgent requests find slots,
/// none is kept free, which would waste it.
///
/// Without the reserve, long background requests hold most slots once targets are lost, and
/// short calls are refused, each of which fails its parent request.
#[derive(Debug, Default)]
pub(super) struct Reserve {
    slots: u32,
    changed: Tick,
}

impl Reserve {
    /// Records that an urgent request was refused; reserves `max_slots` slots at most.
    pub(super) fn record_refusal(&mut self, now: Tick, max_slots: u32) {
        if now.since(self.changed) >= GROW_INTERVAL {
            self.slots = (self.slots + 1).min(max_slots);
            self.changed = now;
        }
    }

    /// The number of reserved slots at `now`.
    pub(super) fn slots(&mut self, now: Tick) -> u32 {
        while self.slots > 0 && now.since(self.changed) >= SHRINK_INTERVAL {
            self.slots -= 1;
            self.changed = self.changed + SHRINK_INTERVAL;
        }
        self.slots
    }
}
