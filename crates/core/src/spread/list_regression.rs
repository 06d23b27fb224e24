//! Detection of instance lists that lack entries because of a platform outage.

use std::time::Duration;

use crate::InstanceList;
use crate::InstanceState;
use crate::Tick;

/// Reads that fail for at least this long count as an outage.
pub(super) const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// How long after the platform's return missing entries may come back: live
/// targets renew theirs within about 2 s.
pub(super) const RENEWAL_GRACE: Duration = Duration::from_millis(2_300);

/// How long a list that lacks many entries is deferred if no outage was observed.
/// A leaving target may be sent requests for 2 s, and most expired entries are
/// back within this time.
const MASS_LOSS_GRACE: Duration = Duration::from_millis(1_500);

/// If one in this many live entries vanishes at once, the list is deferred.
const MASS_LOSS_DIVISOR: usize = 4;

/// Distinguishes lists that lack entries because of an outage from lists whose
/// entries were removed.
///
/// Targets renew their entries in the platform. During an outage they can't,
/// and the first list afterwards may lack all entries although all targets are
/// alive. If that list were accepted, there would be no target to send requests
/// to.
///
/// An outage may go undetected: a platform that only stops answering leaves a
/// watch open and answers it in time after it recovers. Therefore a list that
/// lacks many entries at once is deferred as well, for a shorter time.
#[derive(Debug, Default)]
pub(super) struct ListRegressionGuard {
    /// Since when reads of the list have failed.
    failing_since: Option<Tick>,
    /// Since when nothing was proved in the last outage that ended.
    last_outage_since: Option<Tick>,
    /// Until when missing entries may come back after an outage.
    grace_until: Option<Tick>,
    /// Until when a list that lacks many entries is deferred.
    mass_loss_until: Option<Tick>,
}

impl ListRegressionGuard {
    /// Records that a read of the list failed.
    pub(super) fn note_failure(&mut self, now: Tick) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the platform answered after an outage since `since`, once for each outage.
    ///
    /// A deferred list proves nothing, so that the same outage is seen again until the list is
    /// accepted, and proofs of other nodes change its time by their transit times.
    pub(super) fn note_return(&mut self, now: Tick, since: Tick) {
        let known = self.last_outage_since.map(|known| known + MIN_OUTAGE);
        if known.is_none_or(|known| since >= known) {
            self.last_outage_since = Some(since);
            self.grace_until = Some(now + RENEWAL_GRACE);
        }
    }

    /// Records that a read of the list was answered.
    ///
    /// `contact` is when the platform last answered any node before, as far as
    /// is known. If it answered since reads failed here, there was no outage,
    /// unless that answer is so recent that the platform may have returned only
    /// just before it.
    pub(super) fn note_answer(&mut self, now: Tick, contact: Option<Tick>) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let before = |contact: Tick| contact <= since;
        let just_now = |contact: Tick| now.since(contact) < RENEWAL_GRACE;
        let away = contact.is_none_or(|contact| before(contact) || just_now(contact));
        if away && now.since(since) >= MIN_OUTAGE {
            self.grace_until = Some(now + RENEWAL_GRACE);
        }
    }

    /// Until when an offered list is deferred, if it lacks live entries that
    /// may still come back.
    pub(super) fn defer(
        &mut self,
        now: Tick,
        held: Option<&InstanceList>,
        offered: &InstanceList,
    ) -> Option<Deferral> {
        let missing = MissingEntries::count(held, offered);
        if missing.entries == 0 {
            self.mass_loss_until = None;
            return None;
        }
        // The time starts with the first list that lacks many entries, even
        // within the grace period after an outage. If it started at the end of
        // that period, the list would be deferred for both times, and so would
        // a target's announcement that it leaves.
        if missing.is_mass_loss() {
            self.mass_loss_until.get_or_insert(now + MASS_LOSS_GRACE);
        } else {
            self.mass_loss_until = None;
        }
        let until = self.grace_until.max(self.mass_loss_until);
        if let Some(until) = until.filter(|until| now < *until) {
            return Some(missing.deferral(until));
        }
        self.mass_loss_until = None;
        None
    }
}

/// The deferral of an offered list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Deferral {
    /// When the list may be accepted.
    pub(super) until: Tick,
    /// Number of live entries that the list lacks.
    pub(super) missing: u32,
}

/// Live entries of one list that a later list lacks.
#[derive(Debug)]
struct MissingEntries {
    entries: usize,
    live: usize,
}

impl MissingEntries {
    fn count(held: Option<&InstanceList>, offered: &InstanceList) -> MissingEntries {
        let held = held.into_iter().flat_map(InstanceList::iter);
        let live: Vec<_> = held.filter(|it| it.state == InstanceState::Live).collect();
        let missing = live.iter().filter(|it| offered.get(&it.id).is_none());
        MissingEntries {
            entries: missing.count(),
            live: live.len(),
        }
    }

    fn deferral(&self, until: Tick) -> Deferral {
        Deferral {
            until,
            missing: u32::try_from(self.entries).unwrap_or(u32::MAX),
        }
    }

    /// Whether so many entries vanished at once that an outage is likelier than
    /// the end of these targets.
    fn is_mass_loss(&self) -> bool {
        self.entries > 1 && self.entries * MASS_LOSS_DIVISOR >= self.live
    }
}
