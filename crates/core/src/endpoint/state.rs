//! An endpoint's phase as it is told from node to node.

use serde::Deserialize;
use serde::Serialize;

use crate::InstanceId;
use crate::Phase;

/// What the node beside an instance last said of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The instance that it speaks of.
    pub instance: InstanceId,
    /// Which life of the instance's node is meant; a restart has a higher one.
    pub incarnation: u64,
    /// Counts what was said within the incarnation.
    pub sequence: u64,
    /// The phase.
    pub phase: Phase,
}

impl EndpointState {
    /// Whether this was said after `other`.
    pub fn is_newer_than(&self, other: &EndpointState) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}
