//! What the node depends on, and when that is lost and regained.

use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether something that the node depends on answered the last time.
///
/// The log has a line when that changes and none for each time in between: an
/// outage in which every read fails would fill it.
#[derive(Debug)]
pub(crate) struct Reach {
    name: &'static str,
    lost: AtomicBool,
}

/// A change of what is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// It doesn't answer any more.
    Lost,
    /// It answers again.
    Regained,
}

impl Reach {
    /// Something that is taken to answer until it doesn't.
    pub(crate) const fn new(name: &'static str) -> Reach {
        Reach {
            name,
            lost: AtomicBool::new(false),
        }
    }

    /// Notes that `peer` answered.
    pub(crate) fn found(&self, peer: impl fmt::Display) -> Option<Change> {
        // The usual case writes nothing that other threads share.
        if !self.lost.load(Ordering::Relaxed) || !self.lost.swap(false, Ordering::Relaxed) {
            return None;
        }
        tracing::info!(dependency = self.name, %peer, "regained");
        Some(Change::Regained)
    }

    /// Notes that `peer` didn't answer, and why.
    pub(crate) fn missed(
        &self,
        peer: impl fmt::Display,
        reason: impl fmt::Display,
    ) -> Option<Change> {
        if self.lost.swap(true, Ordering::Relaxed) {
            return None;
        }
        tracing::warn!(dependency = self.name, %peer, %reason, "lost");
        Some(Change::Lost)
    }
}

#[cfg(test)]
mod tests;
