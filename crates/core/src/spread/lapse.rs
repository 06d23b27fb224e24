//! Entries that lapse while the platform is away.

use std::time::Duration;

use crate::InstanceList;
use crate::InstanceState;
use crate::Tick;

/// Reads that fail for so long are an outage and no hiccup.
const OUTAGE: Duration = Duration::from_secs(1);

/// How long after the platform's return an entry that is missing may still come
/// back: targets renew theirs within about two seconds, if they live.
const BACK_WITHIN: Duration = Duration::from_millis(2_300);

/// How long a list is doubted that lacks many entries though no outage was
/// seen. A leaving target may be sent requests for two seconds, and most entries
/// that lapsed are back by then.
const DOUBTED_FOR: Duration = Duration::from_millis(1_500);

/// One of so many entries that go at once are many.
const DOUBTED_SHARE_DIVISOR: usize = 4;

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
pub(super) struct Lapse {
    /// Since when reads of the list have failed.
    failing: Option<Tick>,
    /// Until when missing entries are waited for.
    until: Option<Tick>,
    /// Until when a list without many of them is doubted.
    doubted: Option<Tick>,
}

impl Lapse {
    /// Notes that a read of the list failed.
    pub(super) fn failed(&mut self, now: Tick) {
        self.failing.get_or_insert(now);
    }

    /// Notes that a read of the list was answered. `contact` is when the
    /// platform last answered any node before, as far as is known: if it did
    /// since reads failed here, it wasn't away. A node that it answered just now
    /// may only have come back a moment earlier.
    pub(super) fn answered(&mut self, now: Tick, contact: Option<Tick>) {
        let Some(since) = self.failing.take() else {
            return;
        };
        let before = |contact: Tick| contact <= since;
        let just_now = |contact: Tick| now.since(contact) < BACK_WITHIN;
        let away = contact.is_none_or(|contact| before(contact) || just_now(contact));
        if away && now.since(since) >= OUTAGE {
            self.until = Some(now + BACK_WITHIN);
        }
    }

    /// Until when an offered list is to wait, if it lacks live entries that may
    /// still come back.
    pub(super) fn waits(
        &mut self,
        now: Tick,
        held: Option<&InstanceList>,
        offered: &InstanceList,
    ) -> Option<Wait> {
        let lost = Lost::count(held, offered);
        if lost.entries == 0 {
            self.doubted = None;
            return None;
        }
        // The doubt begins with the first list that lacks many, also within the
        // time after an outage. Begun at the end of that, it would put the list off
        // for both times, and the word of a target that leaves with it.
        if lost.is_many() {
            self.doubted.get_or_insert(now + DOUBTED_FOR);
        } else {
            self.doubted = None;
        }
        let until = self.until.max(self.doubted);
        if let Some(until) = until.filter(|until| now < *until) {
            return Some(lost.wait(until));
        }
        self.doubted = None;
        None
    }
}

/// How long an offered list is put off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wait {
    /// Until then.
    pub(super) until: Tick,
    /// Live entries that it lacks.
    pub(super) missing: u32,
}

/// Live entries that one list has and a later one lacks.
#[derive(Debug)]
struct Lost {
    entries: usize,
    live: usize,
}

impl Lost {
    fn count(held: Option<&InstanceList>, offered: &InstanceList) -> Lost {
        let held = held.into_iter().flat_map(InstanceList::iter);
        let live: Vec<_> = held.filter(|it| it.state == InstanceState::Live).collect();
        let lost = live.iter().filter(|it| offered.get(&it.id).is_none());
        Lost {
            entries: lost.count(),
            live: live.len(),
        }
    }

    fn wait(&self, until: Tick) -> Wait {
        Wait {
            until,
            missing: u32::try_from(self.entries).unwrap_or(u32::MAX),
        }
    }

    /// Whether so many went at once that an outage is likelier than their end.
    fn is_many(&self) -> bool {
        self.entries > 1 && self.entries * DOUBTED_SHARE_DIVISOR >= self.live
    }
}
