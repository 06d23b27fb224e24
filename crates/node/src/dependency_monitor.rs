//! Logs when a dependency of the node stops answering and when it answers again.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::log::micros;

/// Whether a dependency of the node answered the last time.
///
/// One line is logged when this changes and none for each failure in between: an
/// outage in which every read fails would fill the log. The line at the end has
/// the length of the outage and the number of failed attempts. Few attempts in
/// many seconds mean long waits between them; the dependency may have been back
/// long before.
#[derive(Debug)]
pub(crate) struct DependencyMonitor {
    name: &'static str,
    lost: AtomicBool,
    outage: Mutex<Option<Outage>>,
}

/// A period in which a dependency doesn't answer.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Instant,
    failures: u32,
}

/// A change of a dependency's availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AvailabilityChange {
    /// The dependency has stopped answering.
    Lost,
    /// The dependency answers again.
    Regained {
        /// Attempts without an answer during the outage.
        failures: u32,
    },
}

impl DependencyMonitor {
    /// A dependency that is assumed to answer; `name` is its name in the log.
    pub(crate) const fn new(name: &'static str) -> DependencyMonitor {
        DependencyMonitor {
            name,
            lost: AtomicBool::new(false),
            outage: Mutex::new(None),
        }
    }

    /// Records that `peer` answered.
    pub(crate) fn record_success(&self, peer: impl fmt::Display) -> Option<AvailabilityChange> {
        // In the usual case nothing is written to memory shared with other threads.
        if !self.lost.load(Ordering::Relaxed) || !self.lost.swap(false, Ordering::Relaxed) {
            return None;
        }
        let outage = self.with_outage(Option::take)?;
        let after_ms = micros(outage.since.elapsed()) / 1_000;
        let failures = outage.failures;
        tracing::info!(dependency = self.name, %peer, after_ms, missed = failures, "regained");
        Some(AvailabilityChange::Regained { failures })
    }

    /// Records that `peer` didn't answer, and why.
    pub(crate) fn record_failure(
        &self,
        peer: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Option<AvailabilityChange> {
        let failures = self.with_outage(|outage| {
            let started = Outage {
                since: Instant::now(),
                failures: 0,
            };
            let outage = outage.get_or_insert(started);
            outage.failures = outage.failures.saturating_add(1);
            outage.failures
        });
        self.lost.store(true, Ordering::Relaxed);
        if failures > 1 {
            return None;
        }
        tracing::warn!(dependency = self.name, %peer, %reason, "lost");
        Some(AvailabilityChange::Lost)
    }

    fn with_outage<T>(&self, f: impl FnOnce(&mut Option<Outage>) -> T) -> T {
        f(&mut self.outage.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
