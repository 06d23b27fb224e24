//! What a call through two nodes costs beside a direct one.
//!
//! Each call through the nodes is paired with one that goes straight to the
//! same target in the same moment, in either order, so that whatever else the
//! machine does meets both alike. The targets take no time of their own: what
//! is left is the way.

pub use self::options::Options;
pub(crate) use self::process::load_average;
pub use self::report::Report;
pub use self::run::run;

mod options;
mod pairs;
mod process;
mod report;
mod run;
