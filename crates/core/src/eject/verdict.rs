//! What a try says of its endpoint.

use std::time::Duration;

/// How one try at an endpoint ended, as far as it concerns the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered, after this time.
    Answered(Duration),
    /// It refused for its load, which is a sign of life.
    Shed,
    /// It is cold and bears the next request after this time.
    Cold(Duration),
    /// It refused since it is leaving.
    Draining,
    /// No connection could be made.
    NoConnection,
    /// The connection broke, the answer was cut, or none came in time.
    Failed,
    /// The caller went away; this says nothing.
    Cancelled,
}
