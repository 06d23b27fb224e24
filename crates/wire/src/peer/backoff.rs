//! Exponential backoff between attempts to connect to a peer.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Capped exponential backoff with jitter, after failed attempts to connect.
///
/// When a peer restarts, all nodes connected to it fail at the same moment. Half of each
/// wait is random, so that they don't reconnect at the same time. The wait doubles up to
/// a cap, so that a departed peer costs little.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    consecutive_failures: u32,
}

impl Backoff {
    /// A backoff whose waits start at `base` and grow up to `cap`.
    pub fn new(base: Duration, cap: Duration) -> Backoff {
        Backoff {
            base,
            cap,
            consecutive_failures: 0,
        }
    }

    /// Records a failure and returns the wait before the next attempt.
    pub fn record_failure(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let max_wait = self.base.saturating_mul(1 << doublings).min(self.cap);
        max_wait.mul_f64(rng.random_range(0.5..=1.0))
    }
}
