//! The snapshot itself.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use super::build::Builder;
use super::table::RouteTable;
use crate::BoundRoute;
use crate::BoundService;
use crate::CallerLimits;
use crate::Catalogue;
use crate::DomainName;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Evacuation;
use crate::Faults;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;
use crate::ServiceKey;
use crate::ServiceName;
use crate::Version;

/// A catalogue and an instance list, bound together.
///
/// # Invariants
///
/// Every service key of a route or an endpoint names a service of `services`,
/// and every endpoint key of a service an endpoint of `endpoints`. `in_order` names
/// each endpoint once.
#[derive(Debug, Clone)]
pub struct Snapshot {
    pub(super) catalogue: Version,
    pub(super) instances: Version,
    pub(super) services: SlotMap<ServiceKey, BoundService>,
    pub(super) by_name: Arc<HashMap<ServiceName, ServiceKey>>,
    pub(super) endpoints: SlotMap<EndpointKey, Endpoint>,
    /// All endpoints, in the order of their instance ids.
    pub(super) in_order: Vec<EndpointKey>,
    pub(super) routes: Arc<RouteTable>,
    pub(super) callers: CallerLimits,
    /// The failure domains whose targets get no new work.
    pub(super) evacuations: Arc<[Evacuation]>,
}

impl Snapshot {
    /// Binds a catalogue and an instance list.
    ///
    /// Instances of services that the catalogue doesn't have are left out: the
    /// list lags, and a service may go before its instances do.
    ///
    /// # Errors
    ///
    /// Returns every fault of the catalogue: a route to a service that isn't
    /// there, a kind that isn't declared, a path that is taken twice.
    pub fn build(catalogue: &Catalogue, instances: &InstanceList) -> Result<Snapshot, Faults> {
        Builder::new(catalogue).build(instances)
    }

    /// The same catalogue, bound to another instance list.
    ///
    /// Lists change far more often than catalogues, and whenever a fleet is
    /// renewed. Routes depend on the catalogue alone and are shared: to build all of
    /// them anew would hold up a node with a tenth of a core for milliseconds.
    pub fn with_instances(&self, instances: &InstanceList) -> Snapshot {
        // What the endpoints are made of isn't copied only to be dropped.
        let mut bound = Snapshot {
            catalogue: self.catalogue,
            instances: instances.version(),
            services: self.services.clone(),
            by_name: Arc::clone(&self.by_name),
            endpoints: SlotMap::with_key(),
            in_order: Vec::new(),
            routes: Arc::clone(&self.routes),
            callers: self.callers,
            evacuations: Arc::clone(&self.evacuations),
        };
        for service in bound.services.values_mut() {
            service.endpoints.clear();
        }
        bound.add_endpoints(instances);
        bound
    }

    pub(super) fn add_endpoints(&mut self, instances: &InstanceList) {
        for instance in instances.iter() {
            let Some(&service) = self.by_name.get(&instance.service) else {
                continue;
            };
            let key = self.endpoints.insert(Endpoint {
                service,
                instance: instance.clone(),
            });
            // INVARIANT: The service is one of those that its name leads to, and
            // the list is in the order of its ids.
            self.services[service].endpoints.push(key);
            self.in_order.push(key);
        }
    }

    /// The version of the catalogue that this was built from.
    pub fn catalogue(&self) -> Version {
        self.catalogue
    }

    /// The version of the instance list that this was built from.
    pub fn instances(&self) -> Version {
        self.instances
    }

    /// All services with their keys.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &BoundService)> {
        self.services.iter()
    }

    /// A service by its key in this snapshot.
    pub fn service(&self, key: ServiceKey) -> Option<&BoundService> {
        self.services.get(key)
    }

    /// A service by its name.
    pub fn find_service(&self, name: &ServiceName) -> Option<(ServiceKey, &BoundService)> {
        let key = *self.by_name.get(name)?;
        self.services.get(key).map(|service| (key, service))
    }

    /// An endpoint by its key in this snapshot.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// The endpoint of an instance.
    pub fn find_endpoint(&self, id: &InstanceId) -> Option<EndpointKey> {
        let id_of = |key: &EndpointKey| &self.endpoints[*key].instance.id;
        let place = self.in_order.binary_search_by(|key| id_of(key).cmp(id));
        place.ok().map(|place| self.in_order[place])
    }

    /// The endpoints of a service, in the order of their instance ids.
    pub fn endpoints_of(
        &self,
        service: &BoundService,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = service.endpoints.iter().copied();
        keys.filter_map(|key| self.endpoints.get(key).map(|endpoint| (key, endpoint)))
    }

    /// All routes: those of any host, then those of each host, in the order of
    /// their paths.
    pub fn routes(&self) -> impl Iterator<Item = &BoundRoute> {
        self.routes.iter()
    }

    /// The route of a request: among those of its host, or else of any host,
    /// the one with the longest path that takes `path`, which has no query.
    pub fn match_route(&self, host: Option<&str>, path: &str) -> Option<&BoundRoute> {
        self.routes.find(host, path)
    }

    /// Whether a route may not be served in every region.
    pub fn has_homes(&self) -> bool {
        self.routes.has_homes()
    }

    /// The failure domains whose targets get no new work.
    pub fn evacuations(&self) -> &[Evacuation] {
        &self.evacuations
    }

    /// Whether the targets of a failure domain get no new work.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuations.iter().any(|it| it.domain == *domain)
    }

    /// Whether the target of an instance gets new work: it isn't about to leave, and its
    /// failure domain isn't evacuated.
    pub fn takes_work(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Live && !self.is_evacuated(&instance.domain)
    }

    /// The number of endpoints of all services.
    pub fn endpoint_count(&self) -> usize {
        self.in_order.len()
    }

    /// What callers may send.
    pub fn callers(&self) -> &CallerLimits {
        &self.callers
    }
}
