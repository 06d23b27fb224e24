//! Routes of the catalogue.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::Homes;
use crate::HostName;
use crate::KindName;
use crate::RoutePath;
use crate::ServiceName;

/// Which requests go to which service, and how they are handled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host that requests must name; any host if absent.
    pub host: Option<HostName>,
    /// The paths that it matches.
    pub path: RoutePath,
    /// The service that serves its requests; the first one of a split.
    pub service: ServiceName,
    /// How requests are divided among several services; empty if all go to
    /// `service`.
    pub split: Vec<Share>,
    /// The kind of its requests.
    pub kind: KindName,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// The longest time that a caller waits for its answer, if that differs from
    /// the service's deadline.
    pub timeout: Option<Duration>,
    /// The soft deadline: the time within which an answer is worth most to its caller.
    pub latency_target: Option<Duration>,
    /// The regions in which its requests may be served. Bodies of requests must not
    /// leave these regions, except for where their callers connect.
    pub homes: Homes,
    /// Maximum number of attempts, including the first, if that differs from the
    /// service's.
    pub attempts: Option<u32>,
    /// Whether its answers are large, so that they share the outgoing links of the
    /// targets' instances.
    pub large_answers: bool,
}

/// One service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its share in proportion to the weights of the others, 1 to 10,000.
    pub weight: u32,
}

impl Route {
    /// Every service to which it may send requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let split = self.split.iter().map(|share| &share.service);
        let only = self.split.is_empty().then_some(&self.service);
        split.chain(only)
    }
}
