//! Refusals.

use std::fmt;
use std::time::Duration;

use crate::Outcome;
use crate::Reason;
use crate::Step;

/// The answer to an attempt that was never handed over.
///
/// # Invariants
///
/// The attempt that it answers was not run. Its outcome is that of the request
/// as the caller knows it: it is [`Outcome::Unknown`] if an earlier attempt
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

    /// A refusal of an attempt while nothing is known of an earlier one.
    pub const fn unknown(step: Step, reason: Reason) -> Refusal {
        Refusal {
            outcome: Outcome::Unknown,
            step,
            reason,
            retry_after: None,
        }
    }

    /// The same refusal, telling when to come back.
    pub const fn after(mut self, wait: Duration) -> Refusal {
        self.retry_after = Some(wait);
        self
    }

    /// The same refusal as the caller of a keyed request gets it, when earlier
    /// attempts with the key may have been sent.
    ///
    /// That this attempt wasn't run says nothing of those: unless the key's
    /// owner proved that it was never used, the outcome is unknown. A caller
    /// that was told otherwise might ask anew under another key.
    pub const fn of_repeat(mut self) -> Refusal {
        if !self.reason.is_after_proof() {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// What is known of the request.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The step at which it was refused.
    pub const fn step(&self) -> Step {
        self.step
    }

    /// Why it was refused.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// When the caller may come back, if that is known.
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
