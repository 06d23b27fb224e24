//! A node's state in short.

use sassafrasspool_core::DomainName;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ControlStats;
use super::Held;

/// A failure domain that operators have evacuated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvacuationInfo {
    /// The failure domain.
    pub domain: DomainName,
    /// The platform's revision at which it was ordered, where the platform tells.
    pub since_revision: Option<u64>,
}

/// How a node is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance beside which it runs.
    pub instance: InstanceId,
    /// The service of that instance.
    pub service: ServiceName,
    /// The region.
    pub region: RegionName,
    /// The failure domain.
    pub domain: DomainName,
    /// Which start of the node this is.
    pub incarnation: u64,
    /// The phase of its endpoint.
    pub phase: Phase,
    /// Whether it compared its first snapshot with others.
    pub joined: bool,
    /// Whether it reads the platform for its failure domain.
    pub reading: bool,
    /// What is in force.
    pub held: Held,
    /// The failure domains that it sends nothing to, since operators have evacuated them.
    #[serde(default)]
    pub evacuations: Vec<EvacuationInfo>,
    /// Requests that it works on.
    pub in_flight: u64,
    /// Nodes that it may talk to.
    pub peers: u64,
    /// Milliseconds since the newest proof that a node reached the platform.
    pub source_age_ms: Option<u64>,
    /// Milliseconds since the node's start.
    pub uptime_ms: u64,
    /// What its control traffic came to.
    pub control: ControlStats,
}
