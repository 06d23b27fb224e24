//! The verb `core-cost`: the cost of the dissemination's state machine at any
//! fleet size, without I/O.
//!
//! Two state machines run without a network: one reads the platform, the other
//! receives versions from it as from any peer. The list has as many members as
//! requested, so that costs which depend on the fleet's size show with one
//! machine.

pub use self::report::CoreCost;
pub use self::run::run;

mod report;
mod run;
mod simulated_node;
mod source;
#[cfg(test)]
mod tests;
