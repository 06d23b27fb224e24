//! The newest revision of a stream that met a condition, with the time.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

/// The low bits of a packed revision, which hold its number.
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// The number of low bits of a packed revision that hold its number. The highest bit is set
/// if it is settled, and the others hold its epoch.
const NUMBER_BITS: u32 = 48;

/// The highest epoch of a packed revision.
const MAX_EPOCH: u64 = (1 << (u64::BITS - NUMBER_BITS - 1)) - 1;

/// The newest revision of a stream that met one condition, and the time at which it
/// did.
///
/// The two values are stored separately, so a reader may see one of them from a
/// later update than the other. That is acceptable because only log lines use them.
#[derive(Debug, Default)]
pub struct NewestRevision {
    /// The revision in one integer; 0 before the first revision.
    packed: AtomicU64,
    at_us: AtomicU64,
}

impl NewestRevision {
    /// Records a revision at `at`. One that isn't newer is ignored, so that a revision
    /// keeps its first time.
    pub fn record_first(&self, at: Tick, revision: Revision) {
        if self.packed.load(Ordering::Relaxed) < pack(revision) {
            self.set(at, revision);
        }
    }

    /// Records a revision at `at`. The same revision at a later time updates the time;
    /// an older revision is ignored.
    pub fn record_latest(&self, at: Tick, revision: Revision) {
        let held = self.packed.load(Ordering::Relaxed);
        let is_later = self.at_us.load(Ordering::Relaxed) < at.as_micros();
        if held < pack(revision) || (held == pack(revision) && is_later) {
            self.set(at, revision);
        }
    }

    fn set(&self, at: Tick, revision: Revision) {
        self.at_us.store(at.as_micros(), Ordering::Relaxed);
        self.packed.store(pack(revision), Ordering::Relaxed);
    }

    /// The number of the recorded revision and its age at `now`, if there is one.
    pub fn revision_and_age(&self, now: Tick) -> Option<(u64, Duration)> {
        let revision = self.packed.load(Ordering::Relaxed) & NUMBER_MASK;
        let at = Tick::from_micros(self.at_us.load(Ordering::Relaxed));
        (revision > 0).then(|| (revision, now.since(at)))
    }
}

/// A revision as an integer with the same order.
fn pack(revision: Revision) -> u64 {
    let epoch = revision.epoch().get().min(MAX_EPOCH);
    let rank = match revision.is_provisional() {
        true => MAX_EPOCH - epoch,
        false => MAX_EPOCH + 1 + epoch,
    };
    (rank << NUMBER_BITS) | revision.get().min(NUMBER_MASK)
}
