//! The state shared by the control thread and the traffic threads.
//!
//! The control thread writes and the traffic threads read, neither waiting for
//! the other. A request keeps one [`View`] from start to end, so that it never
//! sees half of a change.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwapOption;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Link;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Revision;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Tick;
use tokio::sync::watch;

use self::routing::Routing;
use crate::Dialect;
use crate::log::LogSink;

pub use self::clock::Clock;
pub use self::contact_age::ContactAge;
pub use self::in_flight::InFlight;
pub use self::in_flight::InFlightGuard;
pub(crate) use self::local_cold_tracker::LocalColdTracker;
pub use self::newest_revision::NewestRevision;
pub(crate) use self::quarantine::Quarantine;
pub use self::routing::Routes;
pub(crate) use self::target_statements::TargetStatements;
pub use self::view::View;

mod clock;
mod contact_age;
mod in_flight;
mod local_cold_tracker;
mod newest_revision;
mod quarantine;
mod routing;
mod target_statements;
#[cfg(test)]
mod tests;
mod view;

/// One node's state that the control side and the traffic side share.
///
/// # Invariants
///
/// Only the control thread sets views and changes the phase, and the phase only
/// moves forward.
#[derive(Debug)]
pub struct Shared {
    me: InstanceId,
    incarnation: Incarnation,
    dialect: Dialect,
    service: ArcSwapOption<ServiceName>,
    log: LogSink,
    clock: Clock,
    view: ArcSwapOption<View>,
    routing: Routing,
    phase: watch::Sender<Phase>,
    /// The node was ordered to stop; callers are to use other nodes.
    stopping: AtomicBool,
    in_flight: InFlight,
    contact: ContactAge,
    advertised_catalogue: NewestRevision,
    catalogue_in_force: NewestRevision,
    list_proof: NewestRevision,
    /// The outgoing link, if the settings name its rate.
    link: OnceLock<Link>,
    quarantine: Quarantine,
    cold_tracker: LocalColdTracker,
    target_statements: TargetStatements,
    /// Whether the local target's failure domain is evacuated.
    evacuated: watch::Sender<bool>,
}

impl Shared {
    /// The state of a starting node, which has no view yet and doesn't log requests.
    pub fn new(me: InstanceId, incarnation: Incarnation) -> Shared {
        Shared::with_dialect(Dialect::NATIVE, LogSink::silent(), me, incarnation)
    }

    /// The same with a log, for a node that uses the dialect of another platform.
    pub fn with_dialect(
        dialect: Dialect,
        log: LogSink,
        me: InstanceId,
        incarnation: Incarnation,
    ) -> Shared {
        Shared {
            me,
            incarnation,
            dialect,
            service: ArcSwapOption::empty(),
            log,
            clock: Clock::start(),
            view: ArcSwapOption::empty(),
            routing: Routing::default(),
            phase: watch::Sender::new(Phase::Starting),
            stopping: AtomicBool::new(false),
            in_flight: InFlight::new(),
            contact: ContactAge::new(),
            advertised_catalogue: NewestRevision::default(),
            catalogue_in_force: NewestRevision::default(),
            list_proof: NewestRevision::default(),
            link: OnceLock::new(),
            quarantine: Quarantine::default(),
            cold_tracker: LocalColdTracker::default(),
            target_statements: TargetStatements::default(),
            evacuated: watch::Sender::new(false),
        }
    }

    /// The id of this node's instance.
    pub fn me(&self) -> &InstanceId {
        &self.me
    }

    /// The incarnation of this node's process; a later process has a higher one.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The service of the local target, by the settings.
    pub fn service(&self) -> Option<Arc<ServiceName>> {
        self.service.load_full()
    }

    /// Sets the service of the local target: an instance may be assigned to another
    /// service.
    pub fn set_service(&self, service: ServiceName) {
        self.service.store(Some(Arc::new(service)));
    }

    /// The log of the decisions about requests.
    pub fn log(&self) -> &LogSink {
        &self.log
    }

