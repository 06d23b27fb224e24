//! How cold the own target is, as both sides of the node see it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::ColdLimit;
use sassafrasspool_core::ColdStart;
use sassafrasspool_core::ColdTolerance;
use sassafrasspool_core::ColdTracker;
use sassafrasspool_core::Tick;
use tokio::sync::Notify;

use super::Routes;

/// What is known of how cold the own target is.
#[derive(Debug, Default)]
pub(crate) struct OwnColdness {
    state: Mutex<ColdTracker>,
    /// The target may be warm earlier than is known.
    unproved: Notify,
}

impl OwnColdness {
    /// Takes over what the view in force tells.
    pub(super) fn follow(&self, now: Tick, routes: &Routes) {
        let Some((endpoint, service)) = routes.own() else {
            return;
        };
        let Some(start) = &service.entry.cold_start else {
            return;
        };
        let instance = &endpoint.instance;
        self.change(|state| {
            if let Some(life) = &instance.target {
                state.update_from_list(now, start, life, instance.cold_for);
            }
            let evacuated = routes.view.snapshot.is_evacuated(&instance.domain);
            state.update_evacuation(now, start, evacuated);
        });
    }

    /// What the target bears of a request that is meant for that start of it.
    pub(crate) fn limit(
        &self,
        now: Tick,
        start: Option<&ColdStart>,
        tolerance: ColdTolerance,
        life: Option<&str>,
    ) -> Option<ColdLimit> {
        let start = start?;
        let until = self.change(|state| {
            if let Some(life) = life {
                state.record_requested_generation(now, start, life);
            }
            state.cold_until()
        });
        (now < until).then(|| tolerance.limit(start.per_s, until))
    }

    /// For how much longer the target is cold, as far as is known.
    pub(crate) fn left(&self, now: Tick) -> Duration {
        self.lock().cold_until().since(now)
    }

    /// Waits until the target may be warm earlier than is known.
    pub(crate) async fn unproved(&self) {
        self.unproved.notified().await;
    }

    /// Whether that is still so.
    pub(crate) fn is_unproved(&self, now: Tick) -> bool {
        let state = self.lock();
        state.is_unconfirmed() && now < state.cold_until()
    }

    /// Takes over what the target said.
    pub(crate) fn probed(&self, now: Tick, left: Duration) {
        self.lock().record_probe(now, left);
    }

    fn change<T>(&self, change: impl FnOnce(&mut ColdTracker) -> T) -> T {
        let mut state = self.lock();
        let before = state.is_unconfirmed();
        let result = change(&mut state);
        if state.is_unconfirmed() && !before {
            self.unproved.notify_one();
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, ColdTracker> {
        // Nothing can panic halfway through a change of it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
