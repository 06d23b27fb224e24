//! What chooses endpoints, bound to the view in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::Endpoint;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Intake;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Meters;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Picker;
use sassafrasspool_core::Revision;
use sassafrasspool_core::RouteSettings;
use sassafrasspool_core::Tick;

use super::View;

#[cfg(test)]
mod tests;

/// How long the own endpoint goes on taking work after the list stopped naming
/// it as live.
///
/// Nodes hold a list within 0.1 s of each other and may have sent something
/// just before: refusing that would only cost its caller a second try. What
/// comes later than this was routed by a node that is slow, frozen or behind,
/// and half of the 2.0 s are left that a target gets work for.
const DEPARTURE_GRACE: Duration = Duration::from_secs(1);

type States = HashMap<InstanceId, EndpointState>;

/// A view and what chooses among its endpoints; a request pins both together.
#[derive(Debug)]
pub struct Routes {
    /// The view.
    pub view: Arc<View>,
    /// Chooses endpoints by the keys of the view's snapshot.
    pub picker: Arc<Picker>,
    /// The endpoint beside this node, if the instance list has it.
    pub own: Option<EndpointKey>,
    /// Since when the list names the own endpoint as leaving, or no longer.
    departing: Option<Tick>,
    /// Whether the failure domain of this node is evacuated.
    pub evacuated: bool,
}

impl Routes {
    /// Whether the own endpoint is to get no work any more, since the list took
    /// it away long enough ago for all nodes to know.
    pub fn has_departed(&self, now: Tick) -> bool {
        let since = self.departing;
        since.is_some_and(|since| now.since(since) >= DEPARTURE_GRACE)
    }

    /// The endpoint beside this node with its service, if the list has it.
    pub fn own(&self) -> Option<(&Endpoint, &BoundService)> {
        let endpoint = self.view.snapshot.endpoint(self.own?)?;
        let service = self.view.snapshot.service(endpoint.service)?;
        Some((endpoint, service))
    }
}

/// Where a node stands, and the requests with a key that it has run there.
#[derive(Debug)]
struct Place {
    position: Locality,
    repeat: DedupWindow,
}

/// Binds views, on the control thread, for the traffic threads to read.
#[derive(Debug, Default)]
pub(super) struct Routing {
    place: OnceLock<Place>,
    meters: Arc<Meters>,
    /// The states that the meters know of.
    marked: Mutex<Arc<States>>,
    routes: ArcSwapOption<Routes>,
}

impl Routing {
    /// Says where the node stands; what is said first counts.
    pub(super) fn place(&self, position: Locality, repeat: DedupWindow) {
        // A node is placed once, by its settings.
        let _ = self.place.set(Place { position, repeat });
    }

    /// Passes on a proof that the instance list of `revision` was the newest.
    pub(super) fn prove(&self, at: Tick, revision: Revision) {
        if let Some(place) = self.place.get() {
            place.repeat.record_proof(at, revision);
        }
    }

    /// Binds a view and puts it in force; nothing to bind before the node was
    /// placed.
    ///
    /// A fleet that restarts changes states all the time. Only another
    /// snapshot is bound anew, which takes time in proportion to all endpoints.
    pub(super) fn bind(&self, view: &Arc<View>, now: Tick) {
        let Some(Place { position, repeat }) = self.place.get() else {
            return;
        };
        let held = self.routes.load_full();
        let same = held.as_ref();
        let same = same.filter(|held| Arc::ptr_eq(&held.view.snapshot, &view.snapshot));
        let (picker, own) = match same {
            Some(held) => {
                self.mark_changed(&view.states, now);
                (Arc::clone(&held.picker), held.own)
            }
            None => {
                // INVARIANT: Before requests are routed by it, so that the
                // owner of a key doesn't learn of it later than those who
                // send it.
                repeat.apply_snapshot(now, &view.snapshot);
                self.meters.retain(&view.snapshot);
                self.mark_all(&view.states, now);
                let cfg = RouteSettings::default();
                let picker = Picker::build(&view.snapshot, position, cfg, &self.meters, now);
                let own = view.snapshot.find_endpoint(&position.instance);
                (Arc::new(picker), own)
            }
        };
        let departing = departing(view, own, held.as_deref(), now);
        let evacuated = view.snapshot.is_evacuated(&position.domain);
        let view = Arc::clone(view);
        self.routes.store(Some(Arc::new(Routes {
            view,
            picker,
            own,
            departing,
            evacuated,
        })));
    }

    /// The routes in force.
    pub(super) fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.load_full()
    }

    /// Tells the meters of the states that have changed: a picker reads the
    /// meters, so that it need not be built again for them.
    fn mark_changed(&self, states: &Arc<States>, now: Tick) {
        let mut marked = self.marked();
        let changed = states.iter().filter(|(id, state)| {
            let before = marked.get(*id).map(|state| state.phase);
            before != Some(state.phase)
        });
        for (id, state) in changed {
            self.meters.set_intake(id, intake(state.phase), now);
        }
        *marked = Arc::clone(states);
    }

    /// Tells the meters of all states, when the list has changed: a node may
    /// have spoken for its endpoint before the list named it, and no meter was
    /// kept for it then.
    fn mark_all(&self, states: &Arc<States>, now: Tick) {
        for (id, state) in states.iter() {
            self.meters.set_intake(id, intake(state.phase), now);
        }
        *self.marked() = Arc::clone(states);
    }

    fn marked(&self) -> MutexGuard<'_, Arc<States>> {
        self.marked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Since when the own endpoint departs, if it does. One that was never listed
/// doesn't: its node may know its target before the list names it.
fn departing(
    view: &View,
    own: Option<EndpointKey>,
    held: Option<&Routes>,
    now: Tick,
) -> Option<Tick> {
    let listed = own.and_then(|own| view.snapshot.endpoint(own));
    let state = listed.map(|endpoint| endpoint.instance.state);
    if state == Some(InstanceState::Live) {
        return None;
    }
    let departs = state.is_some() || held.is_some_and(|held| held.own.is_some());
    let since = held.and_then(|held| held.departing);
    since.or(departs.then_some(now))
}

fn intake(phase: Phase) -> Intake {
    match phase {
        Phase::Ready => Intake::Open,
        Phase::Starting | Phase::Draining | Phase::Gone => Intake::Closed,
    }
}
