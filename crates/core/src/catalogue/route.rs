//! Routes.

use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::KindName;
use crate::RoutePath;
use crate::ServiceName;

/// Which requests go to which service, and how they may be treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The paths that it takes.
    pub path: RoutePath,
    /// The service that it leads to.
    pub service: ServiceName,
    /// The kind of its requests.
    pub kind: KindName,
    /// The class of its requests.
    pub class: Class,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
}
