//! The audit trail.

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Stream;
use serde::Deserialize;
use serde::Serialize;

use super::VersionInfo;

/// One change of state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Counts the node's records from 1.
    pub number: u64,
    /// When it was written, in milliseconds since 1970 by the node's clock.
    pub unix_ms: u64,
    /// What happened, such as `applied` or `refused`.
    pub event: String,
    /// The stream concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<Stream>,
    /// The version that was offered or came into force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionInfo>,
    /// The version that was kept instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<VersionInfo>,
    /// Who gave it: `source` or `peer` with its instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<String>,
    /// The instance concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// The phase that the instance is in now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<Phase>,
    /// Why, or what else there is to say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Some records, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// The instance beside which the node runs.
    pub instance: InstanceId,
    /// The records that were asked for and are still kept.
    pub records: Vec<AuditRecord>,
    /// Records that were dropped since the trail is bounded.
    pub dropped: u64,
}
