//! Time as a count that the caller passes in.
//!
//! Wall clocks step and differ between instances, so this crate never reads one.

use std::ops::Add;
use std::time::Duration;

/// Microseconds since a start that the caller chose, on a monotonic clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(u64);

impl Tick {
    /// The start of the caller's clock.
    pub const ZERO: Tick = Tick(0);

    /// A tick at `us` microseconds after the start.
    pub const fn from_micros(us: u64) -> Tick {
        Tick(us)
    }

    /// A tick at `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Tick {
        Tick(ms * 1_000)
    }

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this tick; zero if this tick isn't later.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, rhs: Duration) -> Tick {
        let us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Tick(self.0.saturating_add(us))
    }
}
