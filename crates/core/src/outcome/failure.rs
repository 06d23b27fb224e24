//! Failed attempts, as seen by the node that made them.

use crate::Loss;
use crate::Outcome;
use crate::Refusal;

/// Why an attempt got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a failure is either retried or reported to the caller"]
pub enum Failure {
    /// The attempt was refused before it was handed over to a target.
    Refused(Refusal),
    /// The attempt was handed over, or may have been.
    Lost(Loss),
}

impl Failure {
    /// What is known about the request.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Failure::Refused(refusal) => refusal.outcome(),
            Failure::Lost(loss) => loss.outcome(),
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        Failure::Refused(refusal)
    }
}

impl From<Loss> for Failure {
    fn from(loss: Loss) -> Failure {
        Failure::Lost(loss)
    }
}
