//! How many requests may begin at a cold target.

use std::time::Duration;

use super::bucket::Bucket;
use crate::ColdLimit;
use crate::Tick;

/// The limit on a target that is cold.
///
/// # Invariants
///
/// While it is in force, no more requests begin in any second than its rate gives in a
/// second and [`ColdLimit::burst`] together.
#[derive(Debug)]
pub(super) struct WarmUp {
    limit: Option<ColdLimit>,
    bucket: Bucket,
}

impl WarmUp {
    /// Without a limit.
    pub(super) const fn new() -> WarmUp {
        WarmUp {
            limit: None,
            bucket: Bucket::full(),
        }
    }

    /// Takes over what is known of the target now.
    pub(super) fn follow(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    fn in_force(&self, now: Tick) -> Option<ColdLimit> {
        self.limit.filter(|limit| now < limit.until)
    }

    /// How long it takes until a request may begin; nothing if one may at once.
    pub(super) fn wait(&mut self, now: Tick) -> Option<Duration> {
        let limit = self.in_force(now)?;
        let wait = self.bucket.refill(now, limit.per_s, limit.burst)?;
        Some(wait.min(limit.until.since(now)))
    }

    /// How long the one waits that begins after `ahead` others.
    pub(super) fn wait_behind(&mut self, now: Tick, ahead: usize) -> Duration {
        let Some(limit) = self.in_force(now) else {
            return Duration::ZERO;
        };
        let first = self.wait(now).unwrap_or_default();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) / limit.per_s.max(1);
        let wait = first.saturating_add(interval.saturating_mul(ahead));
        wait.min(limit.until.since(now))
    }

    /// Notes that a request begins.
    pub(super) fn begin(&mut self) {
        if self.limit.is_some() {
            self.bucket.take();
        }
    }
}
