//! Caller timeouts, by the kind of the requests.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sassafrasspool_core::CallerTimeouts;
use sassafrasspool_core::KindName;

/// The most kinds that are tracked. Requests of further kinds count as first attempts.
const MAX_KINDS: usize = 1_024;

/// The timeouts that callers send, by the kind of the requests.
#[derive(Debug, Default)]
pub(in crate::traffic) struct KindTimeouts(Mutex<HashMap<KindName, CallerTimeouts>>);

impl KindTimeouts {
    /// Records the timeout that a caller sent, and infers from it how long ago the
    /// caller's first attempt was.
    pub(in crate::traffic) fn record_and_infer_elapsed(
        &self,
        kind: &KindName,
        timeout: Duration,
    ) -> Duration {
        // The counts are consistent after each change, also after a panic.
        let mut kinds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !kinds.contains_key(kind) {
            if kinds.len() == MAX_KINDS {
                return Duration::ZERO;
            }
            kinds.insert(kind.clone(), CallerTimeouts::default());
        }
        let Some(timeouts) = kinds.get_mut(kind) else {
            return Duration::ZERO;
        };
        timeouts.record(timeout);
        timeouts.time_since_first_attempt(timeout)
    }
}
