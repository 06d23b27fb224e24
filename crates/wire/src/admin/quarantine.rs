//! Requests that no target is to run, since targets crash under them.

use sassafrasspool_core::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// What a node keeps from targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantineInfo {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// What is in quarantine.
    pub held: Vec<QuarantinedInfo>,
}

/// Requests of one content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedInfo {
    /// What they ask for, as lines of requests and the audit trail name it.
    pub content: String,
    /// Milliseconds for which they are in quarantine.
    pub left_ms: u64,
}

/// An order to let requests run again that a node has taken; it tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// Whether the node held them in quarantine.
    pub was_held: bool,
}