    /// The names that callers and the target use on the wire.
    pub fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    /// The node's clock. Every tick that is passed to the core comes from it.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The view in force; `None` before the first snapshot.
    ///
    /// A request uses the returned view from start to end.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Puts another view in force, atomically.
    pub fn set_view(&self, view: View) {
        let view = Arc::new(view);
        let now = self.clock.now();
        let was_departing = self.routing.routes().is_some_and(|it| it.is_departing());
        self.routing.bind(&view, now);
        if let Some(routes) = self.routing.routes() {
            if was_departing && routes.is_live_without_generation() {
                // Without generations, only this shows that another process runs.
                self.target_statements.reset(now);
            }
            let service = self.service();
            self.cold_tracker.update(now, &routes, service.as_deref());
            self.update_evacuated(&routes);
        }
        let revision = view.snapshot.catalogue().revision();
        self.view.store(Some(view));
        self.catalogue_in_force.record_first(now, revision);
    }

    fn update_evacuated(&self, routes: &Routes) {
        let changed = self.evacuated.send_if_modified(|current| {
            let before = std::mem::replace(current, routes.evacuated);
            before != *current
        });
        if changed {
            let revision = routes.view.snapshot.catalogue().revision().get();
            let evacuated = routes.evacuated;
            tracing::info!(
                evacuated,
                revision,
                "evacuation of the local failure domain changed"
            );
        }
    }

    /// Whether operators have evacuated the failure domain of the local target.
    pub fn is_evacuated(&self) -> bool {
        *self.evacuated.borrow()
    }

    /// A receiver that is notified when [`Shared::is_evacuated`] changes.
    pub(crate) fn watch_evacuated(&self) -> watch::Receiver<bool> {
        self.evacuated.subscribe()
    }

    /// The tracker of the local target's cold time.
    pub(crate) fn cold_tracker(&self) -> &LocalColdTracker {
        &self.cold_tracker
    }

    /// What the local target states about itself in its answers.
    pub(crate) fn target_statements(&self) -> &TargetStatements {
        &self.target_statements
    }

    /// Sets the node's locality and its deduplication window of keyed requests.
    ///
    /// Routes are built only after this was called, so it precedes the first view.
    pub fn configure_routing(&self, locality: Locality, dedup: DedupWindow) {
        self.routing.configure(locality, dedup);
    }

    /// Records a proof that the instance list of `revision` was the platform's
    /// newest at `at`. Without a recent proof this node runs no request with a key.
    pub fn record_list_proof(&self, at: Tick, revision: Revision) {
        self.list_proof.record_latest(at, revision);
        self.routing.record_list_proof(at, revision);
    }

    /// The revision of the newest instance list that was proved to be the platform's
    /// newest, and the time of the latest such proof.
    pub fn list_proof(&self) -> &NewestRevision {
        &self.list_proof
    }

    /// The view in force with the picker of its endpoints; `None` before the first
    /// snapshot.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routing.routes()
    }

    /// The outgoing link of the instance, if the settings name its rate.
    pub(crate) fn link(&self) -> Option<&Link> {
        self.link.get()
    }

    /// Sets the outgoing link of the instance.
    pub(crate) fn set_link(&self, link: Option<Link>) {
        if let Some(link) = link {
            // The traffic side sets it once, when it starts.
            let _ = self.link.set(link);
        }
    }

    /// The quarantine of requests that no target is to run.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The phase of this node's own endpoint.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the node accepts requests of callers.
    pub fn accepts_callers(&self) -> bool {
        self.phase() == Phase::Ready && !self.is_stopping()
    }

    /// Whether the node was ordered to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records that the node was ordered to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// A receiver that is notified when the phase of this node's own endpoint changes.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Advances to `phase`; returns whether that changed the phase.
    pub fn advance_phase(&self, phase: Phase) -> bool {
        // INVARIANT: A phase that isn't later than the current one is ignored, so
        // that a late probe can't make a draining endpoint ready again.
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        })
    }

    /// The counter of requests in flight at this node.
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// The newest catalogue revision advertised to this node, held or not.
    pub fn advertised_catalogue(&self) -> &NewestRevision {
        &self.advertised_catalogue
    }

    /// The revision of the catalogue in force.
    pub fn catalogue_in_force(&self) -> &NewestRevision {
        &self.catalogue_in_force
    }

    /// The age of the newest proof of contact with the platform.
    pub fn contact(&self) -> &ContactAge {
        &self.contact
    }
}
