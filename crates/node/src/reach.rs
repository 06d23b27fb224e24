//! What the node depends on, and when that is lost and regained.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::log::micros;

/// Whether something that the node depends on answered the last time.
///
/// The log has a line when that changes and none for each time in between: an
/// outage in which every read fails would fill it. The line at its end tells how
/// long it was and how often it was tried in between: a few tries in many seconds
/// were waits, and the dependency may have been back long before.
#[derive(Debug)]
pub(crate) struct Reach {
    name: &'static str,
    lost: AtomicBool,
    outage: Mutex<Option<Outage>>,
}

/// A time in which a dependency doesn't answer.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Instant,
    missed: u32,
}

/// A change of what is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// It doesn't answer any more.
    Lost,
    /// It answers again, after so many tries that it didn't.
    Regained {
        /// Tries without an answer.
        missed: u32,
    },
}

impl Reach {
    /// Something that is taken to answer until it doesn't.
    pub(crate) const fn new(name: &'static str) -> Reach {
        Reach {
            name,
            lost: AtomicBool::new(false),
            outage: Mutex::new(None),
        }
    }

    /// Notes that `peer` answered.
    pub(crate) fn found(&self, peer: impl fmt::Display) -> Option<Change> {
        // The usual case writes nothing that other threads share.
        if !self.lost.load(Ordering::Relaxed) || !self.lost.swap(false, Ordering::Relaxed) {
            return None;
        }
        let outage = self.with_outage(Option::take)?;
        let after_ms = micros(outage.since.elapsed()) / 1_000;
        let missed = outage.missed;
        tracing::info!(dependency = self.name, %peer, after_ms, missed, "regained");
        Some(Change::Regained { missed })
    }

    /// Notes that `peer` didn't answer, and why.
    pub(crate) fn missed(
        &self,
        peer: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Option<Change> {
        let missed = self.with_outage(|outage| {
            let begun = Outage {
                since: Instant::now(),
                missed: 0,
            };
            let outage = outage.get_or_insert(begun);
            outage.missed = outage.missed.saturating_add(1);
            outage.missed
        });
        self.lost.store(true, Ordering::Relaxed);
        if missed > 1 {
            return None;
        }
        tracing::warn!(dependency = self.name, %peer, %reason, "lost");
        Some(Change::Lost)
    }

    fn with_outage<T>(&self, f: impl FnOnce(&mut Option<Outage>) -> T) -> T {
        f(&mut self.outage.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
