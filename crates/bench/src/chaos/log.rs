//! What was done and seen in a run.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;

use crate::load::Outage;

/// The record of a run, on the clock of the targets' ledgers.
#[derive(Debug, Default)]
pub(super) struct Log {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    history: History,
    outages: Vec<Outage>,
}

impl Log {
    /// Records an event that happens now.
    pub(super) fn record(&self, event: Event) {
        self.inner().history.record(now(), event);
    }

    /// Notes that processes were hurt.
    pub(super) fn add(&self, outage: Outage) {
        self.inner().outages.push(outage);
    }

    /// Everything that was recorded.
    pub(super) fn copy(&self) -> (History, Vec<Outage>) {
        let inner = self.inner();
        (inner.history.clone(), inner.outages.clone())
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Microseconds since the Unix epoch.
pub(super) fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}

fn now() -> Tick {
    Tick::from_micros(now_us())
}
