//! Phases of an endpoint's life.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Where an endpoint stands between its start and its end.
///
/// The order is that of life: within one incarnation a phase never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Its target or its node isn't ready yet.
    Starting,
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has ended.
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

    /// Whether new requests may be sent to it.
    pub const fn takes_requests(self) -> bool {
        matches!(self, Phase::Ready)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
