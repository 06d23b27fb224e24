//! The guarantees of the system.

use std::fmt;

/// One of the nine guarantees that a run is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No node returns to a version older than one that it has applied.
    NoStepBack,
    /// No route refers to a service or endpoint that is missing on the node.
    NoDangling,
    /// A version is in force whole or not at all, and an invalid one not at all.
    AllOrNothing,
    /// A caller receives the whole answer to its own request, once.
    WholeAnswer,
    /// A request refused as not run was not run.
    TrueRefusal,
    /// An operation that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target starts no new work after a bound.
    LeavingRests,
    /// A planned stop cuts no request in flight.
    GracefulStop,
    /// A valid version is in force on all reachable nodes within a bound.
    InForceSoon,
}

impl Promise {
    /// All guarantees.
    pub const ALL: [Promise; 9] = [
        Promise::NoStepBack,
        Promise::NoDangling,
        Promise::AllOrNothing,
        Promise::WholeAnswer,
        Promise::TrueRefusal,
        Promise::AtMostOnce,
        Promise::LeavingRests,
        Promise::GracefulStop,
        Promise::InForceSoon,
    ];

    /// The guarantee's name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Promise::NoStepBack => "no-step-back",
            Promise::NoDangling => "no-dangling",
            Promise::AllOrNothing => "all-or-nothing",
            Promise::WholeAnswer => "whole-answer",
            Promise::TrueRefusal => "true-refusal",
            Promise::AtMostOnce => "at-most-once",
            Promise::LeavingRests => "leaving-rests",
            Promise::GracefulStop => "graceful-stop",
            Promise::InForceSoon => "in-force-soon",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
