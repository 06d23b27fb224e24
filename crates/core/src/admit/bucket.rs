//! Rates.

use std::time::Duration;

use crate::Tick;

/// Micro-tokens in a token: with them a rate of one a second is exact.
const TOKEN: u64 = 1_000_000;

/// A token bucket whose rate is given anew with each use.
#[derive(Debug)]
pub(crate) struct Bucket {
    micro_tokens: u64,
    at: Tick,
}

impl Bucket {
    /// A bucket that fills up at its first use.
    pub(crate) const fn full() -> Bucket {
        Bucket {
            micro_tokens: u64::MAX,
            at: Tick::ZERO,
        }
    }

    /// Fills the bucket, and tells how long it takes until there is a token.
    pub(crate) fn refill(&mut self, now: Tick, per_s: u32, burst: Duration) -> Option<Duration> {
        let rate = u64::from(per_s.max(1));
        let cap = rate.saturating_mul(micros(burst)).max(TOKEN);
        let gained = rate.saturating_mul(micros(now.since(self.at)));
        self.micro_tokens = self.micro_tokens.saturating_add(gained).min(cap);
        self.at = self.at.max(now);
        if self.micro_tokens >= TOKEN {
            return None;
        }
        let missing = TOKEN - self.micro_tokens;
        Some(Duration::from_micros(missing.div_ceil(rate)))
    }

    /// Takes a token, after [`Bucket::refill`] found that there is one.
    pub(crate) fn take(&mut self) {
        self.micro_tokens = self.micro_tokens.saturating_sub(TOKEN);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
