//! The generations of the local target: which one is listed, and which one answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use sassafrasspool_core::GenerationTracker;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::Tick;

#[cfg(test)]
mod tests;

/// The generations of the local target as of the last requests.
#[derive(Debug, Default)]
pub(in crate::traffic) struct LocalGenerations {
    listed: Mutex<Option<TargetGeneration>>,
    tracker: Mutex<GenerationTracker<HeaderValue>>,
}

impl LocalGenerations {
    /// Stores the generation that is listed now, and returns whether it replaces
    /// an earlier one.
    pub(in crate::traffic) fn update_listed(&self, listed: &TargetGeneration) -> bool {
        let mut stored = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        listed.replace_held(&mut stored)
    }

    /// The generation to name to the target in a request that is meant for `requested`.
    pub(in crate::traffic) fn resolve(&self, now: Tick, requested: &HeaderValue) -> HeaderValue {
        self.tracker().resolve(now, requested).clone()
    }

    /// Records that the target answered a request that named this generation.
    pub(in crate::traffic) fn record_answered(&self, named: &HeaderValue) {
        self.tracker().record_answered(named);
    }

    /// Records that the target declined a request that named another generation than
    /// its own, which is `answering`.
    pub(in crate::traffic) fn record_declined(
        &self,
        now: Tick,
        named: &HeaderValue,
        answering: &HeaderValue,
    ) {
        if self.tracker().record_declined(now, named, answering) {
            tracing::info!(
                ?named,
                ?answering,
                "the local target is a later generation than the listed one"
            );
        }
    }

    fn tracker(&self) -> MutexGuard<'_, GenerationTracker<HeaderValue>> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
