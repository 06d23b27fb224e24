//! Putting together what requests are routed by.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;

use crate::Shared;
use crate::View;

/// Records of ended endpoints that are kept beyond those that are listed.
const SPARE_STATES: usize = 1_024;

/// Time between two changes of states alone. Each copies what is known of all
/// endpoints; a fleet that restarts would have that done for every one of them.
const STATES_PAUSE: Duration = Duration::from_millis(20);

/// The snapshot in force and the endpoints' states, which change separately.
#[derive(Debug, Default)]
pub(super) struct Views {
    snapshot: Option<Arc<Snapshot>>,
    states: Arc<HashMap<InstanceId, EndpointState>>,
    change: Change,
    /// When states were put in force last.
    published: Tick,
}

/// What isn't in force yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    /// Nothing.
    #[default]
    None,
    /// States of endpoints, which can wait for others for a moment.
    States,
    /// A snapshot.
    Snapshot,
}

impl Views {
    /// Takes a snapshot, to be in force from the next [`Views::publish`] on.
    pub(super) fn apply(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
        self.change = Change::Snapshot;
        self.drop_ended();
    }

    /// Takes what a node said of its endpoint.
    pub(super) fn put(&mut self, state: EndpointState) {
        let held = self.states.get(&state.instance);
        if held.is_some_and(|held| !state.is_newer_than(held)) {
            return;
        }
        let states = Arc::make_mut(&mut self.states);
        states.insert(state.instance.clone(), state);
        self.change = self.change.max(Change::States);
    }

    /// Puts what has changed in force, all of it at once: a snapshot right
    /// away, states a moment after the last ones at the earliest.
    pub(super) fn publish(&mut self, now: Tick, shared: &Shared) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        if self.due().is_none_or(|due| due > now) {
            return;
        }
        self.change = Change::None;
        self.published = now;
        shared.set_view(View {
            snapshot: Arc::clone(snapshot),
            states: Arc::clone(&self.states),
        });
    }

    /// When something is to be put in force, if it is.
    pub(super) fn due(&self) -> Option<Tick> {
        self.snapshot.as_ref()?;
        match self.change {
            Change::None => None,
            Change::States => Some(self.published + STATES_PAUSE),
            Change::Snapshot => Some(Tick::ZERO),
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
