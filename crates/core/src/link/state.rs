//! The state of a link, kept under its lock.

use std::task::Waker;
use std::time::Duration;

use slotmap::SlotMap;

use super::answer_sizes::AnswerSizes;
use super::byte_bucket::ByteBucket;
use super::rate::LinkRate;
use super::report::LinkReport;
use super::request::LinkRequest;
use super::totals::LinkTotals;
use crate::KindName;
use crate::Reason;
use crate::Refusal;
use crate::Step;
use crate::Tick;

slotmap::new_key_type! {
    /// Identifies a transfer.
    pub(super) struct TransferKey;
    /// Identifies a reservation.
    pub(super) struct ReservationKey;
}

/// The largest grant, in bytes. A small message that is sent at the same moment waits for it.
const MAX_GRANT_BYTES: usize = 16 * 1024;

/// The factor by which the bytes of a late answer cost more than of one in time. To callers a
/// late answer is worth about half.
const LATE_COST_FACTOR: u64 = 2;

/// One in so many grants goes to the transfer that has waited longest. If the shortest always
/// went first, long ones would starve on a link that short ones fill alone. With one in eight,
/// more bytes go to answers that miss their deadline all the same, and fewer large ones are in
/// time.
pub(super) const LONGEST_WAIT_INTERVAL: u32 = 16;

/// The least and the greatest time after which a refused caller may retry.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(5)];

/// The longest span over which the returns of refused callers are spread. Later returns would
/// find less time left than they need.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// For how long a grant may be used. A receiver that doesn't read holds one grant of each of its
/// transfers; used after any time, these could all be sent at once. An expired grant isn't given
/// back, as rate that wasn't used in its time is lost. A shorter time would expire grants of
/// tasks that wait for a processor.
const GRANT_TTL: Duration = Duration::from_millis(50);

/// After how long a transfer that asks for nothing no longer counts in the delay. A receiver
/// that doesn't read would otherwise cause refusals on an idle link.
const STALL_TIME: Duration = Duration::from_millis(200);

/// A large answer on its way out.
#[derive(Debug)]
pub(super) struct TransferState {
    /// Bytes that are still to be sent, as far as is known.
    pub(super) remaining: u64,
    /// The bytes that were sent.
    sent: u64,
    /// Whether `remaining` is known rather than expected.
    is_exact: bool,
    pub(super) soft_deadline: Option<Tick>,
    pub(super) deadline: Tick,
    /// A grant that it hasn't used yet.
    granted: usize,
    waiting: Option<Waiting>,
    /// When it was last granted bytes, or began.
    last_grant: Tick,
    /// When it last asked for bytes, or began.
    asked_at: Tick,
}

/// A transfer that waits for a grant.
#[derive(Debug)]
struct Waiting {
    wanted: usize,
    waker: Waker,
}

/// The place of a transfer in the order of grants; the smallest goes first.
///
/// The capacity of a link is bytes. Large answers are worth the same each, so that the most
/// callers are served if those go first that need the fewest bytes to their end. Sizes are
/// compared by their order of magnitude.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// Whether it can't meet its deadline any more.
    is_lost: bool,
    /// The binary order of magnitude of the remaining bytes, weighted by lateness.
    cost: u32,
    latest_begin: Tick,
}

/// The transfers and reservations of a link.
#[derive(Debug)]
pub(super) struct State {
    bucket: ByteBucket,
    sizes: AnswerSizes,
    transfers: SlotMap<TransferKey, TransferState>,
    /// The expected bytes of answers that haven't begun.
    reservations: SlotMap<ReservationKey, u64>,
    /// Grants since the last one by waiting time.
    grants: u32,
    longest_wait_interval: u32,
    /// Wakes the task that calls [`State::dispatch`].
    driver: Option<Waker>,
    /// When the last refused caller was told to come back.
    last_return: Tick,
    /// Wakers that are to be used once the lock is released.
    wakers: Wakers,
    totals: LinkTotals,
}

/// Wakers of tasks to wake, and those that are no longer needed. Both are foreign code that may
/// use the link, so that neither runs under its lock.
#[derive(Debug, Default)]
pub(super) struct Wakers {
    to_wake: Vec<Waker>,
    to_drop: Vec<Waker>,
}

impl Wakers {
    /// Wakes the tasks and drops the rest. The lock isn't held.
    pub(super) fn run(self) {
        for waker in self.to_wake {
            waker.wake();
        }
    }
}

impl State {
    pub(super) fn new(rate: LinkRate, longest_wait_interval: u32) -> State {
        State {
            bucket: ByteBucket::new(rate),
            sizes: AnswerSizes::new(),
            transfers: SlotMap::with_key(),
            reservations: SlotMap::with_key(),
            grants: 0,
            longest_wait_interval,
            driver: None,
            last_return: Tick::ZERO,
            wakers: Wakers::default(),
            totals: LinkTotals::default(),
        }
    }

    /// The wakers that the caller runs after it has released the lock.
    pub(super) fn take_wakers(&mut self) -> Wakers {
        std::mem::take(&mut self.wakers)
    }

