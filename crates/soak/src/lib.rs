//! A fault soak: it runs the real programs as processes on one machine, injects faults from
//! outside, and checks what callers and targets observed against the guarantees.
//!
//! One run uses these modules in turn. [`schedule`] draws from a seed which fault comes
//! when. [`fleet`] starts nodes, targets and the platform as processes of their own
//! ([`child`]), with a link on each connection between them, and [`callers`] makes the calls
//! in further processes. [`driver`] injects the faults of the schedule. [`verdict`] passes
//! the records of the callers, the ledgers of the targets and the versions that nodes
//! reported as in force to the checks of the benchmark, and reports the violations.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use sassafrasspool_soak::schedule::Schedule;
//!
//! let drawn = Schedule::draw(8, Duration::from_secs(10), 7);
//! assert_eq!(drawn, Schedule::draw(8, Duration::from_secs(10), 7));
//! ```

pub mod callers;
pub mod catalogue;
pub mod child;
pub mod driver;
pub mod fleet;
pub mod options;
mod processor_time;
pub mod regression;
pub mod run;
pub mod schedule;
pub mod standin;
pub mod verdict;
