//! Summary of durations in milliseconds.

use serde::Serialize;

/// Percentiles of a set of durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SummaryMs {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest sample.
    pub max: f64,
}
