//! Routes of a snapshot.

use crate::Route;
use crate::ServiceKey;

/// A route together with the service that it leads to.
#[derive(Debug, Clone)]
pub struct BoundRoute {
    /// The route as the catalogue describes it.
    pub route: Route,
    /// The service, which the same snapshot holds.
    pub service: ServiceKey,
    /// How much one answered request counts, by its kind.
    pub weight: u32,
}
