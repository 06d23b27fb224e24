//! What the decisions themselves cost at any fleet size, without I/O.
//!
//! Two machines are driven by hand: one reads the platform, the other hears
//! from it as from every other peer. The list has as many members as asked
//! for, so that what depends on the fleet's size shows on one machine.

pub use self::report::CoreCost;
pub use self::run::run;

mod driven;
mod report;
mod run;
mod source;
#[cfg(test)]
mod tests;
