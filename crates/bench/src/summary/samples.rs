//! Histogram of measured durations.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::SummaryMs;

/// Significant digits of a percentile.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The longest duration that is distinguished, in microseconds: one hour.
const MAX_US: u64 = 3_600_000_000;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1000.0;

/// A histogram of durations in microseconds. Durations above an hour count as
/// an hour.
#[derive(Debug, Clone)]
pub struct Samples(Histogram<u64>);

impl Samples {
    /// An empty histogram.
    ///
    /// # Panics
    ///
    /// Never: the bounds are valid for the histogram.
    pub fn new() -> Samples {
        let histogram = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS);
        Samples(histogram.expect("the constant bounds are valid"))
    }

    /// Adds one duration.
    pub fn add(&mut self, sample: Duration) {
        let us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(us);
    }

    /// Adds all samples of `other`.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn merge(&mut self, other: &Samples) {
        self.0
            .add(&other.0)
            .expect("all histograms have the same bounds");
    }

    /// Number of samples.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Percentiles in milliseconds; all zero if there are no samples.
    pub fn summary(&self) -> SummaryMs {
        SummaryMs {
            p50: us_to_ms(self.0.value_at_quantile(0.50)),
            p99: us_to_ms(self.0.value_at_quantile(0.99)),
            max: us_to_ms(self.0.max()),
        }
    }
}

impl Default for Samples {
    fn default() -> Samples {
        Samples::new()
    }
}

impl FromIterator<Duration> for Samples {
    fn from_iter<I: IntoIterator<Item = Duration>>(durations: I) -> Samples {
        let mut samples = Samples::new();
        for duration in durations {
            samples.add(duration);
        }
        samples
    }
}

fn us_to_ms(us: u64) -> f64 {
    us as f64 / US_PER_MS
}
