//! The life of a request beside its target, as types.
//!
//! A refusal says that the request was not run. It can only be made of a
//! request that was not handed over yet, or with the proof that nothing of it was
//! sent, so that the compiler keeps the promise.

pub use self::handed_over::HandedOver;
pub use self::handed_over::NothingSent;
pub use self::states::Admitted;
pub use self::states::Answered;
pub use self::states::Received;
pub use self::whole::Request;

mod handed_over;
mod states;
#[cfg(test)]
mod tests;
mod whole;
