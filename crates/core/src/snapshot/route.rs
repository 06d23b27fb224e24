//! Routes of a snapshot.

use crate::Route;
use crate::ServiceKey;

/// A route together with the services that it leads to.
#[derive(Debug, Clone)]
pub struct BoundRoute {
    /// The route as the catalogue describes it.
    pub route: Route,
    /// The service, which the same snapshot holds; the first of a split.
    pub service: ServiceKey,
    /// How requests are divided; empty if all go to `service`.
    pub split: Vec<BoundShare>,
    /// How much one answered request counts, by its kind.
    pub weight: u32,
}

/// One service's part of a route's requests.
#[derive(Debug, Clone, Copy)]
pub struct BoundShare {
    /// The service, which the same snapshot holds.
    pub service: ServiceKey,
    /// Its part, in proportion to the weights of the others.
    pub weight: u32,
}

impl BoundRoute {
    /// The service of one request, by a number that was drawn at random for it.
    ///
    /// Each request is drawn by itself, so that the shares hold at every node
    /// without its knowing of the others' requests.
    pub fn choose(&self, draw: u64) -> ServiceKey {
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
