//! The states of a request at its target's node, as types.
//!
//! A refusal states that the request was not run. It can be made only from a request
//! that was not handed over yet, or with the proof that nothing of the request was
//! sent, so the compiler enforces that the statement is true.

pub use self::handed_over::HandedOver;
pub use self::handed_over::NothingSent;
pub use self::states::Admitted;
pub use self::states::Answered;
pub use self::states::Received;
pub use self::unsent::Request;

mod handed_over;
mod states;
#[cfg(test)]
mod tests;
mod unsent;
