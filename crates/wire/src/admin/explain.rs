//! Why a request goes where it goes.

use serde::Deserialize;
use serde::Serialize;

use super::Held;
use super::RouteInfo;
use super::ServiceInfo;

/// Which route takes a path, and which endpoints its service has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The versions that the answer is from.
    pub held: Held,
    /// The route that takes the path, if a path was asked for and has one.
    pub route: Option<RouteInfo>,
    /// The service that the route leads to, or that was asked for.
    pub service: Option<ServiceInfo>,
    /// The answer in a sentence.
    pub reason: String,
}
