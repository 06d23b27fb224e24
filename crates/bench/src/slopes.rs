//! The verb `slopes`: how each cost grows with each size, with the fit and
//! what it comes to at the size that the system is designed for.

pub use self::axis::Axis;
pub use self::report::Report;
pub use self::run::run;

mod axis;
mod measure;
mod report;
mod run;
mod series;
mod table;
