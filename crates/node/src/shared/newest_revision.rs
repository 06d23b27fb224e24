//! The newest revision of a stream that met a condition, with the time.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

/// The newest revision of a stream that met one condition, and the time at which it
/// did.
///
/// The two values are stored separately, so a reader may see one of them from a
/// later update than the other. That is acceptable because only log lines use them.
#[derive(Debug, Default)]
pub struct NewestRevision {
    /// 0 before the first revision.
    revision: AtomicU64,
    at_us: AtomicU64,
}

impl NewestRevision {
    /// Records a revision at `at`. One that isn't newer is ignored, so that a revision
    /// keeps its first time.
    pub fn record_first(&self, at: Tick, revision: Revision) {
        if self.revision.load(Ordering::Relaxed) < revision.get() {
            self.set(at, revision);
        }
    }

    /// Records a revision at `at`. The same revision at a later time updates the time;
    /// an older revision is ignored.
    pub fn record_latest(&self, at: Tick, revision: Revision) {
        let held = self.revision.load(Ordering::Relaxed);
        let is_later = self.at_us.load(Ordering::Relaxed) < at.as_micros();
        if held < revision.get() || (held == revision.get() && is_later) {
            self.set(at, revision);
        }
    }

    fn set(&self, at: Tick, revision: Revision) {
        self.at_us.store(at.as_micros(), Ordering::Relaxed);
        self.revision.store(revision.get(), Ordering::Relaxed);
    }

    /// The recorded revision and its age at `now`, if there is one.
    pub fn revision_and_age(&self, now: Tick) -> Option<(u64, Duration)> {
        let revision = self.revision.load(Ordering::Relaxed);
        let at = Tick::from_micros(self.at_us.load(Ordering::Relaxed));
        (revision > 0).then(|| (revision, now.since(at)))
    }
}