    /// Records bytes of other traffic.
    pub(super) fn record_other(&mut self, bytes: u64) {
        self.bucket.record_other(bytes);
        self.totals.other_bytes += bytes;
    }

    pub(super) const fn totals(&self) -> LinkTotals {
        self.totals
    }

    pub(super) fn reserve(
        &mut self,
        now: Tick,
        request: &LinkRequest<'_>,
    ) -> Result<ReservationKey, Refusal> {
        self.bucket.refill(now);
        let rate = self.bucket.large_rate();
        let bytes = self.sizes.expected(request.kind);
        let own = rate.time_for(bytes);
        let unhindered = now + request.answers_in + own;
        let sent_behind = |delay: Duration| now + delay.max(request.answers_in) + own;
        let sent_at = sent_behind(self.delay(|_| true));
        // The estimates are only corrected by answers. Without anything ahead, one request is
        // admitted, or a kind whose estimate is too high would be refused for good.
        let is_idle = self.delay(|_| true).is_zero();
        if sent_at > request.deadline.tick() && !is_idle {
            let in_time = request.soft_deadline.unwrap_or(request.deadline.tick());
            return Err(self.refuse(now, sent_at.since(in_time.max(unhindered)), own));
        }
        // Another endpoint may deliver the answer in time.
        let soft_deadline = request.soft_deadline.filter(|soft| unhindered <= *soft);
        if let Some(soft_deadline) = soft_deadline
            && !request.last_resort
        {
            let sent_at = sent_behind(self.delay_ahead_of(bytes));
            if sent_at > soft_deadline {
                return Err(self.refuse(now, sent_at.since(soft_deadline), own));
            }
        }
        Ok(self.reservations.insert(bytes))
    }

    /// The refusal of a caller that may come back after `wait`.
    ///
    /// Callers come back one after the other at the rate of the link. Told the same time, all
    /// but the first would be refused again.
    fn refuse(&mut self, now: Tick, wait: Duration, own: Duration) -> Refusal {
        let [least, most] = RETRY_AFTER_BOUNDS;
        let earliest = now + wait.clamp(least, most);
        // Callers that repeat at once would otherwise delay the return of all others.
        let latest = (earliest + MAX_RETURN_SPREAD).min(now + most);
        let at = earliest.max(self.last_return + own).min(latest);
        self.last_return = at;
        self.totals.refusals += 1;
        let refusal = Refusal::not_run(Step::Admission, Reason::LinkFull);
        refusal.with_retry_after(at.since(now))
    }

    pub(super) fn release(&mut self, key: ReservationKey) {
        self.reservations.remove(key);
    }

    /// Adds the size of an answer to the averages.
    pub(super) fn record_size(&mut self, kind: &KindName, bytes: u64) {
        self.sizes.record(kind, bytes);
    }

    /// Adds a transfer of `size` bytes, or of the size that is expected of its kind.
    pub(super) fn begin(
        &mut self,
        now: Tick,
        kind: &KindName,
        size: Option<u64>,
        soft_deadline: Option<Tick>,
        deadline: Tick,
    ) -> TransferKey {
        self.transfers.insert(TransferState {
            remaining: size.unwrap_or(self.sizes.expected(kind)),
            sent: 0,
            is_exact: size.is_some(),
            soft_deadline,
            deadline,
            granted: 0,
            waiting: None,
            last_grant: now,
            asked_at: now,
        })
    }

    pub(super) fn end(&mut self, key: TransferKey) {
        if let Some(transfer) = self.transfers.remove(key) {
            self.bucket.give_back(transfer.granted);
            let waiting = transfer.waiting.map(|waiting| waiting.waker);
            self.wakers.to_drop.extend(waiting);
        }
    }

    /// Takes the grant of a transfer, or registers it for the next one.
    pub(super) fn poll_grant(
        &mut self,
        now: Tick,
        key: TransferKey,
        wanted: usize,
        waker: &Waker,
    ) -> Option<usize> {
        if wanted == 0 {
            return Some(0);
        }
        let wanted = wanted.min(MAX_GRANT_BYTES);
        let transfer = self.transfers.get_mut(key)?;
        transfer.asked_at = now;
        if now.since(transfer.last_grant) > GRANT_TTL {
            transfer.granted = 0;
        }
        if transfer.granted == 0 {
            let waker = waker.clone();
            let replaced = transfer.waiting.replace(Waiting { wanted, waker });
            let replaced = replaced.map(|waiting| waiting.waker);
            self.wakers.to_drop.extend(replaced);
            self.grant_available(now, Some(key));
        }
        let transfer = self.transfers.get_mut(key)?;
        if transfer.granted == 0 {
            self.wakers.to_wake.extend(self.driver.clone());
            return None;
        }
        let taken = transfer.granted.min(wanted);
        let unused = transfer.granted - taken;
        transfer.granted = 0;
        transfer.record_sent(taken as u64);
        self.bucket.give_back(unused);
        self.totals.large_bytes += taken as u64;
        Some(taken)
    }

