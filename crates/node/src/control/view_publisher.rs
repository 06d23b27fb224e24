//! Combines the snapshot with the endpoints' states into the view that requests
//! are routed by.

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

/// How many states may be held beyond the number of listed endpoints before
/// those of ended endpoints that aren't listed are removed.
const MAX_EXTRA_STATES: usize = 1_024;

/// The shortest time between two views that differ only in states. Each view
/// copies the states of all endpoints; without the interval, a restarting fleet
/// would cause one copy for every endpoint.
const STATE_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// The newest snapshot and the endpoints' states, which change separately, and
/// when their changes are published.
#[derive(Debug, Default)]
pub(super) struct ViewPublisher {
    snapshot: Option<Arc<Snapshot>>,
    states: Arc<HashMap<InstanceId, EndpointState>>,
    pending: PendingChange,
    /// When a view was published last.
    published: Tick,
}

/// Changes that aren't published yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum PendingChange {
    /// No change.
    #[default]
    None,
    /// States of endpoints, which are delayed to be batched.
    States,
    /// A snapshot, which is published at once.
    Snapshot,
}

impl ViewPublisher {
    /// Stores a snapshot; the next [`ViewPublisher::publish`] puts it in force.
    pub(super) fn set_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
        self.pending = PendingChange::Snapshot;
        self.remove_ended();
    }

    /// Stores the state that a node announced of its endpoint, if it is newer
    /// than the stored one.
    pub(super) fn update_state(&mut self, state: EndpointState) {
        let held = self.states.get(&state.instance);
        if held.is_some_and(|held| !state.is_newer_than(held)) {
            return;
        }
        let states = Arc::make_mut(&mut self.states);
        states.insert(state.instance.clone(), state);
        self.pending = self.pending.max(PendingChange::States);
    }

    /// Puts all changes in force at once if they are due: a snapshot is due at
    /// once, states at the earliest one interval after the last view.
    pub(super) fn publish(&mut self, now: Tick, shared: &Shared) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        if self.next_publish().is_none_or(|due| due > now) {
            return;
        }
        self.pending = PendingChange::None;
        self.published = now;
        shared.set_view(View {
            snapshot: Arc::clone(snapshot),
            states: Arc::clone(&self.states),
        });
    }

    /// When the next view is due, if there are changes.
    pub(super) fn next_publish(&self) -> Option<Tick> {
        self.snapshot.as_ref()?;
        match self.pending {
            PendingChange::None => None,
            PendingChange::States => Some(self.published + STATE_PUBLISH_INTERVAL),
            PendingChange::Snapshot => Some(Tick::ZERO),
        }
    }

    /// Removes the states of ended endpoints that are no longer listed, once
    /// there are many states.
    fn remove_ended(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let endpoints = snapshot
            .services()
            .flat_map(|(_, service)| snapshot.endpoints_of(service));
        let listed: HashSet<&InstanceId> = endpoints.map(|(_, e)| &e.instance.id).collect();
        if self.states.len() <= listed.len() + MAX_EXTRA_STATES {
            return;
        }
        let states = Arc::make_mut(&mut self.states);
        states.retain(|id, state| state.phase != Phase::Gone || listed.contains(id));
    }
}
