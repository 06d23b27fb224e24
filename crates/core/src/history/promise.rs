//! What must always hold.

use std::fmt;

/// One of the nine promises that a run is judged by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No node returns to an older version than one that it has applied.
    NoStepBack,
    /// No route points at a service or endpoint that the node doesn't hold.
    NoDangling,
    /// A version is held whole or not at all, and a bad one not at all.
    AllOrNothing,
    /// A caller gets the whole answer to its own request, once.
    WholeAnswer,
    /// What was refused as not run was not run.
    TrueRefusal,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target soon receives no new work.
    LeavingRests,
    /// A planned stop cuts nothing that is in flight.
    GracefulStop,
    /// A good version is soon in force everywhere.
    InForceSoon,
}

impl Promise {
    /// All promises.
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

    /// The promise's name in reports.
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
