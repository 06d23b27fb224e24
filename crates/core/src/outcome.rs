//! Outcomes of requests without an answer: either it is proved that the request
//! was not run, or its outcome is unknown.
//!
//! A [`Refusal`] can be made only before a request is handed over, a [`Loss`] only
//! after it. This distinction decides whether the request may be retried.

pub use self::failure::Failure;
pub use self::loss::Loss;
pub use self::loss::LossCause;
pub use self::reason::Reason;
pub use self::refusal::Refusal;
pub use self::result::Outcome;

mod failure;
mod loss;
mod reason;
mod refusal;
mod result;
#[cfg(test)]
mod tests;
