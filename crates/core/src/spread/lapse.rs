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

/// Tells lists that lack entries because of an outage from those that are so.
///
/// Targets renew their entries in the platform. While it is away none of them
/// can, and the first list after it is back may lack all of them, though all are
/// alive: taken at its word, there would be nobody to send requests to.
#[derive(Debug, Default)]
pub(super) struct Lapse {
    /// Since when reads of the list have failed.
    failing: Option<Tick>,
    /// Until when missing entries are waited for.
    until: Option<Tick>,
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
        &self,
        now: Tick,
        held: Option<&InstanceList>,
        offered: &InstanceList,
    ) -> Option<Tick> {
        let until = self.until.filter(|until| now < *until)?;
        let lost = held.is_some_and(|held| lacks_live(held, offered));
        lost.then_some(until)
    }
}

fn lacks_live(held: &InstanceList, offered: &InstanceList) -> bool {
    let mut live = held.iter().filter(|it| it.state == InstanceState::Live);
    live.any(|it| offered.get(&it.id).is_none())
}
