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
///
/// Requests of returning callers go before all of newcomers while they can be in time: their
/// refusal would be final, and a newcomer can come back. A late one has no precedence, since it
/// would make a newcomer late as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// Whether the caller isn't returning at the time that it was told.
    newcomer: bool,
    /// The binary order of magnitude of the slot time in microseconds.
    cost: u32,
    late: bool,
    latest_start: Tick,
}

impl Precedence {
    /// After all others.
    pub(super) const LAST: Precedence = Precedence {
        newcomer: true,
        cost: u32::MAX,
        late: true,
        latest_start: Tick::from_micros(u64::MAX),
    };

    /// The precedence of a newcomer's request that takes `took` and has to start by
    /// `latest_start` to meet its soft deadline.
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
            newcomer: true,
            cost: cost.ilog2(),
            late,
            // Requests without a soft deadline go after others.
            latest_start: latest_start.unwrap_or(Tick::from_micros(u64::MAX)),
        }
    }

    /// The same for a request whose caller may be returning at the time that it was told.
    pub(super) fn with_returning(self, returning: bool) -> Precedence {
        Precedence {
            newcomer: !returning || self.late,
            ..self
        }
    }

    /// Whether it goes after `other` whatever their latest starts are.
    pub(super) fn goes_after(self, other: Precedence) -> bool {
        (self.newcomer, self.cost) > (other.newcomer, other.cost)
    }

    /// Whether the caller isn't returning at the time that it was told.
    pub(super) fn is_newcomer(self) -> bool {
        self.newcomer
    }

    /// The precedence if newcomers go before returning callers.
    pub(super) fn preferring_newcomers(self) -> Precedence {
        self.with_returning(self.newcomer)
    }

    /// The precedence by lateness and latest start alone: requests that can be in time go
    /// first.
    pub(super) fn ignoring_cost(self) -> Precedence {
        Precedence { cost: 0, ..self }
    }
}
