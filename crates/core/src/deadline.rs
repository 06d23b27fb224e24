//! Until when a request may run.
//!
//! Instances' clocks differ, so a deadline travels as the time that remains
//! and becomes a tick again on arrival.

use std::time::Duration;

use crate::Tick;

#[cfg(test)]
mod tests;

/// The part of the remaining time that each hop keeps for itself, as one part
/// in so many.
const HOP_SHARE: u32 = 50;
/// The most that a hop keeps for itself.
const MAX_HOP_MARGIN: Duration = Duration::from_millis(5);

/// The tick at which a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Tick);

impl Deadline {
    /// The deadline of a request that may take `timeout` from `now` on.
    pub fn within(now: Tick, timeout: Duration) -> Deadline {
        Deadline(now + timeout)
    }

    /// The deadline at a tick.
    pub const fn at(tick: Tick) -> Deadline {
        Deadline(tick)
    }

    /// The tick at which it passes.
    pub const fn tick(self) -> Tick {
        self.0
    }

    /// Whether it has passed.
    pub fn passed(self, now: Tick) -> bool {
        now >= self.0
    }

    /// The time that remains; zero if it has passed.
    pub fn remaining(self, now: Tick) -> Duration {
        self.0.since(now)
    }

    /// What remains for the next hop, which is less than what remains here, so
    /// that the refusal of a later hop still finds its way back in time.
    ///
    /// Zero means that nothing is left and nothing must be sent.
    pub fn remaining_beyond(self, now: Tick) -> Duration {
        let left = self.remaining(now);
        left - (left / HOP_SHARE).min(MAX_HOP_MARGIN)
    }
}
