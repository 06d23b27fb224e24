//! A try without an answer, as whoever made it sees it.

use crate::Loss;
use crate::Outcome;
use crate::Refusal;

/// Why one try brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a failure is either tried again or told to the caller"]
pub enum Failure {
    /// The try was refused before it was handed to a target.
    Refused(Refusal),
    /// The try was handed over, or may have been.
    Lost(Loss),
}

impl Failure {
    /// What is known of the request.
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
