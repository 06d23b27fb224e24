//! The rate limit that a target states, as tracked by the target's node.

use crate::RequestRate;
use crate::Tick;

#[cfg(test)]
mod tests;

/// The rate limit that a target states in its answers, which applies to all nodes together.
///
/// The target's node receives every answer and admits every request, so that it enforces
/// the limit for all nodes. After a restart it knows no answer yet, and applies the limit
/// that callers' nodes received before.
///
/// # Invariants
///
/// A limit ends only with an answer without it to a request that was sent after the limit
/// was last stated. Answers may overtake each other on their connections.
///
/// # Example
///
/// ```
/// use sassafrasspool_core::RequestRate;
/// use sassafrasspool_core::TargetLimitTracker;
/// use sassafrasspool_core::Tick;
///
/// let at = Tick::from_millis;
/// let limit = RequestRate::parse("8.7")?;
/// let mut tracker = TargetLimitTracker::default();
/// tracker.record_answer(at(20), at(10), Some(limit));
/// // This request was sent before the limit was stated.
/// tracker.record_answer(at(25), at(15), None);
/// assert_eq!(tracker.limit(), Some(limit));
/// tracker.record_answer(at(40), at(30), None);
/// assert_eq!(tracker.limit(), None);
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct TargetLimitTracker {
    limit: Option<RequestRate>,
    /// When an answer last stated a limit.
    stated_at: Option<Tick>,
    /// Whether the current process of the target has answered.
    has_answered: bool,
}

impl TargetLimitTracker {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Records what an answer states, which arrived now to a request that was sent at
    /// `sent_at`. Returns whether the limit has changed.
    pub fn record_answer(&mut self, now: Tick, sent_at: Tick, stated: Option<RequestRate>) -> bool {
        self.has_answered = true;
        if stated.is_some() {
            self.stated_at = Some(now);
        } else if self.stated_at.is_some_and(|at| sent_at <= at) {
            return false;
        }
        self.replace(stated)
    }

    /// Applies the limit that a caller's node received, unless the target has answered this
    /// node. Returns whether the limit has changed.
    pub fn adopt(&mut self, known: RequestRate) -> bool {
        !self.has_answered && self.replace(Some(known))
    }

    /// Forgets the limit, because the target was replaced by another process. Returns
    /// whether there was one.
    pub fn reset(&mut self) -> bool {
        let had_limit = self.limit.is_some();
        *self = TargetLimitTracker::default();
        had_limit
    }

    fn replace(&mut self, limit: Option<RequestRate>) -> bool {
        std::mem::replace(&mut self.limit, limit) != limit
    }
}
