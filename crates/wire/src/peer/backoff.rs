//! Waiting between tries to reach a peer.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// How long to leave a peer alone that couldn't be reached.
///
/// When a peer restarts, everybody who talked to it fails at the same moment.
/// Half of each wait is random, so that they don't come back together, and
/// it doubles up to a cap, so that a peer that is gone costs little.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits that begin with `base` and grow up to `cap`.
    pub fn new(base: Duration, cap: Duration) -> Backoff {
        Backoff {
            base,
            cap,
            failures: 0,
        }
    }

    /// Notes a failure and tells how long to wait.
    pub fn fail(&mut self, rng: &mut impl Rng) -> Duration {
        let doubled = self.base.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let full = doubled.min(self.cap);
        full.mul_f64(rng.random_range(0.5..=1.0))
    }
}
