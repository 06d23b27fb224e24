use std::time::Duration;

use super::Samples;

#[test]
fn percentiles_are_in_milliseconds() {
    let samples: Samples = (1..=100).map(Duration::from_millis).collect();
    let summary = samples.summary();
    assert!((summary.p50 - 50.0).abs() < 0.1, "{summary:?}");
    assert!((summary.p99 - 99.0).abs() < 0.1, "{summary:?}");
    assert!((summary.max - 100.0).abs() < 0.1, "{summary:?}");
}

#[test]
fn an_empty_histogram_has_a_summary() {
    assert_eq!(Samples::new().summary(), Default::default());
}
