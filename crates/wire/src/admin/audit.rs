//! Records of a node's audit trail.

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Stream;
use serde::Deserialize;
use serde::Serialize;

use super::VersionInfo;

/// One recorded change of a node's state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Sequence number of the record on this node, from 1.
    pub number: u64,
    /// Time of the record in milliseconds since 1970, by the node's clock.
    pub unix_ms: u64,
    /// The kind of the event, such as `applied` or `refused`.
    pub event: String,
    /// The stream concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<Stream>,
    /// The version that was received or put in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionInfo>,
    /// The version that stayed in force instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<VersionInfo>,
    /// Where the version came from: `source`, or `peer` with its instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<String>,
    /// The instance concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// The phase of the instance after the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<Phase>,
    /// The reason, or other details of the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A page of records, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// The node's instance.
    pub instance: InstanceId,
    /// The requested records that are still stored.
    pub records: Vec<AuditRecord>,
    /// Records that were dropped because the trail is bounded.
    pub dropped: u64,
}
