//! The node's one clock.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;
use sassafrasspool_core::Tick;

/// Ticks since the node's start, on a clock that also counts the time for
/// which the machine was suspended.
///
/// The usual monotonic clock stands still meanwhile: a request that a suspended
/// machine held would be handed to its target long after its caller gave it up,
/// with a time that is left by that clock alone.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// Starts to count now.
    pub fn start() -> Clock {
        Clock(since_boot())
    }

    /// The present tick.
    pub fn now(&self) -> Tick {
        let us = since_boot().saturating_sub(self.0).as_micros();
        Tick::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// The instant of `tick`, for timers; they stand still while the machine is
    /// suspended, so that whoever is woken by one looks at the tick again.
    pub fn instant(&self, tick: Tick) -> Instant {
        Instant::now() + tick.since(self.now())
    }
}

/// Time since the machine was booted.
fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
