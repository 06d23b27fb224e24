//! What the control thread and the traffic threads share.
//!
//! The control thread writes and the traffic threads read, each without
//! waiting for the other: a request pins one [`View`] for its whole life, so
//! that it never sees half of a change.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwapOption;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::InstanceId;
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
pub(crate) use self::coldness::OwnColdness;
pub use self::contact::ContactAge;
pub use self::in_flight::InFlight;
pub use self::in_flight::InFlightGuard;
pub use self::newest::Newest;
pub(crate) use self::quarantine::Quarantine;
pub use self::routing::Routes;
pub use self::view::View;

mod clock;
mod coldness;
mod contact;
mod in_flight;
mod newest;
mod quarantine;
mod routing;
#[cfg(test)]
mod tests;
mod view;

/// One node's state that both sides read.
///
/// # Invariants
///
/// Only the control thread puts views and changes the phase, and the phase
/// only goes forward.
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
    /// The node was told to stop: callers are to go elsewhere.
    stopping: AtomicBool,
    in_flight: InFlight,
    contact: ContactAge,
    heard: Newest,
    in_force: Newest,
    proved_list: Newest,
    quarantine: Quarantine,
    coldness: OwnColdness,
    /// Whether the own failure domain is evacuated.
    evacuated: watch::Sender<bool>,
}

impl Shared {
    /// The state of a node that holds nothing yet and is starting.
    pub fn new(me: InstanceId, incarnation: Incarnation) -> Shared {
        Shared::speaking(Dialect::OWN, LogSink::silent(), me, incarnation)
    }

    /// The same for a node that speaks the words of another platform.
    pub fn speaking(
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
            heard: Newest::default(),
            in_force: Newest::default(),
            proved_list: Newest::default(),
            quarantine: Quarantine::default(),
            coldness: OwnColdness::default(),
            evacuated: watch::Sender::new(false),
        }
    }

    /// The instance beside which this node runs.
    pub fn me(&self) -> &InstanceId {
        &self.me
    }

    /// Which life of this instance's node this is; a later one is higher.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The service of the target beside this node, by the settings.
    pub fn service(&self) -> Option<Arc<ServiceName>> {
        self.service.load_full()
    }

    /// Says of which service the target is: an instance may be given another.
    pub fn set_service(&self, service: ServiceName) {
        self.service.store(Some(Arc::new(service)));
    }

    /// Where it is written what is decided about requests.
    pub fn log(&self) -> &LogSink {
        &self.log
    }

    /// What callers and the target call things.
    pub fn dialect(&self) -> &Dialect {
        &self.dialect
    }

    /// The node's clock, which every tick given to the core comes from.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What is in force now, or nothing before the first snapshot.
    ///
    /// The caller keeps what it gets for the whole of a request.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Puts another view in force, whole and at once.
    pub fn set_view(&self, view: View) {
        let view = Arc::new(view);
        let now = self.clock.now();
        self.routing.bind(&view, now);
        if let Some(routes) = self.routing.routes() {
            self.coldness.follow(now, &routes);
            self.follow_evacuation(&routes);
        }
        let revision = view.snapshot.catalogue().revision();
        self.view.store(Some(view));
        self.in_force.note(now, revision);
    }

    fn follow_evacuation(&self, routes: &Routes) {
        let changed = self.evacuated.send_if_modified(|held| {
            let before = std::mem::replace(held, routes.evacuated);
            before != *held
        });
        if changed {
            let revision = routes.view.snapshot.catalogue().revision().get();
            let evacuated = routes.evacuated;
            tracing::info!(evacuated, revision, "the own failure domain's evacuation");
        }
    }

    /// Whether operators have evacuated the failure domain of the own target.
    pub fn is_evacuated(&self) -> bool {
        *self.evacuated.borrow()
    }

    /// Follows whether it is.
    pub(crate) fn watch_evacuated(&self) -> watch::Receiver<bool> {
        self.evacuated.subscribe()
    }

    /// How cold the own target is.
    pub(crate) fn coldness(&self) -> &OwnColdness {
        &self.coldness
    }

    /// Says where the node stands in the fleet, before the first view, and
    /// which window remembers the requests with a key that it runs.
    pub fn place(&self, position: Locality, repeat: DedupWindow) {
        self.routing.place(position, repeat);
    }

    /// Passes on a proof that the instance list of `revision` was the newest
    /// that the platform had at `at`. Without one that is recent enough no
    /// request with a key is run here.
    pub fn prove_instances(&self, at: Tick, revision: Revision) {
        self.proved_list.renew(at, revision);
        self.routing.prove(at, revision);
    }

    /// The newest instance list that was proved to be the newest, and how long
    /// ago it was.
    pub fn proved_list(&self) -> &Newest {
        &self.proved_list
    }

    /// What is in force now together with what chooses among its endpoints, or
    /// nothing before the first snapshot.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routing.routes()
    }

    /// Requests that no target is to run.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The phase of this node's own endpoint.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the node takes callers.
    pub fn takes_callers(&self) -> bool {
        self.phase() == Phase::Ready && !self.is_stopping()
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Notes that the node was told to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Follows the phase of this node's own endpoint.
    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Goes on to `phase`; returns whether that was a step forward.
    pub fn advance(&self, phase: Phase) -> bool {
        // INVARIANT: A phase that isn't later than the present one is dropped,
        // so that a late probe can't make a draining endpoint ready again.
        self.phase.send_if_modified(|now| {
            let forward = phase > *now;
            if forward {
                *now = phase;
            }
            forward
        })
    }

    /// Counts the requests that this node works on.
    pub fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// The newest catalogue that this node has heard of, held or not.
    pub fn heard(&self) -> &Newest {
        &self.heard
    }

    /// The catalogue in force.
    pub fn in_force(&self) -> &Newest {
        &self.in_force
    }

    /// How old this node's newest proof of contact with the platform is.
    pub fn contact(&self) -> &ContactAge {
        &self.contact
    }
}
