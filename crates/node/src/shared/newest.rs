//! Revisions of the catalogue and since when they are known.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

/// The newest revision of the catalogue that met one condition, and when it did.
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
            self.at_us.store(at.as_micros(), Ordering::Relaxed);
            self.revision.store(revision.get(), Ordering::Relaxed);
        }
    }

    /// The revision and for how long it is known at `now`, if there is one.
    pub fn tell(&self, now: Tick) -> Option<(u64, Duration)> {
        let revision = self.revision.load(Ordering::Relaxed);
        let at = Tick::from_micros(self.at_us.load(Ordering::Relaxed));
        (revision > 0).then(|| (revision, now.since(at)))
    }
}
