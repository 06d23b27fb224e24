//! Exponential backoff after failures.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Bounds the doublings of the wait; beyond it only the cap matters.
const MAX_DOUBLINGS: u32 = 20;

/// Capped exponential backoff with full jitter.
///
/// Without jitter, nodes that failed in the same outage would all retry at the
/// same moment and overload the platform again. Each wait is drawn uniformly
/// between zero and the current bound, which spreads the retries evenly.
#[derive(Debug)]
pub(crate) struct Backoff {
    base: Duration,
    cap: Duration,
    consecutive_failures: u32,
}

impl Backoff {
    pub(crate) fn new(base: Duration, cap: Duration) -> Backoff {
        Backoff {
            base,
            cap,
            consecutive_failures: 0,
        }
    }

    /// Records a failure and returns the wait before the next attempt.
    pub(crate) fn record_failure(&mut self, rng: &mut SmallRng) -> Duration {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.cap);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        bound.mul_f64(rng.random::<f64>())
    }

    /// Records a success: the wait after the next failure starts at the base again.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}
