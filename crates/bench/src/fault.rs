//! The verb `fault`: the versions in force on a fleet while nodes, network and
//! source fail, checked by the history checker.

pub use self::case::Case;
pub use self::options::Options;
pub use self::report::CaseReport;
pub use self::report::Report;
pub use self::run::run;

mod case;
mod case_fleet;
mod disturbance;
mod options;
mod report;
mod run;
mod script;
mod timing;
