//! Summary of a node's state.

use sassafrasspool_core::DomainName;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ControlStats;
use super::StreamVersions;

/// A failure domain that operators have evacuated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvacuationInfo {
    /// The failure domain.
    pub domain: DomainName,
    /// The platform's revision of the evacuation, if the platform reports it.
    pub since_revision: Option<u64>,
}

/// The outgoing link of a node's instance, as large answers use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkInfo {
    /// Milliseconds that a large answer of average size waits for the link.
    pub delay_ms: u64,
    /// Large answers that are expected or on their way.
    pub transfers: u64,
    /// Bytes of large answers since the node's start.
    pub large_bytes: u64,
    /// Bytes of other requests and answers since then.
    pub other_bytes: u64,
    /// Requests that were refused since then because the link was full.
    pub refusals: u64,
}

/// Summary of a node's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The node's instance.
    pub instance: InstanceId,
    /// The service of the instance.
    pub service: ServiceName,
    /// The region of the instance.
    pub region: RegionName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// The incarnation of the node; each start has another.
    pub incarnation: u64,
    /// The phase of the node's endpoint.
    pub phase: Phase,
    /// Whether the node has compared its first snapshot with other nodes.
    pub joined: bool,
    /// Whether the node is a reader of the platform for its failure domain.
    pub reading: bool,
    /// The versions in force.
    pub held: StreamVersions,
    /// The evacuated failure domains, to which the node routes no requests.
    #[serde(default)]
    pub evacuations: Vec<EvacuationInfo>,
    /// Requests in flight.
    pub in_flight: u64,
    /// The outgoing link, if the settings name its rate.
    #[serde(default)]
    pub link: Option<LinkInfo>,
    /// Nodes that it may exchange messages with.
    pub peers: u64,
    /// Milliseconds since the newest proof that a node was in contact with the platform.
    pub source_age_ms: Option<u64>,
    /// Milliseconds since the node's start.
    pub uptime_ms: u64,
    /// Statistics of its control traffic.
    pub control: ControlStats,
}
