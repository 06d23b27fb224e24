//! The rate at which requests may start at a target that states a limit.

use std::time::Duration;

use super::token_bucket::TokenBucket;
use crate::RequestRate;
use crate::Tick;

/// For how long the unused part of the limit accumulates, to admit a burst.
const BURST: Duration = Duration::from_millis(500);

/// The rate that is admitted at least. Without any request there would be no answer that
/// could end the limit.
const MIN_RATE: RequestRate = RequestRate::from_milli_per_s(250);

/// How far ahead callers are told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The rate limit that a target states for all nodes together.
///
/// # Invariants
///
/// While the limit is in force, no more requests are admitted within any time than it allows
/// in that time and in [`BURST`], at least one.
#[derive(Debug)]
pub(super) struct TargetRateLimiter {
    limit: Option<RequestRate>,
    bucket: TokenBucket,
    /// When the last refused caller was told to come back.
    last_return: Tick,
}

impl TargetRateLimiter {
    /// No limit.
    pub(super) const fn new() -> TargetRateLimiter {
        TargetRateLimiter {
            limit: None,
            bucket: TokenBucket::full(),
            last_return: Tick::ZERO,
        }
    }

    /// Replaces the limit by the one that the target states now.
    pub(super) fn set_limit(&mut self, limit: Option<RequestRate>) {
        self.limit = limit.map(|limit| limit.max(MIN_RATE));
        if limit.is_none() {
            self.last_return = Tick::ZERO;
        }
    }

    /// How long it takes until a request may start; nothing if one may start now.
    pub(super) fn wait(&mut self, now: Tick) -> Option<Duration> {
        let limit = self.limit?;
        self.bucket
            .refill_milli(now, u64::from(limit.milli_per_s()), BURST)
    }

    /// How long a request waits that starts after `ahead` others; zero without a limit.
    pub(super) fn wait_behind(&mut self, now: Tick, ahead: usize) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let first = self.wait(now).unwrap_or_default();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        first.saturating_add(limit.interval().saturating_mul(ahead))
    }

    /// When a caller who is refused for good is to come back, who would wait for `wait`.
    ///
    /// Callers come back one after the other at the rate of the limit. Told the same time,
    /// all but one of them would be refused again.
    pub(super) fn schedule_return(&mut self, now: Tick, wait: Duration) -> Duration {
        let Some(limit) = self.limit else {
            return wait;
        };
        let earliest = now + wait;
        let latest = now + MAX_RETRY_AFTER;
        let next = self.last_return + limit.interval();
        let at = earliest.max(next).min(latest.max(earliest));
        self.last_return = at;
        at.since(now)
    }

    /// Records that a request was admitted.
    pub(super) fn record_admission(&mut self) {
        if self.limit.is_some() {
            self.bucket.take();
        }
    }
}
