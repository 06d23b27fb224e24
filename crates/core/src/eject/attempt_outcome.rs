//! The outcome of an attempt for its endpoint.

use std::time::Duration;

/// How one attempt at an endpoint ended, as far as it concerns the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered after this time.
    Answered(Duration),
    /// The endpoint refused because of its load. The connection works.
    Shed,
    /// The endpoint limits the rate of its requests and admits the next one after this time.
    RateLimited(Duration),
    /// The endpoint refused because it drains.
    Draining,
    /// No connection was established.
    NoConnection,
    /// The connection broke, the answer was truncated, or none arrived in time.
    Failed,
    /// The caller went away, or the attempt was not made; this says nothing about the endpoint.
    Cancelled,
}
