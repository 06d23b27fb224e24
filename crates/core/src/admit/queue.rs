//! The queue of requests that wait for a slot.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use super::precedence::Precedence;
use super::service_times::ServiceTimes;
use super::service_times::WorkType;
use super::wake::Waker;
use crate::Class;
use crate::Tick;

slotmap::new_key_type! {
    /// Identifies a queued request.
    pub(super) struct WaitKey;
}

/// A queued request.
pub(super) struct Waiting {
    pub(super) work: WorkType,
    pub(super) expires_at: Tick,
    /// The last moment at which the request can start and still meet its soft deadline;
    /// absent without a soft deadline.
    pub(super) latest_start: Option<Tick>,
    /// Whether the caller is returning at the time that it was told.
    pub(super) returning: bool,
    pub(super) waker: Waker,
}

impl Waiting {
    fn precedence(&self, times: &ServiceTimes, now: Tick) -> Precedence {
        let precedence = Precedence::new(times.expected(self.work), self.latest_start, now);
        precedence.with_returning(self.returning)
    }
}

/// One in so many dequeues of a class chooses the request by its latest start alone. If the
/// shortest request always went first, long ones would starve while short ones alone fill
/// the target.
const IGNORE_COST_INTERVAL: u32 = 8;

/// One in so many dequeues of a class prefers newcomers to returning callers. If returning
/// callers always went first, newcomers would starve while these alone fill the target. They
/// would as well if that dequeue merely ignored who is returning, because a returning caller
/// has less time left and therefore goes first.
const NEWCOMER_INTERVAL: u32 = 4;

// Both intervals are counted together.
const _: () = assert!(IGNORE_COST_INTERVAL.is_multiple_of(NEWCOMER_INTERVAL));

/// The queue of a target.
///
/// # Invariants
///
/// The key of every entry of `waiting` is in the queue of its class once. A class queue may
/// also hold stale keys of removed entries, which are skipped.
pub(super) struct Queue {
    waiting: SlotMap<WaitKey, Waiting>,
    class_queues: [VecDeque<WaitKey>; Class::ALL.len()],
    counts: [usize; Class::ALL.len()],
    /// Standard requests dequeued since the last background request.
    standard_since_background: u32,
    /// Requests dequeued of each class since one was last chosen regardless of its cost.
    dequeues: [u32; Class::ALL.len()],
}

