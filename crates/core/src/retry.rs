//! Retries: only of requests that are proved not to have run or that may run
//! twice, and only as often as a budget allows.
//!
//! Only the caller's node, the first hop, retries a call. If each hop of a
//! chain did, a fault at its far end would multiply with every hop before it.

pub use self::budget::RetryBudget;
pub use self::retry_state::Hop;
pub use self::retry_state::RetryDecision;
pub use self::retry_state::RetryState;

mod budget;
mod retry_state;
#[cfg(test)]
mod tests;
