//! When something was seen, also before this process began.

use std::time::Duration;

use crate::Tick;

/// A time that may lie up to [`REPORT_RETENTION`] before the process's first tick.
///
/// A node that starts hears of crashes from before. Were all of them dated at its start,
/// an answer from before a crash would excuse it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ObservedAt(Tick);

/// How long what was seen counts.
pub(super) const REPORT_RETENTION: Duration = Duration::from_secs(3_600);

impl ObservedAt {
    /// So long before `now`; nothing if that is too old to count.
    pub(super) fn from_age(now: Tick, age: Duration) -> Option<ObservedAt> {
        let left = REPORT_RETENTION
            .checked_sub(age)
            .filter(|left| !left.is_zero())?;
        Some(ObservedAt(now + left))
    }

    /// How long before `now` it was.
    pub(super) fn age(self, now: Tick) -> Duration {
        (now + REPORT_RETENTION).since(self.0)
    }

    /// So much later.
    pub(super) fn later_by(self, span: Duration) -> ObservedAt {
        ObservedAt(self.0 + span)
    }

    /// The process's tick then; its first for what was before.
    pub(super) fn tick(self) -> Tick {
        Tick::ZERO + self.0.since(Tick::ZERO + REPORT_RETENTION)
    }
}
