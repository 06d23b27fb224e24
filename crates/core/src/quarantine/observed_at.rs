//! Times of observations, which may lie before the start of the process.

use std::time::Duration;

use crate::Tick;

/// A time that may lie up to [`REPORT_RETENTION`] before the process's first tick.
///
/// A starting node receives reports of earlier crashes. If all of them were dated at its
/// start, an answer from before a crash would count as one after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObservedAt(Tick);

/// How long an observation counts.
pub(super) const REPORT_RETENTION: Duration = Duration::from_secs(3_600);

impl ObservedAt {
    /// The time `age` before `now`, or nothing if that is too old to count.
    pub(super) fn from_age(now: Tick, age: Duration) -> Option<ObservedAt> {
        let left = REPORT_RETENTION
            .checked_sub(age)
            .filter(|left| !left.is_zero())?;
        Some(ObservedAt(now + left))
    }

    /// The time from it to `now`.
    pub(super) fn age(self, now: Tick) -> Duration {
        (now + REPORT_RETENTION).since(self.0)
    }

    /// The time `span` later.
    pub(super) fn later_by(self, span: Duration) -> ObservedAt {
        ObservedAt(self.0 + span)
    }

    /// It as a tick of the process, at the earliest the process's first tick.
    pub(super) fn tick(self) -> Tick {
        Tick::ZERO + self.0.since(Tick::ZERO + REPORT_RETENTION)
    }
}
