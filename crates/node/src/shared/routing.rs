//! What chooses endpoints, bound to the view in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;

use arc_swap::ArcSwapOption;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Intake;
use sassafrasspool_core::Meters;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Picker;
use sassafrasspool_core::Position;
use sassafrasspool_core::RepeatWindow;
use sassafrasspool_core::Revision;
use sassafrasspool_core::RouteSettings;
use sassafrasspool_core::Tick;

use super::View;

type States = HashMap<InstanceId, EndpointState>;

/// A view and what chooses among its endpoints; a request pins both together.
#[derive(Debug)]
pub struct Routes {
    /// The view.
    pub view: Arc<View>,
    /// Chooses endpoints by the keys of the view's snapshot.
    pub picker: Picker,
}

/// Where a node stands, and the requests with a key that it has run there.
#[derive(Debug)]
struct Place {
    position: Position,
    repeat: RepeatWindow,
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
    pub(super) fn place(&self, position: Position, repeat: RepeatWindow) {
        // A node is placed once, by its settings.
        let _ = self.place.set(Place { position, repeat });
    }

    /// Passes on a proof that the instance list of `revision` was the newest.
    pub(super) fn prove(&self, at: Tick, revision: Revision) {
        if let Some(place) = self.place.get() {
            place.repeat.prove(at, revision);
        }
    }

    /// Binds a view and puts it in force; nothing to bind before the node was
    /// placed.
    pub(super) fn bind(&self, view: &Arc<View>, now: Tick) {
        let Some(Place { position, repeat }) = self.place.get() else {
            return;
        };
        // INVARIANT: Before requests are routed by it, so that the owner of a
        // key doesn't learn of it later than those who send it.
        repeat.snapshot_changed(now, &view.snapshot);
        self.meters.retain(&view.snapshot);
        self.mark(&view.states, now);
        let cfg = RouteSettings::default();
        let picker = Picker::build(&view.snapshot, position, cfg, &self.meters, now);
        let view = Arc::clone(view);
        self.routes.store(Some(Arc::new(Routes { view, picker })));
    }

    /// The routes in force.
    pub(super) fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.load_full()
    }

    /// Tells the meters of the states that have changed.
    fn mark(&self, states: &Arc<States>, now: Tick) {
        let mut marked = self.marked.lock().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&marked, states) {
            return;
        }
        for (id, state) in &**states {
            let before = marked.get(id).map(|state| state.phase);
            if before != Some(state.phase) {
                self.meters.mark(id, intake(state.phase), now);
            }
        }
        *marked = Arc::clone(states);
    }
}

fn intake(phase: Phase) -> Intake {
    match phase {
        Phase::Ready => Intake::Open,
        Phase::Starting | Phase::Draining | Phase::Gone => Intake::Closed,
    }
}
