//! The snapshot, with its lookups of services, endpoints and routes.

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

/// A catalogue bound to an instance list.
///
/// # Invariants
///
/// Every service key of a route or an endpoint is a key of `services`, and every
/// endpoint key of a service is a key of `endpoints`. `endpoints_by_id` contains the
/// key of each endpoint once.
#[derive(Debug, Clone)]
pub struct Snapshot {
    pub(super) catalogue: Version,
    pub(super) instances: Version,
    pub(super) services: SlotMap<ServiceKey, BoundService>,
    pub(super) by_name: Arc<HashMap<ServiceName, ServiceKey>>,
    pub(super) endpoints: SlotMap<EndpointKey, Endpoint>,
    /// The keys of all endpoints, in the order of their instance ids.
    pub(super) endpoints_by_id: Vec<EndpointKey>,
    pub(super) routes: Arc<RouteTable>,
    pub(super) caller_limits: CallerLimits,
    /// The failure domains whose targets receive no new requests.
    pub(super) evacuations: Arc<[Evacuation]>,
}

impl Snapshot {
    /// Binds a catalogue and an instance list.
    ///
    /// Instances of services that the catalogue doesn't contain are left out: the list
    /// lags, and a service may be removed before its instances.
    ///
    /// # Errors
    ///
    /// Returns every fault of the catalogue: a route to a missing service, an
    /// undeclared kind, or a path of two routes.
    pub fn build(catalogue: &Catalogue, instances: &InstanceList) -> Result<Snapshot, Faults> {
        Builder::new(catalogue).build(instances)
    }

    /// The same catalogue, bound to another instance list.
    ///
    /// Lists change far more often than catalogues, and whenever the instances of a
    /// fleet are replaced. Routes depend only on the catalogue and are shared: building
    /// all of them again would block a node with a tenth of a core for milliseconds.
    pub fn with_instances(&self, instances: &InstanceList) -> Snapshot {
        // The fields are set one by one, so that no endpoints are copied and then dropped.
        let mut bound = Snapshot {
            catalogue: self.catalogue,
            instances: instances.version(),
            services: self.services.clone(),
            by_name: Arc::clone(&self.by_name),
            endpoints: SlotMap::with_key(),
            endpoints_by_id: Vec::new(),
            routes: Arc::clone(&self.routes),
            caller_limits: self.caller_limits,
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
            // INVARIANT: The key comes from `by_name`, which has only keys of `services`,
            // and the list is in the order of its ids.
            self.services[service].endpoints.push(key);
            self.endpoints_by_id.push(key);
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
        let position = self
            .endpoints_by_id
            .binary_search_by(|key| id_of(key).cmp(id));
        position.ok().map(|position| self.endpoints_by_id[position])
    }

    /// The endpoints of a service, in the order of their instance ids.
    pub fn endpoints_of(
        &self,
        service: &BoundService,
    ) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = service.endpoints.iter().copied();
        keys.filter_map(|key| self.endpoints.get(key).map(|endpoint| (key, endpoint)))
    }

    /// All routes: first those of any host, then those of each host, in the order of
    /// their paths.
    pub fn routes(&self) -> impl Iterator<Item = &BoundRoute> {
        self.routes.iter()
    }

    /// The route of a request: the route of its host with the longest path that matches
    /// `path`, or otherwise such a route of any host. `path` has no query.
    pub fn match_route(&self, host: Option<&str>, path: &str) -> Option<&BoundRoute> {
        self.routes.find(host, path)
    }

    /// Whether a route is restricted to some regions.
    pub fn has_homes(&self) -> bool {
        self.routes.has_homes()
    }

    /// The failure domains whose targets receive no new requests.
    pub fn evacuations(&self) -> &[Evacuation] {
        &self.evacuations
    }

    /// Whether a failure domain is evacuated, so that its targets receive no new requests.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.evacuations.iter().any(|it| it.domain == *domain)
    }

    /// Whether the target of an instance receives new requests: it isn't leaving, and
    /// its failure domain isn't evacuated.
    pub fn accepts_new_work(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Live && !self.is_evacuated(&instance.domain)
    }

    /// The number of endpoints of all services.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints_by_id.len()
    }

    /// The limits on requests and connections of callers.
    pub fn caller_limits(&self) -> &CallerLimits {
        &self.caller_limits
    }
}
