//! Routes of a snapshot.

use crate::Route;
use crate::ServiceKey;

/// A route with the keys of its services.
#[derive(Debug, Clone)]
pub struct BoundRoute {
    /// The route as the catalogue describes it.
    pub route: Route,
    /// The service, which is in the same snapshot; the first one of a split.
    pub service: ServiceKey,
    /// How requests are divided among services; empty if all go to `service`.
    pub split: Vec<BoundShare>,
    /// The weight of one answered request, from its kind.
    pub weight: u32,
}

/// One service's share of a route's requests.
#[derive(Debug, Clone, Copy)]
pub struct BoundShare {
    /// The service, which is in the same snapshot.
    pub service: ServiceKey,
    /// Its share in proportion to the weights of the others.
    pub weight: u32,
}

impl BoundRoute {
    /// Chooses the service of one request from a random number `draw`.
    ///
    /// Each request is drawn independently, so that the shares hold at every node
    /// without data about the requests of other nodes.
    pub fn choose_service(&self, draw: u64) -> ServiceKey {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.service;
        }
        let mut left = draw % total;
        for share in &self.split {
            match left.checked_sub(u64::from(share.weight)) {
                Some(rest) => left = rest,
                None => return share.service,
            }
        }
        self.service
    }
}
