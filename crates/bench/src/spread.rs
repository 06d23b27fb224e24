//! The verb `spread`: how fast and at what cost a change is in force
//! everywhere, by the system's way or the naive one.

pub(crate) use self::convergence::Published;
pub use self::options::Options;
pub use self::report::Report;
pub use self::run::run;

mod baseline;
mod convergence;
mod options;
mod report;
mod run;
