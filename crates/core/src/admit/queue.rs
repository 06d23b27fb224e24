//! Requests that wait for a slot.

use std::collections::VecDeque;

use slotmap::SlotMap;

use super::wake::Waker;
use crate::Class;
use crate::Tick;

slotmap::new_key_type! {
    /// Names a waiting request.
    pub(super) struct WaitKey;
}

/// A request that waits.
pub(super) struct Waiting {
    pub(super) class: Class,
    pub(super) until: Tick,
    pub(super) waker: Waker,
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
        let class = waiting.class.index();
        let key = self.waiting.insert(waiting);
        self.lines[class].push_back(key);
        self.counts[class] += 1;
        key
    }

    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let gone = self.waiting.remove(key)?;
        let class = gone.class.index();
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

    /// Takes out the next to run, of the background only if it may.
    pub(super) fn pop(&mut self, standard_weight: u32, background: bool) -> Option<Waiting> {
        let class = self.next_class(standard_weight, background)?;
        match class {
            Class::Critical => {}
            Class::Standard => self.standard_run += 1,
            Class::Background => self.standard_run = 0,
        }
        let key = *self.lines[class.index()].front()?;
        self.remove(key)
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
