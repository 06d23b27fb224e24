//! Refusals of requests that were not handed over.

use std::fmt;
use std::time::Duration;

use crate::Outcome;
use crate::Reason;
use crate::Step;

/// The answer to an attempt that was not handed over.
///
/// # Invariants
///
/// The attempt that it answers was not run. Its outcome is the outcome of the
/// whole request for the caller: it is [`Outcome::Unknown`] if an earlier attempt
/// with the same key may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a refusal is the final answer and must reach the caller"]
pub struct Refusal {
    outcome: Outcome,
    step: Step,
    reason: Reason,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was not run.
    pub const fn not_run(step: Step, reason: Reason) -> Refusal {
        Refusal {
            outcome: Outcome::NotRun,
            step,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of an attempt while the outcome of an earlier attempt is unknown.
    pub const fn unknown(step: Step, reason: Reason) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            step,
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub const fn with_retry_after(mut self, wait: Duration) -> Refusal {
        self.retry_after = Some(wait);
        self
    }

    /// The refusal to send to the caller of a keyed request, if earlier attempts with
    /// the key may have been sent.
    ///
    /// Earlier attempts may have run although this attempt was not run. Unless the
    /// key's owner proved that the key was never used, the outcome is unknown. A
    /// caller that gets another outcome might send the request again with a new key.
    pub const fn for_keyed_retry(mut self) -> Refusal {
        if !self.reason.proves_key_unused() {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// What is known about the request.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The step at which the attempt was refused.
    pub const fn step(&self) -> Step {
        self.step
    }

    /// Why the attempt was refused.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// The time after which the caller may retry, if it is known.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {}: {}",
            self.outcome,
            self.step.as_str(),
            self.reason
        )
    }
}
