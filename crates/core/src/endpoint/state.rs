//! The state record of an endpoint that is gossiped between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::InstanceId;
use crate::Phase;

/// The most recent state that an instance's node published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointState {
    /// The instance that the record describes.
    pub instance: InstanceId,
    /// The start of the instance's node; each restart has a higher number.
    pub incarnation: u64,
    /// Counts the records that were published within the incarnation.
    pub sequence: u64,
    /// The endpoint's phase.
    pub phase: Phase,
}

impl EndpointState {
    /// Whether this record was published after `other`.
    pub fn is_newer_than(&self, other: &EndpointState) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}
