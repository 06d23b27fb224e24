//! Timestamps that are comparable between processes on one machine.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

/// A wall clock that never goes back.
#[derive(Debug)]
pub(super) struct Clock {
    origin: Instant,
    origin_us: u64,
}

impl Clock {
    /// A clock that starts at the system time and doesn't follow later steps of
    /// the system time.
    pub(super) fn new() -> Clock {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            origin_us: u64::try_from(since.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Microseconds since the Unix epoch.
    pub(super) fn now_us(&self) -> u64 {
        let passed = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.origin_us.saturating_add(passed)
    }
}
