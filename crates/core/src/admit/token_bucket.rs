//! Rate limiting by a token bucket.

use std::time::Duration;

use crate::Tick;

/// Micro-tokens in a token. With this resolution a rate of one token a second is exact.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Thousandths of a token in a token.
const MILLI: u64 = 1_000;

/// A token bucket whose rate is passed with each use.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    micro_tokens: u64,
    refilled_at: Tick,
}

impl TokenBucket {
    /// A bucket that is full at its first use.
    pub(crate) const fn full() -> TokenBucket {
        TokenBucket {
            micro_tokens: u64::MAX,
            refilled_at: Tick::ZERO,
        }
    }

    /// Refills the bucket at a rate in tokens a second. Returns how long it takes until a
    /// token is available, or nothing if one is available now.
    pub(crate) fn refill(&mut self, now: Tick, per_s: u32, burst: Duration) -> Option<Duration> {
        self.refill_milli(now, u64::from(per_s) * MILLI, burst)
    }

    /// The same at a rate in thousandths of a token a second.
    pub(crate) fn refill_milli(
        &mut self,
        now: Tick,
        milli_per_s: u64,
        burst: Duration,
    ) -> Option<Duration> {
        let rate = milli_per_s.max(1);
        let micro_tokens_in = |time: Duration| rate.saturating_mul(micros(time)) / MILLI;
        let cap = micro_tokens_in(burst).max(MICRO_TOKENS_PER_TOKEN);
        let gained = micro_tokens_in(now.since(self.refilled_at));
        self.micro_tokens = self.micro_tokens.saturating_add(gained).min(cap);
        self.refilled_at = self.refilled_at.max(now);
        if self.micro_tokens >= MICRO_TOKENS_PER_TOKEN {
            return None;
        }
        let missing = MICRO_TOKENS_PER_TOKEN - self.micro_tokens;
        Some(Duration::from_micros((missing * MILLI).div_ceil(rate)))
    }

    /// Takes a token, after [`TokenBucket::refill`] found that one is available.
    pub(crate) fn take(&mut self) {
        self.micro_tokens = self.micro_tokens.saturating_sub(MICRO_TOKENS_PER_TOKEN);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
