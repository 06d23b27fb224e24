//! The verb `calls`: the latency and processor time that two nodes add to a
//! call.
//!
//! Each call through the nodes is paired with a direct call to the same
//! target at the same time, in random order, so that other load on the machine
//! affects both alike. The service time of the targets is zero, so that the
//! difference is the overhead of the path through the nodes.

pub use self::options::Options;
pub(crate) use self::process::load_average;
pub use self::report::Report;
pub use self::run::run;

mod options;
mod pairs;
mod process;
mod report;
mod run;
