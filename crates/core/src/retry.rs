//! Trying again: only what is proved not to have run, or may run twice, and
//! only as often as a budget allows.
//!
//! The node that first took a call is the only one that tries it again. Were
//! each hop of a chain to do so, a fault at its far end would multiply with
//! every hop before it.

pub use self::budget::Budget;
pub use self::tries::Hop;
pub use self::tries::Next;
pub use self::tries::Tries;

mod budget;
#[cfg(test)]
mod tests;
mod tries;
