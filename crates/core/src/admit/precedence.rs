//! Who goes before whom among requests of one class.

use std::time::Duration;

use crate::Tick;

/// How much more a late answer costs than one in time: callers count it for
/// about half, so that it is to take half as long to be worth a slot as much.
const LATE_COST: u64 = 2;

/// A place in the order in which requests of one class get slots: the least is
/// first.
///
/// What a target bears is time in its slots. Requests of one class are worth the
/// same each, so that most callers are served if those go first that take the
/// least of it. That also lets calls of requests that run elsewhere pass: they are
/// short, and each holds a second slot while it waits.
///
/// Times are compared by their order of magnitude, as what a kind takes is only
/// known on average; of those that cost as much the one that has to begin first
/// is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Precedence {
    /// The binary order of magnitude of the time in a slot, in microseconds.
    cost: u32,
    late: bool,
    begin_by: Tick,
}

impl Precedence {
    /// Behind all others.
    pub(super) const LAST: Precedence = Precedence {
        cost: u32::MAX,
        late: true,
        begin_by: Tick::from_micros(u64::MAX),
    };

    /// The place of a request that takes so long and is to begin by then.
    pub(super) fn of(took: Duration, begin_by: Option<Tick>, now: Tick) -> Precedence {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let us = us.max(1);
        let late = begin_by.is_some_and(|begin_by| now > begin_by);
        let cost = if late {
            us.saturating_mul(LATE_COST)
        } else {
            us
        };
        Precedence {
            cost: cost.ilog2(),
            late,
            // Those that are worth the same at any time stand behind others.
            begin_by: begin_by.unwrap_or(Tick::from_micros(u64::MAX)),
        }
    }

    /// Whether it goes behind another whatever their times are.
    pub(super) fn is_behind(self, other: Precedence) -> bool {
        self.cost > other.cost
    }

    /// The same by its time alone: those that can be in time go first.
    pub(super) fn by_time(self) -> Precedence {
        Precedence { cost: 0, ..self }
    }
}
