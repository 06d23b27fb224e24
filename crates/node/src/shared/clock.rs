//! The node's one clock.

use std::time::Instant;

use sassafrasspool_core::Tick;

/// Turns the machine's monotonic clock into ticks since the node's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts to count now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The present tick.
    pub fn now(&self) -> Tick {
        let us = self.0.elapsed().as_micros();
        Tick::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// The instant of `tick`, for timers.
    pub fn instant(&self, tick: Tick) -> Instant {
        self.0 + tick.since(Tick::ZERO)
    }
}
