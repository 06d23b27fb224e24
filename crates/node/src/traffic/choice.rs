//! Choosing the endpoint of an attempt.

use rand::RngExt;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Phase;

use super::worker::Worker;
use crate::View;

/// An endpoint of `service` that isn't among `tried`.
pub(super) fn pick<'a>(
    worker: &Worker,
    view: &'a View,
    service: &BoundService,
    tried: &[InstanceId],
) -> Option<&'a Instance> {
    let takes = |instance: &&Instance| is_taking(view, instance) && !tried.contains(&instance.id);
    let all = || {
        let endpoints = view.snapshot.endpoints_of(service);
        endpoints
            .map(|(_, endpoint)| &endpoint.instance)
            .filter(takes)
    };
    let near = || all().filter(|instance| instance.domain == worker.hub.domain);
    match near().count() {
        0 => random_of(all(), all().count()),
        len => random_of(near(), len),
    }
}

fn random_of<'a>(mut of: impl Iterator<Item = &'a Instance>, len: usize) -> Option<&'a Instance> {
    match len {
        0 => None,
        len => of.nth(rand::rng().random_range(0..len)),
    }
}

fn is_taking(view: &View, instance: &Instance) -> bool {
    let phase = view.phase(&instance.id).unwrap_or(Phase::Ready);
    instance.state == InstanceState::Live && phase == Phase::Ready
}
