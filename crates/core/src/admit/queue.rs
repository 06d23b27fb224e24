//! Requests that wait for a slot.

use std::collections::VecDeque;

use slotmap::SlotMap;

use super::took::Work;
use super::wake::Waker;
use crate::Class;
use crate::Tick;

slotmap::new_key_type! {
    /// Names a waiting request.
    pub(super) struct WaitKey;
}

/// A request that waits.
pub(super) struct Waiting {
    pub(super) work: Work,
    pub(super) until: Tick,
    /// The last moment at which it can begin and its answer still be worth
    /// most; absent if it is worth the same at any time.
    pub(super) begin_by: Option<Tick>,
    pub(super) waker: Waker,
}

impl Waiting {
    /// Whether its answer can still come while it is worth most.
    pub(super) fn is_in_time(&self, now: Tick) -> bool {
        self.begin_by.is_none_or(|begin_by| now <= begin_by)
    }
}

/// The queue of a target.
///
/// # Invariants
///
/// Every entry of `waiting` stands once in the line of its class; a line may
/// also hold keys of entries that left, which are passed over.
pub(super) struct Queue {
    waiting: SlotMap<WaitKey, Waiting>,
    lines: [VecDeque<WaitKey>; Class::ALL.len()],
    counts: [usize; Class::ALL.len()],
    standard_run: u32,
}

impl Queue {
    pub(super) fn new() -> Queue {
        Queue {
            waiting: SlotMap::with_key(),
            lines: Default::default(),
            counts: [0; Class::ALL.len()],
            standard_run: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// How many wait that go before a new one of `class`.
    pub(super) fn ahead_of(&self, class: Class) -> usize {
        self.counts[..=class.index()].iter().sum()
    }

    pub(super) fn push(&mut self, waiting: Waiting) -> WaitKey {
        let class = waiting.work.class.index();
        let key = self.waiting.insert(waiting);
        self.lines[class].push_back(key);
        self.counts[class] += 1;
        key
    }

    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let gone = self.waiting.remove(key)?;
        let class = gone.work.class.index();
        self.counts[class] -= 1;
        let line = &mut self.lines[class];
        while line
            .front()
            .is_some_and(|key| !self.waiting.contains_key(*key))
        {
            line.pop_front();
        }
        while line
            .back()
            .is_some_and(|key| !self.waiting.contains_key(*key))
        {
            line.pop_back();
        }
        // A line whose ends stay while those between them leave would grow
        // without bound; it is swept once half of it is stale.
        if line.len() > 2 * self.counts[class] + 8 {
            line.retain(|key| self.waiting.contains_key(*key));
        }
        Some(gone)
    }

    /// How many wait that go before a new one of `class` that is to begin by
    /// then: all of classes above, and of its own those that are as urgent.
    pub(super) fn ahead_in_time(&self, class: Class, begin_by: Option<Tick>, now: Tick) -> usize {
        let above: usize = self.counts[..class.index()].iter().sum();
        let own = self.line(class);
        let goes_before = |waiting: &&Waiting| {
            waiting.is_in_time(now) && rank(waiting.begin_by) <= rank(begin_by)
        };
        above + own.filter(goes_before).count()
    }

    /// Those of a class that wait, in the order in which they came.
    fn line(&self, class: Class) -> impl Iterator<Item = &Waiting> {
        let line = self.lines[class.index()].iter();
        line.filter_map(|key| self.waiting.get(*key))
    }

    /// Takes out the next to run, of the background only if it may.
    pub(super) fn pop(
        &mut self,
        now: Tick,
        standard_weight: u32,
        background: bool,
    ) -> Option<Waiting> {
        let class = self.next_class(standard_weight, background)?;
        match class {
            Class::Critical => {}
            Class::Standard => self.standard_run += 1,
            Class::Background => self.standard_run = 0,
        }
        let key = self.first_of(class, now)?;
        self.remove(key)
    }

    /// Who is first in a class: of those that can be in time the one that has
    /// to begin first, else the one that came first.
    fn first_of(&self, class: Class, now: Tick) -> Option<WaitKey> {
        let line = self.lines[class.index()].iter().copied();
        let held = line.filter_map(|key| Some((key, self.waiting.get(key)?)));
        let in_time = held.clone().filter(|(_, waiting)| waiting.is_in_time(now));
        let urgent = in_time.min_by_key(|(_, waiting)| rank(waiting.begin_by));
        let found = urgent.or_else(|| held.clone().next());
        found.map(|(key, _)| key)
    }

    fn next_class(&self, standard_weight: u32, background: bool) -> Option<Class> {
        let waits = |class: Class| self.counts[class.index()] > 0;
        let background = background && waits(Class::Background);
        if waits(Class::Critical) {
            return Some(Class::Critical);
        }
        if waits(Class::Standard) && !(background && self.standard_run >= standard_weight) {
            return Some(Class::Standard);
        }
        background.then_some(Class::Background)
    }

    /// Takes out the youngest of a class that can't be in time any more.
    pub(super) fn displace_late(&mut self, class: Class, now: Tick) -> Option<Waiting> {
        let line = self.lines[class.index()].iter().rev().copied();
        let late = |key: &WaitKey| {
            let waiting = self.waiting.get(*key);
            waiting.is_some_and(|waiting| !waiting.is_in_time(now))
        };
        let key = line.into_iter().find(late)?;
        self.remove(key)
    }

    /// Takes out the youngest of the least urgent class below `class`.
    pub(super) fn displace(&mut self, class: Class) -> Option<Waiting> {
        let less_urgent = Class::ALL.into_iter().rev().take_while(|c| *c > class);
        for class in less_urgent {
            if let Some(key) = self.lines[class.index()].back().copied() {
                return self.remove(key);
            }
        }
        None
    }

    /// Takes out everything whose time is over.
    pub(super) fn expired(&mut self, now: Tick) -> Vec<Waiting> {
        let over = |waiting: &Waiting| waiting.until <= now;
        let keys: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| over(waiting))
            .collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key).collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Takes out everything.
    pub(super) fn clear(&mut self) -> Vec<Waiting> {
        let keys: Vec<_> = self.waiting.keys().collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }
}

/// Puts those that are worth the same at any time behind those that aren't.
fn rank(begin_by: Option<Tick>) -> Tick {
    begin_by.unwrap_or(Tick::from_micros(u64::MAX))
}
