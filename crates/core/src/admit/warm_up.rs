//! The rate at which requests may start at a cold target.

use std::time::Duration;

use super::token_bucket::TokenBucket;
use crate::ColdLimit;
use crate::Tick;

/// The rate limit on a target while it is cold.
///
/// # Invariants
///
/// While the limit is in force, no more requests start within any second than its rate
/// yields in one second and [`ColdLimit::burst`] together.
#[derive(Debug)]
pub(super) struct WarmUp {
    limit: Option<ColdLimit>,
    bucket: TokenBucket,
}

impl WarmUp {
    /// No limit.
    pub(super) const fn new() -> WarmUp {
        WarmUp {
            limit: None,
            bucket: TokenBucket::full(),
        }
    }

    /// Replaces the limit by the one that is currently known for the target.
    pub(super) fn set_limit(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    fn active_limit(&self, now: Tick) -> Option<ColdLimit> {
        self.limit.filter(|limit| now < limit.until)
    }

    /// How long it takes until a request may start; nothing if one may start now.
    pub(super) fn wait(&mut self, now: Tick) -> Option<Duration> {
        let limit = self.active_limit(now)?;
        let wait = self.bucket.refill(now, limit.per_s, limit.burst)?;
        Some(wait.min(limit.until.since(now)))
    }

    /// How long a request waits that starts after `ahead` others.
    pub(super) fn wait_behind(&mut self, now: Tick, ahead: usize) -> Duration {
        let Some(limit) = self.active_limit(now) else {
            return Duration::ZERO;
        };
        let first = self.wait(now).unwrap_or_default();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) / limit.per_s.max(1);
        let wait = first.saturating_add(interval.saturating_mul(ahead));
        wait.min(limit.until.since(now))
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self) {
        if self.limit.is_some() {
            self.bucket.take();
        }
    }
}
