//! The guarantees of the system.

use std::fmt;

/// One of the nine guarantees that a run is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
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
    NoWorkWhileLeaving,
    /// A planned stop cuts no request in flight.
    GracefulStop,
    /// A valid version is in force on all reachable nodes within a bound.
    InForceSoon,
}

impl Guarantee {
    /// All guarantees.
    pub const ALL: [Guarantee; 9] = [
        Guarantee::NoStepBack,
        Guarantee::NoDangling,
        Guarantee::AllOrNothing,
        Guarantee::WholeAnswer,
        Guarantee::TrueRefusal,
        Guarantee::AtMostOnce,
        Guarantee::NoWorkWhileLeaving,
        Guarantee::GracefulStop,
        Guarantee::InForceSoon,
    ];

    /// The guarantee's name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Guarantee::NoStepBack => "no-step-back",
            Guarantee::NoDangling => "no-dangling",
            Guarantee::AllOrNothing => "all-or-nothing",
            Guarantee::WholeAnswer => "whole-answer",
            Guarantee::TrueRefusal => "true-refusal",
            Guarantee::AtMostOnce => "at-most-once",
            Guarantee::NoWorkWhileLeaving => "leaving-rests",
            Guarantee::GracefulStop => "graceful-stop",
            Guarantee::InForceSoon => "in-force-soon",
        }
    }
}

impl fmt::Display for Guarantee {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
