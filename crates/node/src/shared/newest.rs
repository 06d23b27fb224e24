//! Revisions of a stream and when they met a condition.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

/// The newest revision of a stream that met one condition, and when it did.
///
/// Only log lines are made of it, so that a reader may see one of the two from a
/// moment later than the other.
#[derive(Debug, Default)]
pub struct Newest {
    /// 0: none so far.
    revision: AtomicU64,
    at_us: AtomicU64,
}

impl Newest {
    /// Notes a revision at `at`; one that isn't newer changes nothing.
    pub fn note(&self, at: Tick, revision: Revision) {
        if self.revision.load(Ordering::Relaxed) < revision.get() {
            self.set(at, revision);
        }
    }

    /// Notes a revision at `at`; of the same one the latest time counts.
    pub fn renew(&self, at: Tick, revision: Revision) {
        let held = self.revision.load(Ordering::Relaxed);
        let later = self.at_us.load(Ordering::Relaxed) < at.as_micros();
        if held < revision.get() || (held == revision.get() && later) {
            self.set(at, revision);
        }
    }

    fn set(&self, at: Tick, revision: Revision) {
        self.at_us.store(at.as_micros(), Ordering::Relaxed);
        self.revision.store(revision.get(), Ordering::Relaxed);
    }

    /// The revision and how long before `now` it was noted, if there is one.
    pub fn current(&self, now: Tick) -> Option<(u64, Duration)> {
        let revision = self.revision.load(Ordering::Relaxed);
        let at = Tick::from_micros(self.at_us.load(Ordering::Relaxed));
        (revision > 0).then(|| (revision, now.since(at)))
    }
}
