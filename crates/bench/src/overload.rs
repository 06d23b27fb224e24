//! Goodput by class when more is asked for than the targets' slots can do,
//! with admission and retry budgets and without.

pub use self::options::Options;
pub use self::report::ClassGoodput;
pub use self::report::Goodput;
pub use self::report::Report;
pub use self::run::run;

mod options;
mod report;
mod run;
#[cfg(test)]
mod tests;
