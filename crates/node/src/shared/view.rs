//! What a request is routed by.

use std::collections::HashMap;
use std::sync::Arc;

use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;

/// A snapshot with what is known of its endpoints' phases.
#[derive(Debug, Clone)]
pub struct View {
    /// The catalogue and instance list that are in force.
    pub snapshot: Arc<Snapshot>,
    /// What the nodes beside the instances last said; one may be missing.
    pub states: Arc<HashMap<InstanceId, EndpointState>>,
}

impl View {
    /// The phase of an instance, if its node was heard of.
    pub fn phase(&self, instance: &InstanceId) -> Option<Phase> {
        self.states.get(instance).map(|state| state.phase)
    }
}
