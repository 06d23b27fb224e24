//! The meters of all endpoints, kept across snapshots.

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
use crate::TargetGeneration;
use crate::TargetId;
use crate::Tick;

/// The most leaving targets that are remembered after the list has stopped naming them.
const MAX_LEAVING: usize = 4_096;

/// Whether an endpoint accepts new requests, as announced by its own node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Intake {
    /// The endpoint is ready.
    Open,
    /// The endpoint starts, drains or has departed.
    Closed,
}

/// The meters of all endpoints; shared by the control and traffic threads.
///
/// Traffic threads use a [`crate::Picker`], which holds the meters that it needs, and don't
/// take the lock.
#[derive(Debug, Default)]
pub struct Meters {
    inner: Mutex<Inner>,
    /// Held while an ejection is decided, so that two concurrent ones can't exceed the bound
    /// on the ejected share together.
    pub(super) ejecting: Mutex<()>,
}

#[derive(Debug, Default)]
struct Inner {
    endpoints: HashMap<InstanceId, EndpointRecord>,
    services: HashMap<ServiceName, Arc<ServiceMeter>>,
    bound: bool,
    /// Targets that stated that they leave. The list may stop naming one and name it again.
    leaving: HashMap<TargetId, TargetGeneration>,
}

impl Inner {
    fn is_leaving(&self, target: &TargetGeneration) -> bool {
        let held = self.leaving.get(&target.id);
        held.is_some_and(|held| held.is_same(target))
    }
}

/// An endpoint's meter, and the facts of its target when it was last bound.
#[derive(Debug, Default)]
struct EndpointRecord {
    meter: Arc<Meter>,
    generation: Option<TargetGeneration>,
    /// How long the target was listed to stay cold at that time.
    cold_for: Duration,
    /// Whether its failure domain was evacuated at that time.
    evacuated: bool,
}

impl EndpointRecord {
    /// Updates the generation of the target, and resets the meter if it is another one.
    ///
    /// A target that crashes and restarts within a heartbeat is never removed from the list.
    /// Its earlier load, latency and failures don't apply to the new process, which is cold:
    /// an endpoint that was ejected for its crash would stay excluded for up to half a
    /// minute, and one that was fast would get its full share at once.
    fn update_target(&mut self, instance: &Instance, now: Tick) {
        let generation = instance.target.as_ref();
        let replaced =
            generation.is_some_and(|generation| generation.replace_held(&mut self.generation));
        if replaced {
            self.meter.reset(now);
            self.meter.reset_statements();
        }
        if replaced || instance.cold_for != self.cold_for {
            self.meter.set_cold_until(now + instance.cold_for);
        }
        self.cold_for = instance.cold_for;
    }

    /// Updates whether the failure domain is evacuated. A target may be cold when the
    /// evacuation ends.
    fn update_evacuation(&mut self, evacuated: bool, cold_start: Option<&ColdStart>, now: Tick) {
        if self.evacuated && !evacuated {
            let lasts = cold_start.map_or(Duration::ZERO, |cold| cold.duration);
            self.meter.set_cold_until(now + lasts);
        }
        self.evacuated = evacuated;
    }
}

impl Meters {
    /// Creates an empty set of meters.
    pub fn new() -> Meters {
        Meters::default()
    }

    /// Stores what an endpoint's own node announced.
    ///
    /// The caller orders announcements by incarnation and sequence; the last call counts.
    pub fn set_intake(&self, instance: &InstanceId, intake: Intake, now: Tick) {
        let mut inner = self.lock();
        let record = inner.endpoints.entry(instance.clone()).or_default();
        match intake {
            Intake::Open => {
                let was_closed = record.meter.open(now);
                if was_closed && record.generation.is_none() {
                    // Nothing else shows that the target is another process.
                    record.meter.reset_statements();
                }
            }
            Intake::Closed => record.meter.close(),
        }
    }

    /// Records that the target of this generation states that it leaves.
    pub(super) fn mark_leaving(&self, generation: &TargetGeneration) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        if inner.is_leaving(generation) {
            return;
        }
        inner
            .leaving
            .insert(generation.id.clone(), generation.clone());
        let bound: Vec<_> = inner.endpoints.values().collect();
        let is_this = |held: &TargetGeneration| held.is_same(generation);
        for record in &bound {
            if record.generation.as_ref().is_some_and(is_this) {
                record.meter.set_leaving(true);
            }
        }
        if inner.leaving.len() > MAX_LEAVING {
            let bound = bound.iter().filter_map(|record| record.generation.as_ref());
            let bound: HashSet<&TargetId> = bound.map(|generation| &generation.id).collect();
            inner.leaving.retain(|id, _| bound.contains(id));
        }
    }

    /// Removes endpoints and services that the snapshot doesn't contain.
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

    /// The meter of an endpoint. A new endpoint begins with a slow start, unless this is the
    /// first list that the node binds.
    pub(super) fn bind_endpoint(
        &self,
        instance: &Instance,
        evacuated: bool,
        cold_start: Option<&ColdStart>,
        now: Tick,
    ) -> Arc<Meter> {
        let mut inner = self.lock();
        let target = instance.target.as_ref();
        let is_leaving = target.is_some_and(|target| inner.is_leaving(target));
        let is_new = inner.bound && !inner.endpoints.contains_key(&instance.id);
        let record = inner.endpoints.entry(instance.id.clone()).or_default();
        record.update_target(instance, now);
        if is_leaving {
            record.meter.set_leaving(true);
        }
        record.update_evacuation(evacuated, cold_start, now);
        if is_new {
            record.meter.begin_slow_start(now);
        }
        record.meter.clone()
    }

    pub(super) fn service_meter(&self, name: &ServiceName) -> Arc<ServiceMeter> {
        let mut inner = self.lock();
        inner.services.entry(name.clone()).or_default().clone()
    }

    /// Records that a list was bound: endpoints that are listed later are new.
    pub(super) fn mark_bound(&self) {
        self.lock().bound = true;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each change under the lock is complete before the next one begins, so that a
        // poisoned lock is still usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
