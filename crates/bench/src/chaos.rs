//! Load while everything fails: instances stop, die, pause and come back, the
//! platform misleads, and callers repeat themselves.
//!
//! The faults are drawn from a seed before the run. What the run did to whom
//! is logged, so that the judge can tell what nobody could have prevented
//! from what a node got wrong.

pub use self::fault::Fault;
pub use self::options::Options;
pub use self::report::Report;
pub use self::report::by_promise;
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
pub mod published;
mod report;
mod run;
mod script;
#[cfg(test)]
mod tests;
