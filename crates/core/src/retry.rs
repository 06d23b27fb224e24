//! Trying again: only what is proved not to have run, or may run twice, and
//! only as often as a budget allows.
//!
//! The node that first took a call is the only one that tries it again. Were
//! each hop of a chain to do so, a fault at its far end would multiply with
//! every hop before it.

pub use self::budget::Budget;
pub use self::retry_state::Hop;
pub use self::retry_state::Next;
pub use self::retry_state::Tries;

mod budget;
mod retry_state;
#[cfg(test)]
mod tests;
