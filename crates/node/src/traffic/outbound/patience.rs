//! How long callers wait, by the kind of their requests.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::CallerTimeouts;
use sassafrasspool_core::KindName;

/// Kinds that are kept apart; requests of more all count as first attempts.
const MAX_KINDS: usize = 1_024;

/// What callers say of the time that they wait.
#[derive(Debug, Default)]
pub(in crate::traffic) struct Patiences(Mutex<HashMap<KindName, CallerTimeouts>>);

impl Patiences {
    /// Takes in how long a caller says that it waits, and tells how long ago its
    /// first attempt was by that.
    pub(in crate::traffic) fn age(&self, kind: &KindName, wait: Duration) -> Duration {
        // A count is whole after each change.
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !held.contains_key(kind) {
            if held.len() == MAX_KINDS {
                return Duration::ZERO;
            }
            held.insert(kind.clone(), CallerTimeouts::default());
        }
        let Some(patience) = held.get_mut(kind) else {
            return Duration::ZERO;
        };
        patience.record(wait);
        patience.time_since_first_attempt(wait)
    }
}
