//! Phases of an endpoint's life cycle.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A phase of an endpoint between its start and its end.
///
/// The variants are in the order of the life cycle: within one incarnation an
/// endpoint never returns to an earlier phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The target or its node isn't ready yet.
    Starting,
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// The endpoint has ended.
    Gone,
}

impl Phase {
    /// The phase's name in logs, metrics and audit records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }

    /// Whether new requests may be sent to an endpoint in this phase.
    pub const fn takes_requests(self) -> bool {
        matches!(self, Phase::Ready)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
