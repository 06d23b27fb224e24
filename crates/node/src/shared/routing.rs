//! The routes in force: the view, and the picker that chooses among its endpoints.

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
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Tick;

use super::View;

#[cfg(test)]
mod tests;

/// How long the local endpoint still accepts requests after the list stopped naming
/// it as live.
///
/// Nodes apply a list within 0.1 s of each other, and one may have sent a request
/// just before: refusing it would only cost its caller a retry. A request that
/// arrives later than this was routed by a node that is slow, frozen or has a stale
/// list. Half of the 2.0 s for which a departing target gets requests is then left.
pub(super) const DEPARTURE_GRACE: Duration = Duration::from_secs(1);

type States = HashMap<InstanceId, EndpointState>;

/// A view and the picker of its endpoints; a request uses one pair from start to end.
#[derive(Debug)]
pub struct Routes {
    /// The view.
    pub view: Arc<View>,
    /// Chooses endpoints by the keys of the view's snapshot.
    pub picker: Arc<Picker>,
    /// The key of this node's own endpoint, if the instance list has it.
    pub local_key: Option<EndpointKey>,
    /// Since when the list has named the local endpoint as leaving or not at all.
    departing_since: Option<Tick>,
    /// Whether the failure domain of this node is evacuated.
    pub evacuated: bool,
}

impl Routes {
    /// Whether the local endpoint is to get no more requests: the list named it as
    /// leaving, or no longer named it, long enough ago for all nodes to apply that.
    pub fn has_departed(&self, now: Tick) -> bool {
        let since = self.departing_since;
        since.is_some_and(|since| now.since(since) >= DEPARTURE_GRACE)
    }

    /// Whether the list names the local endpoint as live, without a generation of its target.
    pub(super) fn is_live_without_generation(&self) -> bool {
        let listed = self.local_endpoint();
        listed.is_some_and(|(endpoint, _)| {
            let instance = &endpoint.instance;
            instance.state == InstanceState::Live && instance.target.is_none()
        })
    }

    /// Whether the list has named the local endpoint as leaving or not at all.
    pub(super) fn is_departing(&self) -> bool {
        self.departing_since.is_some()
    }

    /// This node's own endpoint with its service, if the instance list has it.
    pub fn local_endpoint(&self) -> Option<(&Endpoint, &BoundService)> {
        let endpoint = self.view.snapshot.endpoint(self.local_key?)?;
        let service = self.view.snapshot.service(endpoint.service)?;
        Some((endpoint, service))
    }

    /// The service of the local target: the one that the instance list gives it, or `service` if
    /// the list doesn't have it.
    pub fn local_service(&self, service: Option<&ServiceName>) -> Option<&BoundService> {
        let listed = self.local_endpoint().map(|(_, found)| found);
        let by_name = || self.view.snapshot.find_service(service?);
        listed.or_else(|| by_name().map(|(_, found)| found))
    }
}

/// The node's locality and its deduplication window of keyed requests.
#[derive(Debug)]
struct Config {
    locality: Locality,
    dedup: DedupWindow,
}

/// Builds the routes on the control thread, and publishes them to the traffic threads.
#[derive(Debug, Default)]
pub(super) struct Routing {
    cfg: OnceLock<Config>,
    meters: Arc<Meters>,
    /// The states that were last applied to the meters.
    applied_states: Mutex<Arc<States>>,
    routes: ArcSwapOption<Routes>,
}

impl Routing {
    /// Sets the node's locality and its window; a second call changes nothing.
    pub(super) fn configure(&self, locality: Locality, dedup: DedupWindow) {
        // Set once for each node, from its settings.
        let _ = self.cfg.set(Config { locality, dedup });
    }

    /// Records a proof that the instance list of `revision` was the newest at `at`.
    pub(super) fn record_list_proof(&self, at: Tick, revision: Revision) {
        if let Some(cfg) = self.cfg.get() {
            cfg.dedup.record_proof(at, revision);
        }
    }

    /// Builds the routes of a view and puts them in force; does nothing before
    /// [`Routing::configure`].
    ///
    /// In a fleet restart states change all the time. The picker is rebuilt only for
    /// another snapshot, since that takes time proportional to the number of endpoints.
    pub(super) fn bind(&self, view: &Arc<View>, now: Tick) {
        let Some(Config { locality, dedup }) = self.cfg.get() else {
            return;
        };
        let current = self.routes.load_full();
        let same = current.as_ref();
        let same = same.filter(|routes| Arc::ptr_eq(&routes.view.snapshot, &view.snapshot));
        let (picker, local_key) = match same {
            Some(routes) => {
                self.apply_changed_states(&view.states, now);
                (Arc::clone(&routes.picker), routes.local_key)
            }
            None => {
                // INVARIANT: The window gets the snapshot before requests are
                // routed by it, so that the owner of a key doesn't apply it later
                // than the nodes that send requests with the key.
                dedup.apply_snapshot(now, &view.snapshot);
                self.meters.retain(&view.snapshot);
                self.apply_all_states(&view.states, now);
                let cfg = RouteSettings::default();
                let picker = Picker::build(&view.snapshot, locality, cfg, &self.meters, now);
                let local_key = view.snapshot.find_endpoint(&locality.instance);
                (Arc::new(picker), local_key)
            }
        };
        let departing_since = departing_since(view, local_key, current.as_deref(), now);
        let evacuated = view.snapshot.is_evacuated(&locality.domain);
        let view = Arc::clone(view);
        self.routes.store(Some(Arc::new(Routes {
            view,
            picker,
            local_key,
            departing_since,
            evacuated,
        })));
    }

    /// The routes in force.
    pub(super) fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.load_full()
    }

    /// Updates the meters of the endpoints whose phase has changed. The picker reads
    /// the meters, so that it needn't be rebuilt for these changes.
    fn apply_changed_states(&self, states: &Arc<States>, now: Tick) {
        let mut applied = self.lock_applied_states();
        let changed = states.iter().filter(|(id, state)| {
            let before = applied.get(*id).map(|state| state.phase);
            before != Some(state.phase)
        });
        for (id, state) in changed {
            self.meters.set_intake(id, intake(state.phase), now);
        }
        *applied = Arc::clone(states);
    }

    /// Updates the meters for all states, after the list has changed. A node may have
    /// announced the state of its endpoint before the list named it, when there was no
    /// meter for it.
    fn apply_all_states(&self, states: &Arc<States>, now: Tick) {
        for (id, state) in states.iter() {
            self.meters.set_intake(id, intake(state.phase), now);
        }
        *self.lock_applied_states() = Arc::clone(states);
    }

    fn lock_applied_states(&self) -> MutexGuard<'_, Arc<States>> {
        self.applied_states
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Since when the local endpoint has been departing, if it is. One that was never
/// listed isn't: its node may find its target ready before the list names it.
fn departing_since(
    view: &View,
    local_key: Option<EndpointKey>,
    current: Option<&Routes>,
    now: Tick,
) -> Option<Tick> {
    let listed = local_key.and_then(|key| view.snapshot.endpoint(key));
    let state = listed.map(|endpoint| endpoint.instance.state);
    if state == Some(InstanceState::Live) {
        return None;
    }
    let is_departing = state.is_some() || current.is_some_and(|routes| routes.local_key.is_some());
    let since = current.and_then(|routes| routes.departing_since);
    since.or(is_departing.then_some(now))
}

fn intake(phase: Phase) -> Intake {
    match phase {
        Phase::Ready => Intake::Open,
        Phase::Starting | Phase::Draining | Phase::Gone => Intake::Closed,
    }
}
