//! An entry of the platform's instance list.

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
use crate::TargetGeneration;

/// A target instance and its node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name.
    pub id: InstanceId,
    /// The service that its target serves.
    pub service: ServiceName,
    /// The region of the instance.
    pub region: RegionName,
    /// The failure domain of the instance.
    pub domain: DomainName,
    /// Address at which the node accepts requests from other nodes.
    pub traffic: SocketAddr,
    /// Address at which the node accepts control messages; port 0 if the instance
    /// has no node yet, as in a fleet that is being migrated.
    pub control: SocketAddr,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
    /// Whether the platform lists the instance as live or leaving.
    pub state: InstanceState,
    /// The generation of the target, if the platform distinguishes generations.
    #[serde(default)]
    pub target: Option<TargetGeneration>,
    /// Remaining cold time of the target when the platform first received its entry;
    /// zero once the target is warm.
    #[serde(default)]
    pub cold_for: Duration,
}

impl Instance {
    /// Whether the instance has a node, which can be a peer and a reader.
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
