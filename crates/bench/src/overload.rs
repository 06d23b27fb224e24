//! The verb `overload`: goodput by class under a load above the capacity of
//! the targets' slots, with and without admission and retry budgets.

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
