//! Requests that were handed over and got no complete answer.

use std::fmt;

use crate::Outcome;
use crate::Step;

/// Why a request that was handed over got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum LossCause {
    /// Its deadline passed.
    Timeout,
    /// The connection broke before an answer began.
    ConnectionLost,
    /// The answer was truncated.
    AnswerCut,
    /// The answer was malformed, belonged to another request, or did not come from the target.
    AnswerInvalid,
    /// The caller disconnected.
    CallerGone,
    /// A node on a later hop reported that the outcome is unknown.
    Peer,
}

impl LossCause {
    /// The cause's name in headers, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            LossCause::Timeout => "timeout",
            LossCause::ConnectionLost => "connection-lost",
            LossCause::AnswerCut => "answer-cut",
            LossCause::AnswerInvalid => "answer-spoiled",
            LossCause::CallerGone => "caller-gone",
            LossCause::Peer => "peer",
        }
    }
}

/// The end of a request that was handed over and got no complete answer.
///
/// Its outcome is always [`Outcome::Unknown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a loss is the final answer and must reach the caller"]
pub struct Loss {
    step: Step,
    cause: LossCause,
}

impl Loss {
    /// A loss at `step`.
    pub const fn new(step: Step, cause: LossCause) -> Loss {
        Loss { step, cause }
    }

    /// What is known about the request, which is always [`Outcome::Unknown`].
    pub const fn outcome(&self) -> Outcome {
        Outcome::Unknown
    }

    /// The step at which the request was lost.
    pub const fn step(&self) -> Step {
        self.step
    }

    /// Why the request was lost.
    pub const fn cause(&self) -> LossCause {
        self.cause
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown at {}: {}",
            self.step.as_str(),
            self.cause.as_str()
        )
    }
}
