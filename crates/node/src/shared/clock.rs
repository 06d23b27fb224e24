//! The node's clock, which keeps counting while the machine is suspended.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::Timespec;
use rustix::time::clock_gettime;
use sassafrasspool_core::Tick;

/// Counts ticks since the node's start, including the time for which the machine
/// was suspended.
///
/// The usual monotonic clock stops during a suspend. By that clock a request held
/// by a suspended machine would still have time left, and would be handed to its
/// target long after its caller gave it up.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// A clock that starts at tick zero now.
    pub fn start() -> Clock {
        Clock(since_boot())
    }

    /// The current tick.
    pub fn now(&self) -> Tick {
        let us = since_boot().saturating_sub(self.0).as_micros();
        Tick::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }

    /// The instant of `tick`, for timers. Timers stop while the machine is suspended,
    /// so code that a timer wakes compares the current tick again.
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
