//! Endpoints that were removed from the list after a request was routed.

use std::sync::Arc;

use sassafrasspool_core::BoundService;
use sassafrasspool_core::Endpoint;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Snapshot;

/// The endpoints of a service in the snapshot `routed_by` that accept no new work
/// according to the `newest` snapshot.
///
/// A request keeps the snapshot of its arrival, and may be retried seconds later. A target
/// that began to drain in between would receive the retry after its drain bound, and would
/// be stopped with the request on it.
pub(in crate::traffic) fn departed_endpoints(
    routed_by: &Arc<Snapshot>,
    service: &BoundService,
    newest: &Arc<Snapshot>,
) -> Vec<EndpointKey> {
    if Arc::ptr_eq(routed_by, newest) {
        return Vec::new();
    }
    let endpoints = routed_by.endpoints_of(service);
    let departed = endpoints.filter(|(_, endpoint)| !accepts_work(endpoint, newest));
    departed.map(|(key, _)| key).collect()
}

/// Whether the same generation of the target, not a successor, accepts new work.
fn accepts_work(endpoint: &Endpoint, newest: &Snapshot) -> bool {
    let instance = &endpoint.instance;
    let found = newest.find_endpoint(&instance.id);
    let Some(current) = found.and_then(|key| newest.endpoint(key)) else {
        return false;
    };
    newest.accepts_new_work(&current.instance) && is_same_generation(&current.instance, instance)
}

/// Whether both name the same generation of a target; without generations they always do.
fn is_same_generation(current: &Instance, earlier: &Instance) -> bool {
    match (&current.target, &earlier.target) {
        (Some(current), Some(earlier)) => current.is_same(earlier),
        (None, None) => true,
        _ => false,
    }
}
