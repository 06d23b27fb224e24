//! Callers that were refused and return at the time that they were told.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use crate::Content;
use crate::Deadline;
use crate::KindName;
use crate::Tick;

#[cfg(test)]
mod tests;

/// The most promises of a kind. Further refused callers return as newcomers.
const MAX_PROMISES: usize = 256;

/// The most kinds with promises.
const MAX_KINDS: usize = 256;

/// How much before its time a promise may be redeemed. The clock of a caller may run a little
/// faster than that of the node, and timers of callers may be rounded.
const EARLY_TOLERANCE: Duration = Duration::from_millis(5);

/// How long after its time a promise may be redeemed.
const VALIDITY: Duration = Duration::from_secs(1);

/// How much the deadline of a return may differ from that of the refused request, besides what
/// callers shorten their timeouts by. Requests take up to 8 ms from callers to the node.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// The percentage by which callers may shorten the timeouts that they name at random.
const MAX_SHORTENED_PERCENT: u32 = 15;

/// What a request and its repeats have in common, although each has its own id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTrace {
    /// The content of the request.
    pub content: Content,
    /// The end of the caller's timeout. A caller that returns names the rest of its timeout.
    pub deadline: Deadline,
    /// The timeout that the caller named.
    pub timeout: Duration,
}

/// What was found of a request's caller among the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Redeemed {
    /// It returns at the time that it was told.
    Honoured,
    /// It returns before its time, by which it loses its promise.
    Early,
    /// Nothing was promised to it, or its promise has expired.
    Unknown,
}

/// Whether the caller of a request returns after a refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReturnStatus {
    /// Returning callers aren't distinguished from others.
    #[default]
    Untracked,
    /// The caller doesn't return, or not at the time that it was told.
    Newcomer,
    /// The caller returns at the time that it was told.
    Returning,
}

/// The times at which refused callers were told to return, by the kind of their requests.
///
/// A request that returns has a new id, so that its promise is found by its [`CallerTrace`].
/// If any retry of the kind could redeem a promise, callers that repeat at once and often
/// would redeem those of others just before these return. An early return cancels its promise
/// for the same reason: callers that repeat until their promise is due would have both their
/// chances as newcomers and that of a returning caller.
///
/// The number of promises is bounded, and callers without one are treated as newcomers.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::CallerTrace;
/// use sassafrasspool_core::Content;
/// use sassafrasspool_core::Deadline;
/// use sassafrasspool_core::KindName;
/// use sassafrasspool_core::Redeemed;
/// use sassafrasspool_core::ReturnPromises;
/// use sassafrasspool_core::Tick;
///
/// let promises = ReturnPromises::default();
/// let kind = KindName::new("approval")?;
/// let caller = CallerTrace {
///     content: Content::of("POST", "desk.example", "/approvals/7", None, b""),
///     deadline: Deadline::within(Tick::ZERO, Duration::from_secs(2)),
///     timeout: Duration::from_secs(2),
/// };
/// promises.promise(Tick::ZERO, &kind, caller, Duration::from_millis(300));
/// let at = Tick::from_millis;
/// assert_eq!(promises.redeem(at(310), &kind, caller), Redeemed::Honoured);
/// assert_eq!(promises.redeem(at(320), &kind, caller), Redeemed::Unknown);
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct ReturnPromises(Mutex<HashMap<KindName, Promises>>);

/// The promises of one kind, the one that is due earliest first.
#[derive(Debug, Default)]
struct Promises(VecDeque<Promise>);

/// A refused caller's time to return.
#[derive(Debug, Clone, Copy)]
struct Promise {
    due: Tick,
    caller: CallerTrace,
}

impl ReturnPromises {
    /// Records that the caller of a request of that kind was told to return after
    /// `retry_after`.
    pub fn promise(&self, now: Tick, kind: &KindName, caller: CallerTrace, retry_after: Duration) {
        let due = now + retry_after;
        let promise = Promise { due, caller };
        // The promises are consistent after each change, also after a panic.
        let mut kinds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(promises) = kinds.get_mut(kind) {
            promises.add(now, promise);
            return;
        }
        if kinds.len() >= MAX_KINDS {
            kinds.retain(|_, promises| {
                promises.remove_expired(now);
                !promises.0.is_empty()
            });
        }
        if kinds.len() < MAX_KINDS {
            kinds.entry(kind.clone()).or_default().add(now, promise);
        }
    }

    /// Redeems the promise to the caller of a request of that kind, if there is one. A promise
    /// is good for one return, from its time until a second later.
    pub fn redeem(&self, now: Tick, kind: &KindName, caller: CallerTrace) -> Redeemed {
        let mut kinds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match kinds.get_mut(kind) {
            Some(promises) => promises.redeem(now, caller),
            None => Redeemed::Unknown,
        }
    }
}

impl Promises {
    fn add(&mut self, now: Tick, promise: Promise) {
        self.remove_expired(now);
        if self.0.len() < MAX_PROMISES {
            let at = self.0.partition_point(|other| other.due <= promise.due);
            self.0.insert(at, promise);
        }
    }

    fn redeem(&mut self, now: Tick, caller: CallerTrace) -> Redeemed {
        self.remove_expired(now);
        let matching = self.0.iter().enumerate();
        let matching = matching.filter(|(_, promise)| promise.caller.matches(caller));
        // Several callers may request the same resource: the nearest deadline is most likely
        // that of the caller itself.
        let at = matching.min_by_key(|(_, promise)| promise.caller.apart(caller));
        let at = at.map(|(at, _)| at);
        match at.and_then(|at| self.0.remove(at)) {
            Some(promise) if promise.due <= now + EARLY_TOLERANCE => Redeemed::Honoured,
            Some(_) => Redeemed::Early,
            None => Redeemed::Unknown,
        }
    }

    fn remove_expired(&mut self, now: Tick) {
        while self
            .0
            .front()
            .is_some_and(|promise| promise.due + VALIDITY < now)
        {
            self.0.pop_front();
        }
    }
}

impl CallerTrace {
    /// The time between the deadlines.
    fn apart(self, other: CallerTrace) -> Duration {
        let [one, two] = [self.deadline.tick(), other.deadline.tick()];
        one.since(two).max(two.since(one))
    }

    fn matches(self, other: CallerTrace) -> bool {
        let apart = self.apart(other);
        let shortened = self.timeout.max(other.timeout) * MAX_SHORTENED_PERCENT / 100;
        let tolerance = DEADLINE_TOLERANCE + shortened;
        // A caller that repeats a request may change its query.
        self.content.resource() == other.content.resource() && apart <= tolerance
    }
}
