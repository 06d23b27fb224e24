//! A summary in milliseconds.

use serde::Serialize;

/// Percentiles of a set of durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SummaryMs {
    /// The median.
    pub p50: f64,
    /// What 99 of 100 samples don't exceed.
    pub p99: f64,
    /// The largest sample.
    pub max: f64,
}
