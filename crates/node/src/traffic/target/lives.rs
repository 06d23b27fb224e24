//! The lives of the own target: which one is listed, and which one answers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderValue;
use sassafrasspool_core::GenerationTracker;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::Tick;

#[cfg(test)]
mod tests;

/// The own target's lives as requests last saw them.
#[derive(Debug, Default)]
pub(in crate::traffic) struct OwnLife {
    listed: Mutex<Option<TargetGeneration>>,
    seen: Mutex<GenerationTracker<HeaderValue>>,
}

impl OwnLife {
    /// Takes over the life that is listed now, and tells whether an earlier one
    /// ended.
    pub(in crate::traffic) fn follow(&self, listed: &TargetGeneration) -> bool {
        let mut held = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        listed.replace_held(&mut held)
    }

    /// The life to name to the target in a request that is meant for `asked`.
    pub(in crate::traffic) fn meant(&self, now: Tick, asked: &HeaderValue) -> HeaderValue {
        self.seen().resolve(now, asked).clone()
    }

    /// Notes that the target answered a request that named this life.
    pub(in crate::traffic) fn answered(&self, named: &HeaderValue) {
        self.seen().record_answered(named);
    }

    /// Notes that the target declined a request that named another life than its
    /// own, which is `answering`.
    pub(in crate::traffic) fn declined(
        &self,
        now: Tick,
        named: &HeaderValue,
        answering: &HeaderValue,
    ) {
        if self.seen().record_declined(now, named, answering) {
            tracing::info!(
                ?named,
                ?answering,
                "the own target is a later life than the listed one"
            );
        }
    }

    fn seen(&self) -> MutexGuard<'_, GenerationTracker<HeaderValue>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
