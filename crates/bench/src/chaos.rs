//! The verb `chaos`: load under injected faults. Instances stop, crash, pause
//! and restart, the platform serves stale, late or no data, and callers retry.
//!
//! The faults are drawn from a seed before the run. Each fault is logged with
//! its time and instance, so that the evaluation can tell losses that no node
//! could have prevented from faults of a node.

pub use self::fault::Fault;
pub use self::options::Options;
pub use self::report::Report;
pub use self::report::count_by_guarantee;
pub use self::run::run;
pub use self::script::Script;
pub use self::script::Step;

pub mod bounds;
pub mod callers;
pub mod catalogue;
mod driver;
pub mod events;
mod fault;
pub mod log;
pub mod observer;
mod operators;
mod options;
pub mod publication;
mod report;
mod run;
mod script;
#[cfg(test)]
mod tests;
