//! What a node knows of all endpoints, across snapshots.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use super::meter::Meter;
use super::service::ServiceMeter;
use crate::ColdStart;
use crate::Instance;
use crate::InstanceId;
use crate::ServiceName;
use crate::Snapshot;
use crate::TargetLife;
use crate::Tick;

/// Whether an endpoint takes new work, by the word of its own node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// It is ready.
    Open,
    /// It starts, drains or is gone.
    Closed,
}

/// The meters of all endpoints; shared by the control and traffic threads.
///
/// Traffic threads go through a [`crate::Picker`], which holds what it needs,
/// and don't take this lock.
#[derive(Debug, Default)]
pub struct Meters {
    inner: Mutex<Inner>,
    /// Held while an ejection is decided, so that two at once can't both pass
    /// the bound on the share that is left out.
    pub(super) ejecting: Mutex<()>,
}

#[derive(Debug, Default)]
struct Inner {
    endpoints: HashMap<InstanceId, Metered>,
    services: HashMap<ServiceName, Arc<ServiceMeter>>,
    built: bool,
}

/// An endpoint's meter, and the target that it was of when it was last bound.
#[derive(Debug, Default)]
struct Metered {
    meter: Arc<Meter>,
    life: Option<TargetLife>,
    /// How long the target was to stay cold when it was last bound.
    cold_for: Duration,
    /// Whether its failure domain was evacuated then.
    evacuated: bool,
}

impl Metered {
    /// Takes over which target runs there now, and starts anew if it is another.
    ///
    /// A target that crashes and starts again within a heartbeat never leaves the
    /// list. Its load, pace and failures of before say nothing of the new process,
    /// which is cold: an endpoint that was ejected for its crash would stay away
    /// for up to half a minute, and one that was fast would be sent its full share.
    fn follow(&mut self, instance: &Instance, now: Tick) {
        let life = instance.target.as_ref();
        let another = life.is_some_and(|life| life.replaces(&mut self.life));
        if another {
            self.meter.renew(now);
        }
        if another || instance.cold_for != self.cold_for {
            self.meter.set_cold(now + instance.cold_for);
        }
        self.cold_for = instance.cold_for;
    }

    /// Takes over whether the failure domain is evacuated; a target may be cold as it is
    /// taken back.
    fn evacuate(&mut self, evacuated: bool, cold_start: Option<&ColdStart>, now: Tick) {
        if self.evacuated && !evacuated {
            let lasts = cold_start.map_or(Duration::ZERO, |cold| cold.lasts);
            self.meter.set_cold(now + lasts);
        }
        self.evacuated = evacuated;
    }
}

impl Meters {
    /// Meters of nothing so far.
    pub fn new() -> Meters {
        Meters::default()
    }

    /// Takes over what an endpoint's own node said of it.
    ///
    /// The caller orders these by incarnation and sequence; what is marked
    /// last counts.
    pub fn mark(&self, instance: &InstanceId, intake: Intake, now: Tick) {
        let mut inner = self.lock();
        let held = inner.endpoints.entry(instance.clone()).or_default();
        match intake {
            Intake::Open => held.meter.open(now),
            Intake::Closed => held.meter.close(),
        }
    }

    /// Forgets endpoints and services that the snapshot doesn't have.
    pub fn retain(&self, snapshot: &Snapshot) {
        let mut inner = self.lock();
        let mut listed = HashSet::new();
        for (_, service) in snapshot.services() {
            let endpoints = snapshot.endpoints_of(service);
            listed.extend(endpoints.map(|(_, endpoint)| &endpoint.instance.id));
        }
        inner.endpoints.retain(|id, _| listed.contains(id));
        inner
            .services
            .retain(|name, _| snapshot.find_service(name).is_some());
    }

    /// The meter of an endpoint; one that wasn't there before starts cold,
    /// unless this is the first list that the node sees.
    pub(super) fn endpoint(
        &self,
        instance: &Instance,
        evacuated: bool,
        cold_start: Option<&ColdStart>,
        now: Tick,
    ) -> Arc<Meter> {
        let mut inner = self.lock();
        let is_new = inner.built && !inner.endpoints.contains_key(&instance.id);
        let held = inner.endpoints.entry(instance.id.clone()).or_default();
        held.follow(instance, now);
        held.evacuate(evacuated, cold_start, now);
        if is_new {
            held.meter.start_cold(now);
        }
        held.meter.clone()
    }

    pub(super) fn service(&self, name: &ServiceName) -> Arc<ServiceMeter> {
        let mut inner = self.lock();
        inner.services.entry(name.clone()).or_default().clone()
    }

    /// Notes that a list was bound: endpoints that come later are new.
    pub(super) fn mark_built(&self) {
        self.lock().built = true;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each change under the lock is whole before the next begins.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
