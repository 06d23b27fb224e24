//! The verb `spread`: time and cost until a change is in force on all nodes,
//! by the system's dissemination or the naive strategy.

pub(crate) use self::convergence::Publication;
pub use self::options::Options;
pub use self::report::Report;
pub use self::run::run;

mod convergence;
mod cost;
mod options;
mod report;
mod run;
