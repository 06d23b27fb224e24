//! The outgoing network link of an instance as a resource that large answers share.
//!
//! A target has enough slots for many large answers, but the link of its instance may not
//! deliver them in time. Without a limit their bytes queue in the network, and small answers,
//! calls and control messages wait behind them. A [`Link`] therefore limits the bytes of large
//! answers to what other traffic leaves, decides which of them goes first, and refuses a
//! request whose answer can't be delivered in time before the request runs.

pub use self::outgoing::Link;
pub use self::rate::LinkRate;
pub use self::report::LinkReport;
pub use self::request::LinkRequest;
pub use self::reservation::LinkReservation;
pub use self::totals::LinkTotals;
pub use self::transfer::Transfer;

mod answer_sizes;
mod byte_bucket;
mod outgoing;
mod rate;
mod report;
mod request;
mod reservation;
mod state;
#[cfg(test)]
mod tests;
mod totals;
mod transfer;
