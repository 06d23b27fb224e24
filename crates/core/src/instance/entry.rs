//! One instance as the platform lists it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::DomainName;
use crate::InstanceId;
use crate::InstanceState;
use crate::Item;
use crate::RegionName;
use crate::ServiceName;
use crate::TargetLife;

/// A target instance and the node beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name.
    pub id: InstanceId,
    /// The service that its target serves.
    pub service: ServiceName,
    /// The region that it stands in.
    pub region: RegionName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where its node takes requests from other nodes.
    pub traffic: SocketAddr,
    /// Where its node takes control messages; port 0 if no node runs beside
    /// it yet, as in a fleet that is being moved over.
    pub control: SocketAddr,
    /// Requests that its target runs at once.
    pub slots: u32,
    /// Connections that its target holds at most.
    pub connections: u32,
    /// Whether the platform believes that it is live or leaving.
    pub state: InstanceState,
    /// The life of its target, where the platform tells lives apart.
    #[serde(default)]
    pub target: Option<TargetLife>,
    /// How much longer the target was to stay cold as the platform first heard of it;
    /// zero once it is warm.
    #[serde(default)]
    pub cold_for: Duration,
}

impl Instance {
    /// Whether a node runs beside it, which can be a peer and a reader.
    pub fn has_node(&self) -> bool {
        self.control.port() != 0
    }
}

impl Item for Instance {
    type Key = InstanceId;

    fn key(&self) -> InstanceId {
        self.id.clone()
    }
}
