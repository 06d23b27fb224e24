//! The rate at which requests may start at a cold target.

use std::collections::VecDeque;
use std::time::Duration;

use super::token_bucket::TokenBucket;
use crate::ColdLimit;
use crate::Tick;

/// The span in which the starts of requests are limited.
const SECOND: Duration = Duration::from_secs(1);

/// The longest time from the admission of a request to its start at the target that the limit
/// allows for. On a busy machine requests reach their target late, and start together with
/// those that were admitted after them.
const MAX_START_DELAY: Duration = Duration::from_secs(1);

/// The rate limit on a target while it is cold.
///
/// # Invariants
///
/// While the limit is in force, no more requests are admitted or start within any second than
/// [`ColdLimit::max_per_second`], those of the previous process included. Requests that start
/// later than [`MAX_START_DELAY`] after their admission are excepted.
#[derive(Debug)]
pub(super) struct WarmUp {
    limit: Option<ColdLimit>,
    bucket: TokenBucket,
    /// The requests that may start, or may have started, within the last second, in the order
    /// of their admissions.
    admitted: VecDeque<Admitted>,
    /// When the previous process of the node had ended at the latest, if there may be one.
    predecessor_end: Option<Tick>,
}

/// A request that was admitted.
#[derive(Debug)]
struct Admitted {
    at: Tick,
    has_ended: bool,
    /// A second after its latest possible start.
    counts_until: Tick,
}

impl WarmUp {
    /// No limit.
    pub(super) const fn new() -> WarmUp {
        WarmUp {
            limit: None,
            bucket: TokenBucket::full(),
            admitted: VecDeque::new(),
            predecessor_end: None,
        }
    }

    /// Sets when the previous process of the node had ended at the latest.
    pub(super) fn set_predecessor_end(&mut self, at: Tick) {
        self.predecessor_end = Some(at);
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
        let rate_wait = self.bucket.refill(now, limit.per_s, limit.burst);
        let window_wait = self.window_wait(now, limit);
        let wait = rate_wait.max(window_wait).max(self.predecessor_wait(now))?;
        Some(wait.min(limit.until.since(now)))
    }

    /// How long it takes until a second has passed since the end of the previous process, which
    /// may have admitted as many requests as the limit allows; nothing if it has passed.
    fn predecessor_wait(&self, now: Tick) -> Option<Duration> {
        let since_end = now.since(self.predecessor_end?);
        let left = SECOND.saturating_sub(since_end);
        (!left.is_zero()).then_some(left)
    }

    /// How long it takes at most until fewer requests may start within a second than the limit
    /// allows; nothing if it is so now. The end of a request may shorten the wait.
    fn window_wait(&self, now: Tick, limit: ColdLimit) -> Option<Duration> {
        let counted = self.admitted.iter().filter(|it| now < it.counts_until);
        let mut ends: Vec<Tick> = counted.map(|it| it.counts_until).collect();
        let over = ends.len().checked_sub(limit.max_per_second())?;
        ends.sort_unstable();
        Some(ends[over].since(now))
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

    /// Records that a request was admitted.
    pub(super) fn record_admission(&mut self, now: Tick) {
        if self.limit.is_some() {
            self.bucket.take();
        }
        let is_over = |it: &mut Admitted| it.at + MAX_START_DELAY + SECOND <= now;
        while self.admitted.pop_front_if(is_over).is_some() {}
        self.admitted.push_back(Admitted {
            at: now,
            has_ended: false,
            counts_until: now + MAX_START_DELAY + SECOND,
        });
    }

    /// How many requests were admitted within the last second.
    pub(super) fn recent_admissions(&self, now: Tick) -> usize {
        let is_recent = |it: &&Admitted| now.since(it.at) < SECOND;
        self.admitted.iter().rev().take_while(is_recent).count()
    }

    /// Records that a request has ended that was admitted at `admitted_at` and ran at the target
    /// for at least `shortest`. It doesn't start any more.
    pub(super) fn record_end(&mut self, now: Tick, admitted_at: Tick, shortest: Duration) {
        let mut admitted = self.admitted.iter_mut().rev();
        let Some(ended) = admitted.find(|it| it.at == admitted_at && !it.has_ended) else {
            return;
        };
        let latest_start = admitted_at + now.since(admitted_at).saturating_sub(shortest);
        ended.has_ended = true;
        ended.counts_until = ended.counts_until.min(latest_start + SECOND);
    }
}
