//! Endpoints that have left the list since a request was routed.

use std::sync::Arc;

use sassafrasspool_core::BoundService;
use sassafrasspool_core::Endpoint;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Snapshot;

/// The endpoints of a service of the snapshot `held` that get no new work by
/// the `newest` one.
///
/// A request is routed by one snapshot from its arrival on, and may be sent
/// again seconds later. A target that began to leave meanwhile would get the
/// later try past its bound, and be cut with the request on it.
pub(in crate::traffic) fn departed(
    held: &Arc<Snapshot>,
    service: &BoundService,
    newest: &Arc<Snapshot>,
) -> Vec<EndpointKey> {
    if Arc::ptr_eq(held, newest) {
        return Vec::new();
    }
    let endpoints = held.endpoints_of(service);
    let gone = endpoints.filter(|(_, endpoint)| !takes_work(endpoint, newest));
    gone.map(|(key, _)| key).collect()
}

/// Whether the same target, not another one in its place, takes new work.
fn takes_work(endpoint: &Endpoint, newest: &Snapshot) -> bool {
    let instance = &endpoint.instance;
    let found = newest.find_endpoint(&instance.id);
    let Some(now) = found.and_then(|key| newest.endpoint(key)) else {
        return false;
    };
    newest.accepts_new_work(&now.instance) && is_same_target(&now.instance, instance)
}

/// Whether both name one start of one target, where starts are told apart.
fn is_same_target(now: &Instance, before: &Instance) -> bool {
    match (&now.target, &before.target) {
        (Some(now), Some(before)) => now.is_same(before),
        (None, None) => true,
        _ => false,
    }
}