impl Queue {
    pub(super) fn new() -> Queue {
        Queue {
            waiting: SlotMap::with_key(),
            class_queues: Default::default(),
            counts: [0; Class::ALL.len()],
            standard_since_background: 0,
            dequeues: [0; Class::ALL.len()],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// How many queued requests may go before a new one of `class`: all but the less urgent.
    pub(super) fn count_ahead(&self, class: Class) -> usize {
        self.counts[..=class.index()].iter().sum()
    }

    /// How many queued requests may go before a new one of a returning caller: the more urgent
    /// ones, and those of its class whose callers are returning too.
    pub(super) fn count_ahead_of_returning(&self, class: Class) -> usize {
        let above: usize = self.counts[..class.index()].iter().sum();
        let own = self.waiting_in(class).filter(|waiting| waiting.returning);
        above + own.count()
    }

    pub(super) fn push(&mut self, waiting: Waiting) -> WaitKey {
        let class = waiting.work.class.index();
        let key = self.waiting.insert(waiting);
        self.class_queues[class].push_back(key);
        self.counts[class] += 1;
        key
    }

    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let removed = self.waiting.remove(key)?;
        let class = removed.work.class.index();
        self.counts[class] -= 1;
        let class_queue = &mut self.class_queues[class];
        while class_queue
            .front()
            .is_some_and(|key| !self.waiting.contains_key(*key))
        {
            class_queue.pop_front();
        }
        while class_queue
            .back()
            .is_some_and(|key| !self.waiting.contains_key(*key))
        {
            class_queue.pop_back();
        }
        // A class queue whose ends stay while the entries between them leave would grow
        // without bound. It is compacted once half of it is stale.
        if class_queue.len() > 2 * self.counts[class] + 8 {
            class_queue.retain(|key| self.waiting.contains_key(*key));
        }
        Some(removed)
    }

    /// The total service time of the queued requests that go before a new one of `class`:
    /// all of more urgent classes, and those of its own class that precede it.
    pub(super) fn work_ahead(
        &self,
        class: Class,
        precedence: Precedence,
        times: &ServiceTimes,
        now: Tick,
    ) -> Duration {
        let above = Class::ALL.into_iter().take_while(|above| *above < class);
        let above = above.flat_map(|above| self.waiting_in(above));
        let own = self.waiting_in(class);
        let own = own.filter(|waiting| waiting.precedence(times, now) <= precedence);
        let (mut newcomers, mut returning) = (0, 0);
        let (mut work, mut returning_work) = (Duration::ZERO, Duration::ZERO);
        for waiting in own {
            let took = times.expected(waiting.work);
            if waiting.returning {
                returning += 1;
                returning_work += took;
            } else {
                newcomers += 1;
                work += took;
            }
        }
        // Newcomers don't wait for all returning callers: every fourth one goes first.
        let at_most = (NEWCOMER_INTERVAL - 1) * (newcomers + 1);
        if precedence.is_newcomer() && returning > at_most {
            returning_work = returning_work * at_most / returning;
        }
        let above = above.map(|waiting| times.expected(waiting.work));
        above.sum::<Duration>() + work + returning_work
    }

    /// Whether returning callers fill their share of `places` in the queue. The rest is left
    /// to newcomers: if none of them were queued, no dequeue could prefer them.
    pub(super) fn has_returning_share(&self, places: usize) -> bool {
        let returning = self.waiting.values().filter(|waiting| waiting.returning);
        let interval = NEWCOMER_INTERVAL as usize;
        returning.count() >= places - places.div_ceil(interval)
    }

    /// The queued requests of a class in their order of arrival.
    fn waiting_in(&self, class: Class) -> impl Iterator<Item = &Waiting> {
        self.entries(class).map(|(_, waiting)| waiting)
    }

    /// Removes the next request to run; a background request only if `background` is set.
    pub(super) fn pop(
        &mut self,
        now: Tick,
        times: &ServiceTimes,
        standard_weight: u32,
        background: bool,
    ) -> Option<Waiting> {
        let class = self.next_class(standard_weight, background)?;
        match class {
            Class::Critical => {}
            Class::Standard => self.standard_since_background += 1,
            Class::Background => self.standard_since_background = 0,
        }
        let key = self.select_first(class, times, now)?;
        self.remove(key)
    }

    /// The request of a class that goes first; among equals the oldest.
    fn select_first(&mut self, class: Class, times: &ServiceTimes, now: Tick) -> Option<WaitKey> {
        let dequeues = &mut self.dequeues[class.index()];
        *dequeues = (*dequeues + 1) % IGNORE_COST_INTERVAL;
        let ignores_cost = *dequeues == 0;
        let prefers_newcomers = dequeues.is_multiple_of(NEWCOMER_INTERVAL);
        let held = self.entries(class);
        let by_precedence = held.min_by_key(|(_, waiting)| {
            let mut precedence = waiting.precedence(times, now);
            if prefers_newcomers {
                precedence = precedence.preferring_newcomers();
            }
            match ignores_cost {
                true => precedence.ignoring_cost(),
                false => precedence,
            }
        });
        by_precedence.map(|(key, _)| key)
    }

    fn entries(&self, class: Class) -> impl DoubleEndedIterator<Item = (WaitKey, &Waiting)> {
        let class_queue = self.class_queues[class.index()].iter().copied();
        class_queue.filter_map(|key| Some((key, self.waiting.get(key)?)))
    }

    fn next_class(&self, standard_weight: u32, background: bool) -> Option<Class> {
        let waits = |class: Class| self.counts[class.index()] > 0;
        let background = background && waits(Class::Background);
        if waits(Class::Critical) {
            return Some(Class::Critical);
        }
        if waits(Class::Standard)
            && !(background && self.standard_since_background >= standard_weight)
        {
            return Some(Class::Standard);
        }
        background.then_some(Class::Background)
    }

    /// Removes the request that a new one displaces, if there is one.
    pub(super) fn displace(
        &mut self,
        class: Class,
        precedence: Precedence,
        times: &ServiceTimes,
        now: Tick,
    ) -> Option<Waiting> {
        let key = self.find_displaceable(class, precedence, times, now)?;
        self.remove(key)
    }

    /// The request that a new one displaces: the youngest of the least urgent class below its
    /// own, else the last of its own class if that costs more or is a newcomer's and the new
    /// one isn't.
    pub(super) fn find_displaceable(
        &self,
        class: Class,
        precedence: Precedence,
        times: &ServiceTimes,
        now: Tick,
    ) -> Option<WaitKey> {
        let below = Class::ALL.into_iter().rev().take_while(|c| *c > class);
        let mut youngest =
            below.filter_map(|below| self.class_queues[below.index()].back().copied());
        let last = || self.find_last_in_class(class, precedence, times, now);
        youngest.next().or_else(last)
    }

    /// The last request of a class if it goes after a new one by its cost or by who is
    /// returning; a later latest start alone isn't enough. Among equals the youngest.
    fn find_last_in_class(
        &self,
        class: Class,
        precedence: Precedence,
        times: &ServiceTimes,
        now: Tick,
    ) -> Option<WaitKey> {
        let held = self.entries(class);
        let held = held.map(|(key, waiting)| (key, waiting.precedence(times, now)));
        // Among equals the youngest is kept, which comes last.
        let last = held.reduce(|last, next| {
            if last.1.goes_after(next.1) {
                last
            } else {
                next
            }
        });
        last.filter(|(_, last)| last.goes_after(precedence))
            .map(|(key, _)| key)
    }

    /// Removes all requests whose time in the queue is over.
    pub(super) fn remove_expired(&mut self, now: Tick) -> Vec<Waiting> {
        let is_over = |waiting: &Waiting| waiting.expires_at <= now;
        let keys: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_over(waiting))
            .collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key).collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Removes all requests.
    pub(super) fn clear(&mut self) -> Vec<Waiting> {
        let keys: Vec<_> = self.waiting.keys().collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }
}
