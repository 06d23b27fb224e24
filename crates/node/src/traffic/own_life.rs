//! Which start of the own target was last listed.

use std::sync::Mutex;
use std::sync::PoisonError;

use sassafrasspool_core::TargetLife;

#[cfg(test)]
mod tests;

/// The own target's life as requests last saw it.
#[derive(Debug, Default)]
pub(super) struct OwnLife(Mutex<Option<TargetLife>>);

impl OwnLife {
    /// Takes over the life that is listed now, and tells whether an earlier one
    /// ended.
    pub(super) fn follow(&self, listed: &TargetLife) -> bool {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if held.as_ref().is_some_and(|held| held.is_same(listed)) {
            return false;
        }
        held.replace(listed.clone()).is_some()
    }
}
