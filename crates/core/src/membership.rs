//! Endpoint states that nodes publish for their own targets.
//!
//! Only a target's own node publishes its state. The platform's list lags, so
//! a leaving instance announces itself: its state record is gossiped from node
//! to node, and the record with the highest incarnation and sequence wins.

pub use self::incarnation::Incarnation;
pub(crate) use self::table::MembershipTable;
pub(crate) use self::table::MergeOutcome;

mod incarnation;
mod table;
#[cfg(test)]
mod tests;
