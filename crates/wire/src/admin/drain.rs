//! The answer to a request to drain.

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use serde::Deserialize;
use serde::Serialize;

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// The phase of its endpoint now.
    pub phase: Phase,
    /// Requests that it still works on.
    pub in_flight: u64,
}
