//! What became of a request that has no answer: either it is proved that it
//! was not run, or nothing is known.
//!
//! A [`Refusal`] can only be made before a request is handed over, a [`Loss`]
//! only after it. Which of the two it is decides whether it may go out again.

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
