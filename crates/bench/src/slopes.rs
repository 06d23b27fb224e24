//! The verb `slopes`: growth of each cost with each size, a line fitted to it,
//! and the line's value at the size for which the system is designed.

pub use self::axis::Axis;
pub use self::report::Report;
pub use self::run::run;

mod axis;
mod measure;
mod report;
mod run;
mod series;
mod table;
