//! Deadlines of requests.
//!
//! The clocks of instances differ, so a deadline is sent as the remaining time and
//! converted back to a tick on arrival.

use std::time::Duration;

use crate::Tick;

#[cfg(test)]
mod tests;

/// The margin that each hop keeps is the remaining time divided by this number.
const HOP_MARGIN_DIVISOR: u32 = 50;
/// The largest margin that a hop keeps.
const MAX_HOP_MARGIN: Duration = Duration::from_millis(5);

/// The tick at which a request times out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Tick);

impl Deadline {
    /// The deadline that is `timeout` after `now`.
    pub fn within(now: Tick, timeout: Duration) -> Deadline {
        Deadline(now + timeout)
    }

    /// The deadline at a tick.
    pub const fn at(tick: Tick) -> Deadline {
        Deadline(tick)
    }

    /// The tick at which the deadline passes.
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

    /// The remaining time to send to the next hop. It is shorter than the remaining
    /// time here, so that a refusal of a later hop still arrives in time.
    ///
    /// Zero means that no time is left and that nothing must be sent.
    pub fn remaining_for_next_hop(self, now: Tick) -> Duration {
        let left = self.remaining(now);
        left - (left / HOP_MARGIN_DIVISOR).min(MAX_HOP_MARGIN)
    }
}
