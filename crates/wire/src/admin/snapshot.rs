//! The snapshot in force on a node.

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

use super::StreamVersions;

/// All services and routes of a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotInfo {
    /// The versions that the snapshot was built from.
    pub held: StreamVersions,
    /// All services.
    pub services: Vec<ServiceInfo>,
    /// All routes, ordered by path.
    pub routes: Vec<RouteInfo>,
}

/// A service with its endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// The name of the service.
    pub name: ServiceName,
    /// The owner in charge of its entry.
    pub owner: OwnerName,
    /// The class of its requests, unless the route names another.
    pub class: Class,
    /// Its endpoints, ordered by instance.
    pub endpoints: Vec<EndpointInfo>,
}

/// A route and its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteInfo {
    /// The host that it matches; any host if absent.
    pub host: Option<HostName>,
    /// The paths that it matches.
    pub path: RoutePath,
    /// The service that it routes to; the first service of a split.
    pub service: ServiceName,
    /// The shares of a split; empty if all requests go to `service`.
    pub split: Vec<Share>,
    /// The kind of its requests.
    pub kind: KindName,
    /// The weight of one request of that kind.
    pub weight: u32,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// The regions in which its requests may be served; all regions if empty.
    pub homes: Vec<RegionName>,
    /// The longest wait of a caller in milliseconds, if the route sets one.
    pub timeout_ms: Option<u64>,
}

/// The state of an endpoint as received by this node.
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
    /// The address at which its node accepts requests.
    pub traffic: SocketAddr,
    /// Requests that its target runs concurrently.
    pub slots: u32,
    /// Its state in the platform's instance list.
    pub listed: InstanceState,
    /// The phase last announced by its node, if one was received.
    pub phase: Option<Phase>,
}
