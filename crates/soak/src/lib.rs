//! A fault soak: the real programs as processes on one machine, hurt from
//! outside, while what callers and targets see is held against the promises.
//!
//! One run goes through these modules in turn. [`schedule`] draws from a seed
//! what happens when. [`fleet`] starts nodes, targets, the platform and callers
//! as processes of their own ([`child`]), with a link on each way between
//! them. [`driver`] carries the schedule out. [`verdict`] puts the callers'
//! records, the targets' ledgers and what nodes said they had in force before
//! the judges of the benchmark, and the report says what they found.
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
pub mod regression;
pub mod run;
pub mod schedule;
pub mod standin;
pub mod verdict;
