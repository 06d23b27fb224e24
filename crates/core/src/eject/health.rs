//! The failure counts and ejection of one endpoint.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::EjectSettings;
use crate::Tick;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// Recent consecutive failures of one endpoint, and its ejection.
///
/// The counts are independent atomics: threads that race may lose one step of a count, which
/// only delays an ejection by one request.
#[derive(Debug, Default)]
pub(crate) struct Health {
    connect_failures: AtomicU32,
    errors: AtomicU32,
    slow: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
}

impl Health {
    /// Whether the endpoint is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Tick) -> bool {
        now.as_micros() < self.ejected_until.load(Ordering::Relaxed)
    }

    /// When the last ejection ended or will end, if there was one.
    pub(crate) fn ejection_ends_at(&self) -> Option<Tick> {
        let until = self.ejected_until.load(Ordering::Relaxed);
        (until > 0).then(|| Tick::from_micros(until))
    }

    /// Records a good answer.
    pub(crate) fn record_success(&self) {
        clear(&self.connect_failures);
        clear(&self.errors);
        clear(&self.slow);
    }

    /// Records a response that shows a working connection but doesn't clear errors.
    pub(crate) fn record_response(&self) {
        clear(&self.connect_failures);
    }

    /// Records a slow answer; returns whether the endpoint is to be ejected.
    pub(crate) fn record_slow(&self, cfg: &EjectSettings) -> bool {
        clear(&self.connect_failures);
        clear(&self.errors);
        self.slow.fetch_add(1, Ordering::Relaxed) + 1 >= cfg.slow_answers
    }

    /// Records an error; returns whether the endpoint is to be ejected.
    pub(crate) fn record_error(&self, cfg: &EjectSettings) -> bool {
        self.errors.fetch_add(1, Ordering::Relaxed) + 1 >= cfg.errors
    }

    /// Records a failed connection; returns whether the endpoint is to be ejected.
    pub(crate) fn record_connect_failure(&self, cfg: &EjectSettings) -> bool {
        let connect_failures = self.connect_failures.fetch_add(1, Ordering::Relaxed) + 1;
        self.record_error(cfg) || connect_failures >= cfg.connect_failures
    }

    /// Ejects the endpoint, for longer each time.
    pub(crate) fn eject(&self, now: Tick, cfg: &EjectSettings) {
        let rested = |back: Tick| now.since(back) > 2 * cfg.max_ejection;
        if self.ejection_ends_at().is_some_and(rested) {
            self.ejections.store(0, Ordering::Relaxed);
        }
        let earlier = self.ejections.fetch_add(1, Ordering::Relaxed);
        let until = now + ejection_time(cfg, earlier);
        self.ejected_until
            .store(until.as_micros(), Ordering::Relaxed);
        // One more failure after the readmission is enough for another ejection: the counts
        // stay just below their thresholds until a good answer clears them.
        let just_below = |threshold: u32| threshold.saturating_sub(1);
        self.connect_failures
            .store(just_below(cfg.connect_failures), Ordering::Relaxed);
        self.errors.store(just_below(cfg.errors), Ordering::Relaxed);
        self.slow
            .store(just_below(cfg.slow_answers), Ordering::Relaxed);
    }

    /// Resets counts and ejections for a new process.
    pub(crate) fn reset(&self) {
        self.record_success();
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until.store(0, Ordering::Relaxed);
    }
}

fn ejection_time(cfg: &EjectSettings, earlier: u32) -> Duration {
    let factor = 1 << earlier.min(MAX_DOUBLINGS);
    cfg.first_ejection
        .saturating_mul(factor)
        .min(cfg.max_ejection)
}

/// Sets a count to zero, writing only if it isn't. Good answers are the common case, and the
/// traffic threads shouldn't contend for an unchanged cache line.
fn clear(count: &AtomicU32) {
    if count.load(Ordering::Relaxed) != 0 {
        count.store(0, Ordering::Relaxed);
    }
}
