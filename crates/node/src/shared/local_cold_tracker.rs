//! Tracks how long the local target stays cold, for both sides of the node.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::ColdLimit;
use sassafrasspool_core::ColdProbe;
use sassafrasspool_core::ColdStart;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::ColdTracker;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::TargetId;
use sassafrasspool_core::Tick;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::Clock;
use super::Routes;

#[cfg(test)]
mod tests;

/// The tracked cold time of the local target.
#[derive(Debug, Default)]
pub(crate) struct LocalColdTracker {
    state: Mutex<ColdTracker>,
    /// Notified when the tracked cold time has changed.
    changed: Notify,
}

impl LocalColdTracker {
    /// Applies the instance list and the evacuations of the routes in force. A target that
    /// isn't listed is evacuated as well, and `service` is the one that it serves.
    pub(super) fn update(&self, now: Tick, routes: &Routes, service: Option<&ServiceName>) {
        let listed = routes.local_endpoint();
        let Some(service) = routes.local_service(service) else {
            return;
        };
        let start = service.entry.cold_start.as_ref();
        self.update_state(now, |state| {
            state.update_service(now, start);
            let Some(start) = start else {
                return;
            };
            if let Some((endpoint, _)) = listed
                && let Some(generation) = &endpoint.instance.target
            {
                state.update_from_list(now, start, generation, endpoint.instance.cold_for);
            }
            state.update_evacuation(now, start, routes.evacuated);
        });
    }

    /// The limit on requests to the target, if it is cold. A request meant for an unknown
    /// `generation` of the target counts as the start of a cold time.
    pub(crate) fn cold_limit(
        &self,
        now: Tick,
        start: Option<&ColdStart>,
        tolerance: ColdTolerance,
        generation: Option<&str>,
    ) -> Option<ColdLimit> {
        let start = start?;
        let until = self.update_state(now, |state| {
            if let Some(generation) = generation {
                state.record_requested_generation(now, start, generation);
            }
            state.cold_until()
        });
        (now < until).then(|| tolerance.limit(start.per_s, until))
    }

    /// Records the generation of the target that declined a request for another one. It may be
    /// cold, and the list doesn't name it yet.
    pub(crate) fn record_answering_generation(
        &self,
        now: Tick,
        start: Option<&ColdStart>,
        generation: &str,
    ) {
        if let Some(start) = start {
            self.update_state(now, |state| {
                state.record_answering_generation(now, start, generation);
            });
        }
    }

    /// Records that the process of the target has ended and another one runs.
    pub(crate) fn record_restart(&self, now: Tick, start: Option<&ColdStart>) {
        if let Some(start) = start {
            self.update_state(now, |state| state.record_restart(now, start));
        }
    }

    /// The remaining cold time of the target, as tracked.
    pub(crate) fn cold_left(&self, now: Tick) -> Duration {
        self.lock().cold_until().since(now)
    }

    /// Waits until the target is to be probed for its remaining cold time.
    pub(crate) async fn wait_until_probe_due(&self, clock: &Clock) {
        loop {
            let now = clock.now();
            let Some(at) = self.lock().next_probe(now) else {
                self.changed.notified().await;
                continue;
            };
            if at <= now {
                return;
            }
            // The time may change while this waits.
            let _ = timeout_at(clock.instant(at).into(), self.changed.notified()).await;
        }
    }

    /// Begins a probe of the target's cold time.
    pub(crate) fn begin_probe(&self) -> ColdProbe {
        self.lock().begin_probe()
    }

    /// Records the remaining cold time that the target reported to a probe, and its generation
    /// if the answer names it. Returns whether the answer is used.
    pub(crate) fn record_probe(
        &self,
        now: Tick,
        probe: ColdProbe,
        left: Duration,
        generation: Option<TargetId>,
    ) -> bool {
        self.update_state(now, |state| {
            state.record_probe(now, probe, left, generation)
        })
    }

    /// Updates the state; logs and notifies if the tracked cold time has changed.
    fn update_state<T>(&self, now: Tick, update: impl FnOnce(&mut ColdTracker) -> T) -> T {
        let mut state = self.lock();
        let before = (state.cold_until(), state.cause());
        let result = update(&mut state);
        if (state.cold_until(), state.cause()) != before {
            log_cold_time(now, &state);
            self.changed.notify_one();
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, ColdTracker> {
        // No update of the state can panic halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs how long the target is treated as cold, and why.
fn log_cold_time(now: Tick, state: &ColdTracker) {
    let left = state.cold_until().since(now);
    tracing::info!(
        left_ms = left.as_millis(),
        cause = state.cause().as_str(),
        confirmed = !state.is_unconfirmed(),
        generation = state.generation().map(|id| id.as_str()),
        "the tracked cold time of the target changed"
    );
}
