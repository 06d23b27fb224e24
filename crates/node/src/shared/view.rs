//! The view that a request is routed by.

use std::collections::HashMap;
use std::sync::Arc;

use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;

/// A snapshot with the known states of its endpoints.
#[derive(Debug, Clone)]
pub struct View {
    /// The catalogue and instance list that are in force.
    pub snapshot: Arc<Snapshot>,
    /// The newest state received of each endpoint; it may be missing.
    pub states: Arc<HashMap<InstanceId, EndpointState>>,
}

impl View {
    /// The phase of an instance's endpoint, if its state was received.
    pub fn phase(&self, instance: &InstanceId) -> Option<Phase> {
        self.states.get(instance).map(|state| state.phase)
    }
}
