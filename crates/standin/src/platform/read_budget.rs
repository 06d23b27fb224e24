//! Limits the read rate over all readers with a token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that is refilled continuously.
///
/// # Invariants
///
/// `tokens` is between zero and `burst`.
#[derive(Debug)]
pub(super) struct ReadBudget {
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl ReadBudget {
    /// A full bucket of `burst` reads, refilled at `per_s` reads per second.
    pub(super) fn new(per_s: u32, burst: u32, now: Instant) -> ReadBudget {
        // INVARIANT: The bucket starts with exactly `burst` tokens.
        ReadBudget {
            per_s: f64::from(per_s),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled_at: now,
        }
    }

    /// Takes the token for one read.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if none is available.
    pub(super) fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        // INVARIANT: Refilling stops at `burst`.
        self.tokens = (self.tokens + passed * self.per_s).min(self.burst);
        if self.tokens < 1.0 {
            return Err(self.until_next());
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn until_next(&self) -> Duration {
        let wait = (1.0 - self.tokens) / self.per_s;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}
