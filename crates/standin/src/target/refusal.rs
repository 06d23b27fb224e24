//! The reasons for refusing work.

use std::sync::atomic::AtomicU64;

use super::counters::Counters;
use super::health::Readiness;

/// Work refused with 503 before any of it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No slot is free.
    Shed,
    /// The target is in its cold start.
    Cold,
    /// The target drains.
    Draining,
}

impl Refusal {
    /// The answer body.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Refusal::Shed => "shed",
            Refusal::Cold => Readiness::Cold.as_str(),
            Refusal::Draining => Readiness::Draining.as_str(),
        }
    }

    /// Whether the answer asks the caller to close the connection.
    pub(super) fn closes_connection(self) -> bool {
        self != Refusal::Shed
    }

    /// The counter of these refusals.
    pub(super) fn counter(self, counters: &Counters) -> &AtomicU64 {
        match self {
            Refusal::Shed => &counters.shed,
            Refusal::Cold => &counters.cold_refused,
            Refusal::Draining => &counters.drain_refused,
        }
    }
}
