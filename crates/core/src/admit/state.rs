//! The state of admission control, kept under its lock.

use std::sync::Arc;
use std::time::Duration;

use super::admission::Shared;
use super::permit::RunEnd;
use super::queue::Queue;
use super::queue::WaitKey;
use super::queue::Waiting;
use super::reserve::Reserve;
use super::service_times::ServiceTimes;
use super::service_times::WorkType;
use super::target_rate_limiter::TargetRateLimiter;
use super::token_bucket::TokenBucket;
use super::wake::Wake;
use super::wake::Waker;
use super::warm_up::WarmUp;
use crate::AdmissionRequest;
use crate::AdmissionSettings;
use crate::Class;
use crate::KindName;
use crate::LoadReport;
use crate::Permit;
use crate::Reason;
use crate::Refusal;
use crate::Step;
use crate::Tick;

mod queue_position;

/// At most one in so many slots is kept free of background requests. Without a bound, long
/// background requests starve wherever short urgent ones are frequent.
const RESERVED_SLOTS_DIVISOR: u32 = 3;

/// Background requests can always come to hold one in so many slots. If they were kept from
/// all while urgent requests fill the others, long background requests would starve.
const BACKGROUND_FLOOR_DIVISOR: u32 = 3;

/// Slots are kept free of background requests only if these take so many times as long as
/// urgent ones. If both take as long, a slot frees up in time for whichever goes first, and
/// a slot that is kept free is wasted.
const LONG_BACKGROUND_FACTOR: u64 = 2;

/// The decision on a request, made under the lock.
pub(super) enum Decision {
    Run(WorkType),
    Wait(WaitKey, Tick),
    Refuse(Refusal),
}

/// The slots, queue and rate limits of one target.
///
/// # Invariants
///
/// `running` is the number of permits that exist, and `running_by_class` that number by
/// class.
pub(super) struct State {
    settings: AdmissionSettings,
    slots: u32,
    concurrency: u32,
    running: u32,
    running_by_class: [u32; Class::ALL.len()],
    service_times: ServiceTimes,
    queue: Queue,
    bucket: TokenBucket,
    reserve: Reserve,
    warm_up: WarmUp,
    target_limiter: TargetRateLimiter,
    /// The reasons for which nothing is admitted, the oldest first.
    close_reasons: Vec<Reason>,
    now: Tick,
}

impl State {
    pub(super) fn new(settings: AdmissionSettings, slots: u32) -> State {
        State {
            settings,
            slots,
            concurrency: slots,
            running: 0,
            running_by_class: [0; Class::ALL.len()],
            service_times: ServiceTimes::default(),
            queue: Queue::new(),
            bucket: TokenBucket::full(),
            reserve: Reserve::default(),
            warm_up: WarmUp::new(),
            target_limiter: TargetRateLimiter::new(),
            close_reasons: Vec::new(),
            now: Tick::ZERO,
        }
    }

