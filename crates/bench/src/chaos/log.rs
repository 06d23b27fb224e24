//! Log of the events and outages of a run.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;

use crate::load::Outage;

/// Events and outages of a run, timed by the clock that the targets' ledgers
/// use.
#[derive(Debug, Default)]
pub struct Log {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    history: History,
    outages: Vec<Outage>,
}

impl Log {
    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        self.record_at(unix_now_us(), event);
    }

    /// Records an event that happened at `at_us`, in microseconds since the
    /// Unix epoch.
    pub fn record_at(&self, at_us: u64, event: Event) {
        self.inner().history.record(Tick::from_micros(at_us), event);
    }

    /// Adds an outage of a process.
    pub fn add_outage(&self, outage: Outage) {
        self.inner().outages.push(outage);
    }

    /// The events and outages recorded so far.
    pub fn history_and_outages(&self) -> (History, Vec<Outage>) {
        let inner = self.inner();
        (inner.history.clone(), inner.outages.clone())
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The current time in microseconds since the Unix epoch.
pub fn unix_now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX)
}
