//! Summaries of samples.

pub use self::samples::Samples;
pub use self::summary_ms::SummaryMs;

mod samples;
mod summary_ms;
#[cfg(test)]
mod tests;
