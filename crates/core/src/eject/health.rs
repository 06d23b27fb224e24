//! The record of one endpoint.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::EjectSettings;
use crate::Tick;

/// The most doublings of an ejection's time.
const MAX_DOUBLINGS: u32 = 16;

/// What went wrong at one endpoint lately.
///
/// The counts are independent atomics: threads that race may lose one step of
/// a count, which delays an ejection by a request and breaks nothing.
#[derive(Debug, Default)]
pub(crate) struct Health {
    connects: AtomicU32,
    errors: AtomicU32,
    slow: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
}

impl Health {
    /// Whether it is left out now.
    pub(crate) fn is_ejected(&self, now: Tick) -> bool {
        now.as_micros() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// When its last ejection ended or will end, if it had one.
    pub(crate) fn back_at(&self) -> Option<Tick> {
        let until = self.ejected_until.load(Ordering::Relaxed);
        (until > 0).then(|| Tick::from_micros(until))
    }

    /// A good answer.
    pub(crate) fn good(&self) {
        clear(&self.connects);
        clear(&self.errors);
        clear(&self.slow);
    }

    /// A sign of life that says nothing of errors.
    pub(crate) fn alive(&self) {
        clear(&self.connects);
    }

    /// A slow answer; tells whether it is time for an ejection.
    pub(crate) fn slow(&self, cfg: &EjectSettings) -> bool {
        clear(&self.connects);
        clear(&self.errors);
        self.slow.fetch_add(1, Ordering::Relaxed) + 1 >= cfg.slow_answers
    }

    /// An error; tells whether it is time for an ejection.
    pub(crate) fn failed(&self, cfg: &EjectSettings) -> bool {
        self.errors.fetch_add(1, Ordering::Relaxed) + 1 >= cfg.errors
    }

    /// A failed connection; tells whether it is time for an ejection.
    pub(crate) fn no_connection(&self, cfg: &EjectSettings) -> bool {
        let connects = self.connects.fetch_add(1, Ordering::Relaxed) + 1;
        self.failed(cfg) || connects >= cfg.connects
    }

    /// Leaves it out, for longer each time.
    pub(crate) fn eject(&self, now: Tick, cfg: &EjectSettings) {
        let rested = |back: Tick| now.since(back) > 2 * cfg.longest;
        if self.back_at().is_some_and(rested) {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        let until = now + ejection_time(cfg, earlier);
        self.ejected_until
            .store(until.as_micros(), Ordering::Relaxed);
        // One more failure after its return is enough to leave it out again:
        // the counts stay just below their bounds until an answer clears them.
        let below = |bound: u32| bound.saturating_sub(1);
        self.connects.store(below(cfg.connects), Ordering::Relaxed);
        self.errors.store(below(cfg.errors), Ordering::Relaxed);
        self.slow.store(below(cfg.slow_answers), Ordering::Relaxed);
    }

    /// Forgets everything, as for a new process.
    pub(crate) fn reset(&self) {
        self.good();
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until.store(0, Ordering::Relaxed);
    }
}

fn ejection_time(cfg: &EjectSettings, earlier: u32) -> Duration {
    let factor = 1 << earlier.min(MAX_DOUBLINGS);
    cfg.first.saturating_mul(factor).min(cfg.longest)
}

/// Writes only what isn't zero yet: good answers are the common case, and the
/// traffic threads shouldn't contend for a line that stays as it is.
fn clear(count: &AtomicU32) {
    if count.load(Ordering::Relaxed) != 0 {
        count.store(0, Ordering::Relaxed);
    }
}
