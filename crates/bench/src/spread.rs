//! The verb `spread`: time and cost until a change is in force on all nodes,
//! by the system's dissemination or the naive strategy.

pub(crate) use self::convergence::Published;
pub use self::options::Options;
pub use self::report::Report;
pub use self::run::run;

mod baseline;
mod convergence;
mod options;
mod report;
mod run;
