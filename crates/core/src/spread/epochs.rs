//! The epochs of the platform that a node has observed.

use std::time::Duration;

use crate::Epoch;
use crate::Heads;
use crate::Revision;
use crate::Tick;

/// How long after its first answer an epoch counts as unsettled. Operators and live targets
/// repeat their lost writes within about 2 s of the platform's return.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(2_300);

/// The newest epoch of the platform and the newest settled one.
///
/// A platform that returns from an older copy begins an epoch. Its first contents are those
/// of the copy: routes, evacuations and announcements of leaving targets may be missing. What
/// is read of an unsettled epoch is provisional, and doesn't replace what is held.
///
/// # Invariants
///
/// Both epochs only grow.
#[derive(Debug, Default)]
pub(super) struct Epochs {
    settled: Epoch,
    newest: Option<ObservedEpoch>,
}

#[derive(Debug, Clone, Copy)]
struct ObservedEpoch {
    epoch: Epoch,
    at: Tick,
}

impl Epochs {
    /// A revision that the platform reported, as provisional if its epoch hasn't settled.
    pub(super) fn qualify(&self, revision: Revision) -> Revision {
        match revision.epoch() <= self.settled {
            true => revision.settled(),
            false => revision.provisional(),
        }
    }

    /// Whether the platform has more to say of a revision that is known: it is in a later
    /// epoch, or the revision was read before its epoch settled.
    pub(super) fn is_outdated(&self, known: Revision) -> bool {
        let later = self
            .newest
            .is_some_and(|newest| newest.epoch > known.epoch());
        later || (known.is_provisional() && known.epoch() <= self.settled)
    }

    /// Records an epoch in which the platform answered. Returns the newest one before, if
    /// this one is newer.
    pub(super) fn observe(&mut self, now: Tick, epoch: Epoch) -> Option<Epoch> {
        let newest = self.newest.map(|newest| newest.epoch);
        if newest.is_some_and(|newest| newest >= epoch) {
            return None;
        }
        self.newest = Some(ObservedEpoch { epoch, at: now });
        let before = newest.unwrap_or(self.settled);
        (before < epoch).then_some(before)
    }

    /// Records the versions that a peer holds: a settled one shows that its epoch is settled.
    pub(super) fn note_heads(&mut self, heads: Heads) {
        let revisions = heads.iter().map(|head| head.version.revision());
        let settled = revisions.filter(|revision| !revision.is_provisional());
        let newest = settled.map(Revision::epoch).max();
        self.settled = newest.map_or(self.settled, |newest| newest.max(self.settled));
    }

    /// When the newest epoch will be settled; `None` if it is already.
    pub(super) fn settle_due(&self) -> Option<Tick> {
        let newest = self.newest?;
        let unsettled = newest.epoch > self.settled;
        unsettled.then(|| newest.at + SETTLE_TIME)
    }

    /// Settles the newest epoch if its time has come.
    pub(super) fn settle_if_due(&mut self, now: Tick) {
        if let (Some(due), Some(newest)) = (self.settle_due(), self.newest)
            && due <= now
        {
            self.settled = newest.epoch;
        }
    }
}
