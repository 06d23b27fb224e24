//! Construction of a snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use super::check::check;
use super::table::RouteTable;
use crate::BoundRoute;
use crate::BoundService;
use crate::BoundShare;
use crate::CallerLimits;
use crate::Catalogue;
use crate::CatalogueItem;
use crate::Evacuation;
use crate::Faults;
use crate::InstanceList;
use crate::ItemKey;
use crate::Route;
use crate::ServiceKey;
use crate::ServiceName;
use crate::Snapshot;

/// The parts of a snapshot under construction.
#[derive(Debug)]
pub(super) struct Builder<'a> {
    catalogue: &'a Catalogue,
    services: SlotMap<ServiceKey, BoundService>,
    by_name: HashMap<ServiceName, ServiceKey>,
    routes: RouteTable,
    caller_limits: CallerLimits,
    evacuations: Vec<Evacuation>,
}

impl<'a> Builder<'a> {
    pub(super) fn new(catalogue: &'a Catalogue) -> Builder<'a> {
        Builder {
            catalogue,
            services: SlotMap::with_key(),
            by_name: HashMap::new(),
            routes: RouteTable::default(),
            caller_limits: CallerLimits::default(),
            evacuations: Vec::new(),
        }
    }

    pub(super) fn build(mut self, instances: &InstanceList) -> Result<Snapshot, Faults> {
        let weights = check(self.catalogue)?;
        if let Some(CatalogueItem::Callers(limits)) = self.catalogue.get(&ItemKey::Callers) {
            self.caller_limits = *limits;
        }
        self.add_evacuations();
        self.add_services();
        self.add_routes(&weights);
        // INVARIANT: Every key was created by the maps that are moved into the snapshot.
        let mut snapshot = Snapshot {
            catalogue: self.catalogue.version(),
            instances: instances.version(),
            services: self.services,
            by_name: Arc::new(self.by_name),
            endpoints: SlotMap::with_key(),
            endpoints_by_id: Vec::new(),
            routes: Arc::new(self.routes),
            caller_limits: self.caller_limits,
            evacuations: Arc::from(self.evacuations),
        };
        snapshot.add_endpoints(instances);
        Ok(snapshot)
    }

    fn add_evacuations(&mut self) {
        let found = self.catalogue.iter().filter_map(|item| match item {
            CatalogueItem::Evacuation(evacuation) => Some(evacuation.clone()),
            _ => None,
        });
        self.evacuations.extend(found);
    }

    fn add_services(&mut self) {
        for item in self.catalogue.iter() {
            let CatalogueItem::Service(entry) = item else {
                continue;
            };
            let key = self.services.insert(BoundService {
                entry: Arc::new(entry.clone()),
                endpoints: Vec::new(),
            });
            self.by_name.insert(entry.name.clone(), key);
        }
    }

    fn add_routes(&mut self, weights: &super::check::Weights<'_>) {
        for item in self.catalogue.iter() {
            let CatalogueItem::Service(entry) = item else {
                continue;
            };
            for route in &entry.routes {
                // The check found every service, so no route is skipped.
                let first = route.services().next();
                let Some(&service) = first.and_then(|name| self.by_name.get(name)) else {
                    continue;
                };
                let bound = BoundRoute {
                    route: route.clone(),
                    service,
                    split: self.bind_split(route),
                    weight: weights.of(&route.kind),
                };
                self.routes.insert(bound);
            }
        }
    }

    fn bind_split(&self, route: &Route) -> Vec<BoundShare> {
        let bound = route.split.iter().filter_map(|share| {
            let service = *self.by_name.get(&share.service)?;
            let weight = share.weight;
            Some(BoundShare { service, weight })
        });
        bound.collect()
    }
}
