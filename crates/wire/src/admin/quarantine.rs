//! Quarantine: requests that are not sent to targets because they make targets crash.

use sassafrasspool_core::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// The quarantined requests of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineInfo {
    /// The node's instance.
    pub instance: InstanceId,
    /// The contents in quarantine.
    pub held: Vec<QuarantinedInfo>,
}

/// Requests with one content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedInfo {
    /// The hash of their content, as in the request log and the audit trail.
    pub content: String,
    /// Milliseconds until the quarantine ends.
    pub left_ms: u64,
}

/// The answer to a release of quarantined requests; the node announces the release to
/// the other nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// The node's instance.
    pub instance: InstanceId,
    /// Whether the requests were in quarantine on this node.
    pub was_held: bool,
}
