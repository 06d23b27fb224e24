//! The answer to a drain request.

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use serde::Deserialize;
use serde::Serialize;

/// Progress of a drain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The node's instance.
    pub instance: InstanceId,
    /// The current phase of its endpoint.
    pub phase: Phase,
    /// Requests in flight on the node.
    pub in_flight: u64,
}
