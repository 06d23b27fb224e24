//! Routes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::Homes;
use crate::HostName;
use crate::KindName;
use crate::RoutePath;
use crate::ServiceName;

/// Which requests go to which service, and how they may be treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The host that its requests name; any host if absent.
    pub host: Option<HostName>,
    /// The paths that it takes.
    pub path: RoutePath,
    /// The service that it leads to; the first of a split.
    pub service: ServiceName,
    /// How requests are divided over several services; empty if all go to
    /// `service`.
    pub split: Vec<Share>,
    /// The kind of its requests.
    pub kind: KindName,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// The longest that a caller is kept waiting, if that differs from the
    /// service's deadline.
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most to its caller.
    pub latency_target: Option<Duration>,
    /// The regions in which its requests may be served, and which their bodies must not
    /// leave but for where their callers connect.
    pub homes: Homes,
    /// Tries in all, the first one counted, if that differs from the service's.
    pub attempts: Option<u32>,
}

/// One service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its part, in proportion to the weights of the others: 1 to 10,000.
    pub weight: u32,
}

impl Route {
    /// Every service that it may lead to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let split = self.split.iter().map(|share| &share.service);
        let only = self.split.is_empty().then_some(&self.service);
        split.chain(only)
    }
}