    pub(super) fn load(&self) -> LoadReport {
        let narrow = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            in_flight: narrow(self.running),
            slots: narrow(self.concurrency),
            queued: u16::try_from(self.queue.len()).unwrap_or(u16::MAX),
        }
    }

    /// Sets when the previous process of the node had ended at the latest.
    pub(super) fn set_predecessor_end(&mut self, at: Tick) {
        self.warm_up.set_predecessor_end(at);
    }

    /// How many requests were admitted within the last second.
    pub(super) fn recent_admissions(&self, now: Tick) -> usize {
        self.warm_up.recent_admissions(now)
    }

    /// How long a request of that class and kind is expected to wait for a slot and to run.
    pub(super) fn expected_time(&mut self, now: Tick, class: Class, kind: &KindName) -> Duration {
        self.now = self.now.max(now);
        let work = self.service_times.work_type(class, Some(kind));
        let wait = match self.queue.count_ahead(class) == 0 && self.has_free_slot(class) {
            true => Duration::ZERO,
            false => self.expected_class_wait(class),
        };
        wait + self.service_times.expected(work)
    }

    /// Decides on a new request; `waker` is only called if it is queued.
    pub(super) fn decide(
        &mut self,
        now: Tick,
        request: &AdmissionRequest<'_>,
        waker: impl FnOnce() -> Waker,
        wakes: &mut Vec<Wake>,
    ) -> Decision {
        self.now = self.now.max(now);
        if let Some(slots) = request.slots {
            self.slots = slots.clamp(1, u32::from(u16::MAX));
        }
        self.concurrency = self.slots.min(request.limits.concurrency.max(1));
        self.set_start_limits(request);
        self.expire_overdue(wakes);
        if let Some(refusal) = self.refuse_before_queueing(request) {
            return Decision::Refuse(refusal);
        }
        let work = self.service_times.work_type(request.class, request.kind);
        if self.queue.count_ahead(request.class) == 0 && self.has_free_slot(request.class) {
            self.bucket.take();
            self.count_start(request.class);
            return Decision::Run(work);
        }
        self.enqueue(request, work, waker, wakes)
    }

    /// Applies the limits on starts at the target, as they are known now.
    fn set_start_limits(&mut self, request: &AdmissionRequest<'_>) {
        self.warm_up.set_limit(request.cold_limit);
        self.target_limiter.set_limit(request.target_limit);
    }

    /// How long it takes until the limits on starts allow one; nothing if they do now.
    fn start_wait(&mut self) -> Option<Duration> {
        let cold = self.warm_up.wait(self.now);
        cold.max(self.target_limiter.wait(self.now))
    }

    fn refuse_before_queueing(&mut self, request: &AdmissionRequest<'_>) -> Option<Refusal> {
        if let Some(reason) = self.close_reasons.first() {
            return Some(refusal(*reason));
        }
        if request.deadline.passed(self.now) {
            return Some(refusal(Reason::DeadlinePassed));
        }
        let rate = request.limits.rate_per_s;
        let wait = self.bucket.refill(self.now, rate, self.settings.burst)?;
        Some(refusal(Reason::RateLimited).with_retry_after(wait))
    }

    fn enqueue(
        &mut self,
        request: &AdmissionRequest<'_>,
        work: WorkType,
        waker: impl FnOnce() -> Waker,
        wakes: &mut Vec<Wake>,
    ) -> Decision {
        let position = match self.queue_position(request, work) {
            Ok(position) => position,
            Err(refusal) => {
                self.record_refusal(request.class);
                return Decision::Refuse(refusal);
            }
        };
        if self.queue.len() >= self.max_queued() {
            let displaced = self.queue.displace(
                request.class,
                position.precedence,
                &self.service_times,
                self.now,
            );
            let Some(displaced) = displaced else {
                self.record_refusal(request.class);
                return Decision::Refuse(
                    refusal(Reason::QueueFull).with_retry_after(position.wait),
                );
            };
            let wait = self.expected_class_wait(displaced.work.class);
            self.record_refusal(displaced.work.class);
            wakes.push(refuse(
                displaced,
                refusal(Reason::Displaced).with_retry_after(wait),
            ));
        }
        self.bucket.take();
        let expires_at = request
            .deadline
            .tick()
            .min(self.now + self.settings.max_wait);
        let key = self.queue.push(Waiting {
            work,
            expires_at,
            latest_start: position.latest_start,
            returning: request.returning,
            waker: waker(),
        });
        Decision::Wait(key, expires_at)
    }

    /// Frees a slot and gives free slots to queued requests.
    pub(super) fn release(
        &mut self,
        end: RunEnd,
        work: WorkType,
        acquired_at: Tick,
        shared: &Arc<Shared>,
        wakes: &mut Vec<Wake>,
    ) {
        // INVARIANT: Only a permit calls this, and each calls it once.
        self.running -= 1;
        self.running_by_class[work.class.index()] -= 1;
        if let RunEnd::Settled(now) | RunEnd::Unanswered(now) = end {
            self.now = self.now.max(now);
            self.service_times.record(work, now.since(acquired_at));
        }
        if let RunEnd::Settled(now) = end {
            let shortest = self.service_times.shortest(work);
            self.warm_up.record_end(now, acquired_at, shortest);
        }
        self.expire_overdue(wakes);
        self.dispatch(shared, wakes);
    }

    /// Gives free slots to queued requests. Returns when the rate limits of the target admit
    /// the next one; nothing if no request waits for that.
    pub(super) fn admit_queued(
        &mut self,
        now: Tick,
        shared: &Arc<Shared>,
        wakes: &mut Vec<Wake>,
    ) -> Option<Tick> {
        self.now = self.now.max(now);
        self.expire_overdue(wakes);
        self.dispatch(shared, wakes);
        if self.queue.len() == 0 || self.running >= self.concurrency {
            return None;
        }
        let wait = self.start_wait()?;
        Some(self.now + wait)
    }

    fn dispatch(&mut self, shared: &Arc<Shared>, wakes: &mut Vec<Wake>) {
        while self.running < self.concurrency && self.start_wait().is_none() {
            let background = self.has_free_slot(Class::Background);
            let next = self.queue.pop(
                self.now,
                &self.service_times,
                self.settings.standard_weight,
                background,
            );
            let Some(waiting) = next else { return };
            self.count_start(waiting.work.class);
            let permit = Permit::new(shared, waiting.work, self.now);
            wakes.push(Wake {
                waker: waiting.waker,
                decision: Ok(permit),
            });
        }
    }

    /// Removes a request from the queue, if it is still queued.
    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        self.queue.remove(key)
    }

    pub(super) fn expire(&mut self, now: Tick, key: WaitKey) -> Option<Refusal> {
        self.now = self.now.max(now);
        let waiting = self.queue.remove(key)?;
        Some(self.queue_timeout_refusal(waiting.work.class))
    }

    /// Refuses all new and queued requests from now on.
    pub(super) fn close(&mut self, reason: Reason, wakes: &mut Vec<Wake>) {
        if !self.close_reasons.contains(&reason) {
            self.close_reasons.push(reason);
        }
        let waiting = self.queue.clear();
        wakes.extend(waiting.into_iter().map(|w| refuse(w, refusal(reason))));
    }

    pub(super) fn open(&mut self, reason: Reason) {
        self.close_reasons.retain(|held| *held != reason);
    }

    fn expire_overdue(&mut self, wakes: &mut Vec<Wake>) {
        if self.queue.len() == 0 {
            return;
        }
        for waiting in self.queue.remove_expired(self.now) {
            let refusal = self.queue_timeout_refusal(waiting.work.class);
            wakes.push(refuse(waiting, refusal));
        }
    }

    fn queue_timeout_refusal(&mut self, class: Class) -> Refusal {
        self.record_refusal(class);
        refusal(Reason::QueueTimeout).with_retry_after(self.expected_class_wait(class))
    }

    /// Whether a request of that class may have a slot now.
    ///
    /// No class has a fixed share of the slots: with a share of their own, background
    /// requests would wait beside free slots when they have the target for themselves.
    fn has_free_slot(&mut self, class: Class) -> bool {
        if self.start_wait().is_some() {
            return false;
        }
        let free = self.concurrency.saturating_sub(self.running);
        if class != Class::Background {
            return free > 0;
        }
        let held = self.running_by_class[class.index()];
        let holds_floor = held >= self.concurrency / BACKGROUND_FLOOR_DIVISOR;
        let reserved = match holds_floor && self.background_is_long() {
            true => self.reserve.slots(self.now),
            false => 0,
        };
        free > reserved
    }

    /// Whether urgent requests would wait long for a slot that a background request holds.
    fn background_is_long(&self) -> bool {
        let of_class = |class| self.service_times.class_mean_us(class);
        let urgent = of_class(Class::Critical).max(of_class(Class::Standard));
        of_class(Class::Background) > urgent.saturating_mul(LONG_BACKGROUND_FACTOR)
    }

    /// Records that a request of that class was refused for lack of a slot.
    fn record_refusal(&mut self, class: Class) {
        if class != Class::Background {
            let max_reserved = self.concurrency / RESERVED_SLOTS_DIVISOR;
            self.reserve.record_refusal(self.now, max_reserved);
        }
    }

    fn count_start(&mut self, class: Class) {
        self.running += 1;
        self.running_by_class[class.index()] += 1;
        self.warm_up.record_admission(self.now);
        self.target_limiter.record_admission();
    }

    fn max_queued(&self) -> usize {
        let bound = self.slots.saturating_mul(self.settings.queue_per_slot);
        usize::try_from(bound).unwrap_or(usize::MAX)
    }
}

fn refusal(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Admission, reason)
}

fn refuse(waiting: Waiting, refusal: Refusal) -> Wake {
    Wake {
        waker: waiting.waker,
        decision: Err(refusal),
    }
}
