//! Requests that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use super::precedence::Precedence;
use super::took::Took;
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
    fn precedence(&self, took: &Took, now: Tick) -> Precedence {
        Precedence::of(took.expect(self.work), self.begin_by, now)
    }
}

/// Of so many requests that a class gets slots for, one is chosen by its time
/// alone: were the shortest always first, long ones would never have a turn
/// while short ones alone fill the target.
const TURN_OF_LONG: u32 = 8;

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
    /// Requests taken out of each class since a long one last had its turn.
    turns: [u32; Class::ALL.len()],
}

impl Queue {
    pub(super) fn new() -> Queue {
        Queue {
            waiting: SlotMap::with_key(),
            lines: Default::default(),
            counts: [0; Class::ALL.len()],
            standard_run: 0,
            turns: [0; Class::ALL.len()],
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

    /// How long the work takes of all that wait and go before a new request of
    /// `class`: all of classes above, and of its own those before it.
    pub(super) fn work_ahead(
        &self,
        class: Class,
        precedence: Precedence,
        took: &Took,
        now: Tick,
    ) -> Duration {
        let above = Class::ALL.into_iter().take_while(|above| *above < class);
        let above = above.flat_map(|above| self.line(above));
        let own = self.line(class);
        let own = own.filter(|waiting| waiting.precedence(took, now) <= precedence);
        above
            .chain(own)
            .map(|waiting| took.expect(waiting.work))
            .sum()
    }

    /// Those of a class that wait, in the order in which they came.
    fn line(&self, class: Class) -> impl Iterator<Item = &Waiting> {
        self.keys(class).map(|(_, waiting)| waiting)
    }

    /// Takes out the next to run, of the background only if it may.
    pub(super) fn pop(
        &mut self,
        now: Tick,
        took: &Took,
        standard_weight: u32,
        background: bool,
    ) -> Option<Waiting> {
        let class = self.next_class(standard_weight, background)?;
        match class {
            Class::Critical => {}
            Class::Standard => self.standard_run += 1,
            Class::Background => self.standard_run = 0,
        }
        let key = self.first_of(class, took, now)?;
        self.remove(key)
    }

    /// Who is first in a class; of equals the one that came first.
    fn first_of(&mut self, class: Class, took: &Took, now: Tick) -> Option<WaitKey> {
        let turn = &mut self.turns[class.index()];
        *turn = (*turn + 1) % TURN_OF_LONG;
        let long_too = *turn == 0;
        let held = self.keys(class);
        let by_precedence = held.min_by_key(|(_, waiting)| {
            let precedence = waiting.precedence(took, now);
            match long_too {
                true => precedence.by_time(),
                false => precedence,
            }
        });
        by_precedence.map(|(key, _)| key)
    }

    fn keys(&self, class: Class) -> impl DoubleEndedIterator<Item = (WaitKey, &Waiting)> {
        let line = self.lines[class.index()].iter().copied();
        line.filter_map(|key| Some((key, self.waiting.get(key)?)))
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

    /// Takes out the one that gives way to a new one, if there is one.
    pub(super) fn displace(
        &mut self,
        class: Class,
        precedence: Precedence,
        took: &Took,
        now: Tick,
    ) -> Option<Waiting> {
        let key = self.displaceable(class, precedence, took, now)?;
        self.remove(key)
    }

    /// Who gives way to a new one: the youngest of the least urgent class below its
    /// own, else the last of its own.
    pub(super) fn displaceable(
        &self,
        class: Class,
        precedence: Precedence,
        took: &Took,
        now: Tick,
    ) -> Option<WaitKey> {
        let below = Class::ALL.into_iter().rev().take_while(|c| *c > class);
        let mut youngest = below.filter_map(|below| self.lines[below.index()].back().copied());
        let behind = || self.last_behind(class, precedence, took, now);
        youngest.next().or_else(behind)
    }

    /// The last of a class, if it is behind a new one by more than the time at which
    /// it has to begin; of equals the youngest.
    fn last_behind(
        &self,
        class: Class,
        precedence: Precedence,
        took: &Took,
        now: Tick,
    ) -> Option<WaitKey> {
        let held = self.keys(class);
        let held = held.map(|(key, waiting)| (key, waiting.precedence(took, now)));
        // Of equals the youngest, which comes last.
        let last = held.reduce(|last, next| if last.1.is_behind(next.1) { last } else { next });
        last.filter(|(_, last)| last.is_behind(precedence))
            .map(|(key, _)| key)
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
