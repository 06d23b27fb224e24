//! Waiting after failures.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// The wait doubles at most this often before the cap is all that counts.
const MAX_DOUBLINGS: u32 = 20;

/// Capped exponential back-off with full jitter.
///
/// After an outage the waits of many nodes would line up if each waited for
/// its whole bound: all would come back in one moment, and the platform would
/// fail again. Drawing from zero to the bound spreads them evenly.
#[derive(Debug)]
pub(crate) struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(base: Duration, cap: Duration) -> Backoff {
        Backoff {
            base,
            cap,
            failures: 0,
        }
    }

    /// Notes a failure and draws the wait that follows it.
    pub(crate) fn fail(&mut self, rng: &mut SmallRng) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random::<f64>())
    }

    /// Notes a success: the next failure waits from the base again.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }
}
