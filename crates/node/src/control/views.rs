//! Putting together what requests are routed by.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;

use crate::Shared;
use crate::View;

/// Records of ended endpoints that are kept beyond those that are listed.
const SPARE_STATES: usize = 1_024;

/// The snapshot in force and the endpoints' states, which change separately.
#[derive(Debug, Default)]
pub(super) struct Views {
    snapshot: Option<Arc<Snapshot>>,
    states: Arc<HashMap<InstanceId, EndpointState>>,
    changed: bool,
}

impl Views {
    /// Takes a snapshot, to be in force from the next [`Views::publish`] on.
    pub(super) fn apply(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
        self.changed = true;
        self.drop_ended();
    }

    /// Takes what a node said of its endpoint.
    pub(super) fn put(&mut self, state: EndpointState) {
        let states = Arc::make_mut(&mut self.states);
        let newer = match states.get(&state.instance) {
            Some(held) => state.is_newer_than(held),
            None => true,
        };
        if newer {
            states.insert(state.instance.clone(), state);
            self.changed = true;
        }
    }

    /// Puts what has changed in force, all of it at once.
    pub(super) fn publish(&mut self, shared: &Shared) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        if std::mem::take(&mut self.changed) {
            shared.set_view(View {
                snapshot: Arc::clone(snapshot),
                states: Arc::clone(&self.states),
            });
        }
    }

    /// Forgets ended endpoints that nobody lists any more once there are many.
    fn drop_ended(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let endpoints = snapshot
            .services()
            .flat_map(|(_, service)| snapshot.endpoints_of(service));
        let listed: HashSet<&InstanceId> = endpoints.map(|(_, e)| &e.instance.id).collect();
        if self.states.len() <= listed.len() + SPARE_STATES {
            return;
        }
        let states = Arc::make_mut(&mut self.states);
        states.retain(|id, state| state.phase != Phase::Gone || listed.contains(id));
    }
}
