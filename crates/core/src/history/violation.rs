//! Violations that the checker found.

use std::fmt;
use std::time::Duration;

use super::Dangling;
use super::Guarantee;
use super::OperationId;
use super::RequestId;
use crate::InstanceId;
use crate::Stream;
use crate::Tick;
use crate::Version;

/// A violated guarantee and when the violation was seen.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// When it was seen.
    pub at: Tick,
    /// What was seen.
    pub breach: Breach,
}

/// How a guarantee was violated.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the fields are what the variant's text names")]
pub enum Breach {
    /// A node put `applied` in force after `held`.
    SteppedBack {
        node: InstanceId,
        stream: Stream,
        held: Version,
        applied: Version,
    },
    /// A node routed a request by `pinned` though `held` was in force.
    ServedByOlder {
        node: InstanceId,
        request: RequestId,
        stream: Stream,
        held: Version,
        pinned: Version,
    },
    /// A snapshot in force refers to a missing item.
    Dangles { node: InstanceId, what: Dangling },
    /// A version in force was never published as a valid one.
    NotPublished {
        node: InstanceId,
        stream: Stream,
        version: Version,
    },
    /// Content in force differs from that of the same versions elsewhere.
    InPart {
        node: InstanceId,
        catalogue: Version,
        instances: Version,
    },
    /// A caller received the answer to another request.
    Crossed {
        request: RequestId,
        answers: RequestId,
    },
    /// A caller received an incomplete body as if it were complete.
    CutShort { request: RequestId },
    /// A request ended a second time for its caller.
    EndedTwice { request: RequestId },
    /// A request was never answered, refused or abandoned.
    Lost { request: RequestId },
    /// A request was refused as not run, but was run.
    RanThoughRefused {
        request: RequestId,
        target: InstanceId,
    },
    /// An operation that may not be repeated ran again.
    RanAgain {
        operation: OperationId,
        first: RequestId,
        again: RequestId,
    },
    /// A target started work a time `after` it began to leave.
    WorkedWhileLeaving {
        target: InstanceId,
        request: RequestId,
        after: Duration,
    },
    /// A planned stop ended while a request ran.
    CutByStop {
        target: InstanceId,
        request: RequestId,
    },
    /// A node reported requests that were cut by its planned stop.
    CountedCuts { target: InstanceId, cut: u64 },
    /// A valid version wasn't in force in time.
    Late {
        node: InstanceId,
        stream: Stream,
        version: Version,
    },
}

impl Violation {
    /// The guarantee that was violated.
    pub fn guarantee(&self) -> Guarantee {
        match self.breach {
            Breach::SteppedBack { .. } | Breach::ServedByOlder { .. } => Guarantee::NoStepBack,
            Breach::Dangles { .. } => Guarantee::NoDangling,
            Breach::NotPublished { .. } | Breach::InPart { .. } => Guarantee::AllOrNothing,
            Breach::Crossed { .. }
            | Breach::CutShort { .. }
            | Breach::EndedTwice { .. }
            | Breach::Lost { .. } => Guarantee::WholeAnswer,
            Breach::RanThoughRefused { .. } => Guarantee::TrueRefusal,
            Breach::RanAgain { .. } => Guarantee::AtMostOnce,
            Breach::WorkedWhileLeaving { .. } => Guarantee::NoWorkWhileLeaving,
            Breach::CutByStop { .. } | Breach::CountedCuts { .. } => Guarantee::GracefulStop,
            Breach::Late { .. } => Guarantee::InForceSoon,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at_ms = self.at.as_micros() / 1_000;
        write!(f, "{} at {at_ms} ms: {:?}", self.guarantee(), self.breach)
    }
}
