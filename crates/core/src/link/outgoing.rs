//! The outgoing link, as the traffic threads use it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Waker;

use super::rate::LinkRate;
use super::report::LinkReport;
use super::request::LinkRequest;
use super::reservation::LinkReservation;
use super::state::LONGEST_WAIT_INTERVAL;
use super::state::State;
use super::totals::LinkTotals;
use super::transfer::Transfer;
use crate::KindName;
use crate::Refusal;
use crate::Tick;

/// The outgoing link of an instance, shared by all traffic threads of its node.
///
/// # Example
///
/// ```
/// use std::task::Waker;
/// use std::time::Duration;
///
/// use sassafrasspool_core::Deadline;
/// use sassafrasspool_core::KindName;
/// use sassafrasspool_core::Link;
/// use sassafrasspool_core::LinkRate;
/// use sassafrasspool_core::LinkRequest;
/// use sassafrasspool_core::Tick;
///
/// let link = Link::new(LinkRate::from_mbps(20.0)?);
/// let kind = KindName::new("image-download")?;
/// let now = Tick::from_millis(1);
/// let request = LinkRequest {
///     kind: &kind,
///     deadline: Deadline::within(now, Duration::from_secs(2)),
///     soft_deadline: None,
///     last_resort: false,
///     answers_in: Duration::from_millis(100),
/// };
/// let reservation = link.reserve(now, &request).expect("the link is idle");
/// let mut transfer = reservation.begin(now, Some(90_000));
/// assert_eq!(transfer.poll_grant(now, 90_000, Waker::noop()), Some(16 * 1024));
/// # Ok::<(), sassafrasspool_core::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Link(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Bytes of other traffic that `state` doesn't know of yet. Small answers don't take the
    /// lock.
    other: AtomicU64,
}

impl Link {
    /// An idle link.
    pub fn new(rate: LinkRate) -> Link {
        Link::with_longest_wait_interval(rate, LONGEST_WAIT_INTERVAL)
    }

    /// An idle link on which one in `interval` grants goes to the transfer that has waited
    /// longest.
    pub(super) fn with_longest_wait_interval(rate: LinkRate, interval: u32) -> Link {
        Link(Arc::new(Shared {
            state: Mutex::new(State::new(rate, interval)),
            other: AtomicU64::new(0),
        }))
    }

    /// Records bytes that the node sends besides large answers.
    pub fn record_other(&self, bytes: u64) {
        self.0.other.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Reserves the link for the answer to a request.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if its answer can't be delivered in time.
    pub fn reserve(
        &self,
        now: Tick,
        request: &LinkRequest<'_>,
    ) -> Result<LinkReservation, Refusal> {
        let key = self.update(|state| state.reserve(now, request))?;
        Ok(LinkReservation::new(self, key, request))
    }

    /// Adds the size of a successful answer of that kind to the averages by which answers are
    /// expected.
    pub fn record_size(&self, kind: &KindName, bytes: u64) {
        self.update(|state| state.record_size(kind, bytes));
    }

    /// Begins a transfer that needs no reservation, such as that of another node's answer. Its
    /// size is that of its kind if `size` is unknown.
    pub fn begin(
        &self,
        now: Tick,
        kind: &KindName,
        size: Option<u64>,
        soft_deadline: Option<Tick>,
        deadline: Tick,
    ) -> Transfer {
        let key = self.update(|state| state.begin(now, kind, size, soft_deadline, deadline));
        Transfer::new(self, key)
    }

    /// Grants what is available to waiting transfers, and registers `driver` to be woken when
    /// another transfer waits. Returns when to call this again; nothing if no transfer waits.
    pub fn dispatch(&self, now: Tick, driver: &Waker) -> Option<Tick> {
        self.update(|state| state.dispatch(now, driver))
    }

    /// The report that answers carry.
    pub fn report(&self, now: Tick) -> LinkReport {
        self.update(|state| state.report(now))
    }

    /// The number of large answers that are expected or on their way.
    pub fn count(&self) -> usize {
        self.lock().count()
    }

    /// What was sent and refused since the node's start.
    pub fn totals(&self) -> LinkTotals {
        self.lock().totals()
    }

    /// Changes the state, and then wakes tasks without the lock: a task that is woken may use
    /// the link at once, or drop a transfer of it.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let wakers = state.take_wakers();
        drop(state);
        wakers.run();
        result
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        // No foreign code but the clone of a waker runs under the lock, and before the change,
        // so that a poisoned lock is still usable.
        let mut state = self.0.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.record_other(self.0.other.swap(0, Ordering::Relaxed));
        state
    }
}