    /// Grants what is available. Returns when more will be; nothing if no transfer waits.
    pub(super) fn dispatch(&mut self, now: Tick, driver: &Waker) -> Option<Tick> {
        if !self
            .driver
            .as_ref()
            .is_some_and(|held| held.will_wake(driver))
        {
            let replaced = self.driver.replace(driver.clone());
            self.wakers.to_drop.extend(replaced);
        }
        self.grant_available(now, None);
        let waits = self.transfers.values().any(|it| it.waiting.is_some());
        let open_in = Duration::from_micros(1).max(self.bucket.time_until_open());
        waits.then(|| now + open_in)
    }

    /// Grants bytes to waiting transfers; `polled` is polled at present and isn't woken.
    fn grant_available(&mut self, now: Tick, polled: Option<TransferKey>) {
        self.bucket.refill(now);
        while self.bucket.is_open() {
            let Some(key) = self.select_next(now) else {
                return;
            };
            let transfer = &mut self.transfers[key];
            let Some(waiting) = transfer.waiting.take() else {
                return;
            };
            transfer.granted = waiting.wanted;
            transfer.last_grant = now;
            self.bucket.take(waiting.wanted);
            let wakers = match polled == Some(key) {
                true => &mut self.wakers.to_drop,
                false => &mut self.wakers.to_wake,
            };
            wakers.push(waiting.waker);
        }
    }

    fn select_next(&mut self, now: Tick) -> Option<TransferKey> {
        if self.transfers.values().all(|it| it.waiting.is_none()) {
            return None;
        }
        let waiting = self.transfers.iter().filter(|(_, it)| it.waiting.is_some());
        if self.grants + 1 >= self.longest_wait_interval {
            let longest = waiting.min_by_key(|(_, it)| it.last_grant);
            self.grants = 0;
            return longest.map(|(key, _)| key);
        }
        let rate = self.bucket.large_rate();
        let first = waiting.min_by_key(|(_, it)| it.precedence(now, rate));
        self.grants += 1;
        first.map(|(key, _)| key)
    }

    /// How long it takes until the transfers that `counts` selects and all reservations are sent,
    /// without transfers whose receivers don't read.
    pub(super) fn delay(&self, counts: impl Fn(&TransferState) -> bool) -> Duration {
        let now = self.bucket.refilled_at();
        let active = self.transfers.values().filter(|it| !it.is_stalled(now));
        let active = active.filter(|it| counts(it));
        let begun = active.map(|it| it.remaining);
        let bytes = begun.chain(self.reservations.values().copied());
        // A target may state any length.
        let bytes = bytes.fold(0, u64::saturating_add);
        self.bucket.large_rate().time_for(bytes)
    }

    /// How long it takes until what goes before an answer of that size is sent. Answers that are
    /// much larger don't.
    fn delay_ahead_of(&self, bytes: u64) -> Duration {
        let now = self.bucket.refilled_at();
        let rate = self.bucket.large_rate();
        self.delay(|transfer| {
            let precedence = transfer.precedence(now, rate);
            !precedence.is_lost && precedence.cost <= magnitude(bytes)
        })
    }

    pub(super) fn report(&mut self, now: Tick) -> LinkReport {
        self.bucket.refill(now);
        LinkReport {
            delay: self.delay_ahead_of(self.sizes.overall()),
            answer: self.bucket.large_rate().time_for(self.sizes.overall()),
        }
    }

    /// The number of transfers and reservations.
    pub(super) fn count(&self) -> usize {
        self.transfers.len() + self.reservations.len()
    }
}

impl TransferState {
    fn is_stalled(&self, now: Tick) -> bool {
        self.waiting.is_none() && now.since(self.asked_at) > STALL_TIME
    }

    /// Records sent bytes. An answer of unknown size that is longer than expected is assumed to
    /// be as long again. Taken for nearly sent, it would go before all others until it ends.
    fn record_sent(&mut self, bytes: u64) {
        self.sent = self.sent.saturating_add(bytes);
        self.remaining = self.remaining.saturating_sub(bytes);
        if self.remaining == 0 && !self.is_exact {
            self.remaining = self.sent;
        }
    }

    fn precedence(&self, now: Tick, rate: LinkRate) -> Precedence {
        let needed = rate.time_for(self.remaining);
        let sent_at = now + needed;
        let is_late = self.soft_deadline.is_none_or(|soft| sent_at > soft);
        let cost = match is_late {
            true => self.remaining.saturating_mul(LATE_COST_FACTOR),
            false => self.remaining,
        };
        let aim = self.soft_deadline.unwrap_or(self.deadline);
        Precedence {
            is_lost: sent_at > self.deadline,
            cost: magnitude(cost),
            latest_begin: Tick::ZERO + aim.since(Tick::ZERO).saturating_sub(needed),
        }
    }
}

/// The binary order of magnitude of a size.
fn magnitude(bytes: u64) -> u32 {
    bytes.max(1).ilog2()
}
