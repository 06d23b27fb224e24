//! The order of requests within one class.

use std::time::Duration;

use crate::Tick;

/// The factor by which a late answer costs more than one in time. To callers a late answer
/// is worth about half, so it has to take half as long to be worth its slot time as much.
const LATE_COST_FACTOR: u64 = 2;

/// A place in the order in which requests of one class get slots; the smallest goes first.
///
/// The capacity of a target is slot time. Requests of one class are worth the same each, so
/// the most callers are served if the requests that take the least slot time go first. That
/// also prefers nested calls of requests that run at another target: they are short, and
/// each one occupies a second slot there while it waits.
///
/// Service times are compared by their order of magnitude, since the time of a kind is only
/// known on average. Among requests that cost the same the one with the earliest
/// `latest_start` goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// The binary order of magnitude of the slot time in microseconds.
    cost: u32,
    late: bool,
    latest_start: Tick,
}

impl Precedence {
    /// After all others.
    pub(super) const LAST: Precedence = Precedence {
        cost: u32::MAX,
        late: true,
        latest_start: Tick::from_micros(u64::MAX),
    };

    /// The precedence of a request that takes `took` and has to start by `latest_start` to
    /// meet its soft deadline.
    pub(super) fn new(took: Duration, latest_start: Option<Tick>, now: Tick) -> Precedence {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let us = us.max(1);
        let late = latest_start.is_some_and(|latest_start| now > latest_start);
        let cost = if late {
            us.saturating_mul(LATE_COST_FACTOR)
        } else {
            us
        };
        Precedence {
            cost: cost.ilog2(),
            late,
            // Requests without a soft deadline go after others.
            latest_start: latest_start.unwrap_or(Tick::from_micros(u64::MAX)),
        }
    }

    /// Whether it goes after `other` whatever their latest starts are.
    pub(super) fn costs_more_than(self, other: Precedence) -> bool {
        self.cost > other.cost
    }

    /// The precedence by lateness and latest start alone: requests that can be in time go
    /// first.
    pub(super) fn ignoring_cost(self) -> Precedence {
        Precedence { cost: 0, ..self }
    }
}
