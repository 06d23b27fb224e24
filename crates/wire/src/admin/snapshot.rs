//! What is in force on a node.

use std::net::SocketAddr;

use sassafrasspool_core::Class;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::HostName;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::KindName;
use sassafrasspool_core::OwnerName;
use sassafrasspool_core::Phase;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::RoutePath;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Share;
use serde::Deserialize;
use serde::Serialize;

use super::Held;

/// All services and routes of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotInfo {
    /// The versions that it was built from.
    pub held: Held,
    /// Its services.
    pub services: Vec<ServiceInfo>,
    /// Its routes, in the order of their paths.
    pub routes: Vec<RouteInfo>,
}

/// A service with its endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Its name.
    pub name: ServiceName,
    /// Who answers for it.
    pub owner: OwnerName,
    /// The class of its requests where a route names none.
    pub class: Class,
    /// Its endpoints, by instance.
    pub endpoints: Vec<EndpointInfo>,
}

/// A route with the service that it leads to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteInfo {
    /// The host that its requests name; any host if absent.
    pub host: Option<HostName>,
    /// The paths that it takes.
    pub path: RoutePath,
    /// Where it leads; the first service of a split.
    pub service: ServiceName,
    /// How its requests are divided; empty if all go to `service`.
    pub split: Vec<Share>,
    /// The kind of its requests.
    pub kind: KindName,
    /// How much one of them counts.
    pub weight: u32,
    /// Their class.
    pub class: Class,
    /// Whether one may run twice without harm.
    pub idempotent: bool,
    /// The regions in which they may be served; all if there are none.
    pub homes: Vec<RegionName>,
    /// The longest that a caller is kept waiting, in milliseconds, if the route
    /// says so itself.
    pub timeout_ms: Option<u64>,
}

/// An endpoint as this node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// The instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether operators have evacuated that failure domain.
    #[serde(default)]
    pub evacuated: bool,
    /// Where its node takes requests.
    pub traffic: SocketAddr,
    /// Requests that its target runs at once.
    pub slots: u32,
    /// What the platform's list says of it.
    pub listed: InstanceState,
    /// What its own node last said, if that was heard.
    pub phase: Option<Phase>,
}
