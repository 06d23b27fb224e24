//! The generations of the local target: which one is listed, and which one answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use sassafrasspool_core::GenerationTracker;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;
use sassafrasspool_core::Tick;

#[cfg(test)]
mod tests;

/// The generations of the local target as of the last requests.
#[derive(Debug, Default)]
pub(in crate::traffic) struct LocalGenerations {
    listed: Mutex<Listed>,
    tracker: Mutex<GenerationTracker<HeaderValue>>,
}

/// The listed generations.
#[derive(Debug, Default)]
struct Listed {
    current: Option<TargetGeneration>,
    /// The one before it.
    previous: Option<TargetId>,
}

impl LocalGenerations {
    /// Stores the generation that is listed now, and returns whether it replaces
    /// an earlier one.
    pub(in crate::traffic) fn update_listed(&self, listed: &TargetGeneration) -> bool {
        let mut stored = self.lock_listed();
        let before = stored.current.clone();
        // A request may be routed by an earlier list than the one before it.
        if before
            .as_ref()
            .is_some_and(|it| !listed.is_not_older_than(it))
        {
            return false;
        }
        let replaced = listed.replace_held(&mut stored.current);
        if replaced {
            let before = before.map(|generation| generation.id);
            stored.previous = before.filter(|id| *id != listed.id);
        }
        replaced
    }

    /// Whether the generation that a request named was replaced by the one listed now.
    pub(in crate::traffic) fn is_replaced(&self, named: &HeaderValue) -> bool {
        let stored = self.lock_listed();
        let previous = stored.previous.as_ref();
        previous.is_some_and(|id| id.as_str().as_bytes() == named.as_bytes())
    }

    fn lock_listed(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
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
