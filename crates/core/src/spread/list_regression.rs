//! Entries that lapse while the platform is away.

use std::time::Duration;

use crate::InstanceList;
use crate::InstanceState;
use crate::Tick;

/// Reads that fail for so long are an outage and no hiccup.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// How long after the platform's return an entry that is missing may still come
/// back: targets renew theirs within about two seconds, if they live.
const RENEWAL_GRACE: Duration = Duration::from_millis(2_300);

/// How long a list is doubted that lacks many entries though no outage was
/// seen. A leaving target may be sent requests for two seconds, and most entries
/// that lapsed are back by then.
const MASS_LOSS_GRACE: Duration = Duration::from_millis(1_500);

/// One of so many entries that go at once are many.
const MASS_LOSS_DIVISOR: usize = 4;

/// Tells lists that lack entries because of an outage from those that are so.
///
/// Targets renew their entries in the platform. While it is away none of them
/// can, and the first list after it is back may lack all of them, though all are
/// alive: taken at its word, there would be nobody to send requests to.
///
/// An outage need not show: a platform that only stops to answer leaves a watch
/// waiting, and answers it when it is back, in time. A list that lacks many
/// entries at once is therefore doubted for a shorter while as well.
#[derive(Debug, Default)]
pub(super) struct ListRegressionGuard {
    /// Since when reads of the list have failed.
    failing_since: Option<Tick>,
    /// Until when missing entries are waited for.
    grace_until: Option<Tick>,
    /// Until when a list without many of them is doubted.
    mass_loss_until: Option<Tick>,
}

impl ListRegressionGuard {
    /// Notes that a read of the list failed.
    pub(super) fn note_failure(&mut self, now: Tick) {
        self.failing_since.get_or_insert(now);
    }

    /// Notes that a read of the list was answered. `contact` is when the
    /// platform last answered any node before, as far as is known: if it did
    /// since reads failed here, it wasn't away. A node that it answered just now
    /// may only have come back a moment earlier.
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

    /// Until when an offered list is to wait, if it lacks live entries that may
    /// still come back.
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
        // The doubt begins with the first list that lacks many, also within the
        // time after an outage. Begun at the end of that, it would put the list off
        // for both times, and the word of a target that leaves with it.
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

/// How long an offered list is put off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Deferral {
    /// Until then.
    pub(super) until: Tick,
    /// Live entries that it lacks.
    pub(super) missing: u32,
}

/// Live entries that one list has and a later one lacks.
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

    /// Whether so many went at once that an outage is likelier than their end.
    fn is_mass_loss(&self) -> bool {
        self.entries > 1 && self.entries * MASS_LOSS_DIVISOR >= self.live
    }
}
