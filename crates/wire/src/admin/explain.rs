//! Explanation of how a request is routed.

use serde::Deserialize;
use serde::Serialize;

use super::RouteInfo;
use super::ServiceInfo;
use super::StreamVersions;

/// The route that matches a path, and the endpoints of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The versions in force that the answer is based on.
    pub held: StreamVersions,
    /// The route that matches the path, if the query has a path and a route matches.
    pub route: Option<RouteInfo>,
    /// The service of the route, or the service named in the query.
    pub service: Option<ServiceInfo>,
    /// The explanation as one sentence.
    pub reason: String,
}
