//! What admission keeps under its lock.

use std::sync::Arc;

use super::bucket::Bucket;
use super::control::Shared;
use super::queue::Queue;
use super::queue::WaitKey;
use super::queue::Waiting;
use super::reserve::Reserve;
use super::took::Took;
use super::took::Work;
use super::wake::Wake;
use super::wake::Waker;
use super::warm_up::WarmUp;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::LoadReport;
use crate::Permit;
use crate::Reason;
use crate::Refusal;
use crate::Step;
use crate::Tick;

mod place;

/// The most that is kept free of background work: one of so many slots. Without a
/// bound, long background requests starve wherever short urgent ones come in number.
const RESERVED_PART: u32 = 3;

/// What background work can come to hold in any case: one of so many slots. Kept
/// from all while urgent work fills the others, long background requests starve.
const FLOOR_PART: u32 = 3;

/// Slots are kept free of background work only if it takes so many times as long
/// as urgent work. Where both take as long, a slot frees up in time for whoever
/// goes first, and one that is kept free serves nobody.
const LONG_TIMES: u64 = 2;

/// What is decided under the lock.
pub(super) enum Decision {
    Run(Work),
    Wait(WaitKey, Tick),
    Refuse(Refusal),
}

/// Slots, queue and rate of one target.
///
/// # Invariants
///
/// `running` is the number of permits that exist, and `running_of` the same by
/// class.
pub(super) struct State {
    settings: AdmissionSettings,
    slots: u32,
    concurrency: u32,
    running: u32,
    running_of: [u32; Class::ALL.len()],
    took: Took,
    queue: Queue,
    bucket: Bucket,
    reserve: Reserve,
    warm_up: WarmUp,
    /// Why nothing is admitted, the first reason first.
    closed: Vec<Reason>,
    now: Tick,
}

impl State {
    pub(super) fn new(settings: AdmissionSettings, slots: u32) -> State {
        State {
            settings,
            slots,
            concurrency: slots,
            running: 0,
            running_of: [0; Class::ALL.len()],
            took: Took::default(),
            queue: Queue::new(),
            bucket: Bucket::full(),
            reserve: Reserve::default(),
            warm_up: WarmUp::new(),
            closed: Vec::new(),
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

    /// Decides over a new request; `waker` is only made if it is to wait.
    pub(super) fn offer(
        &mut self,
        now: Tick,
        ask: &Ask<'_>,
        waker: impl FnOnce() -> Waker,
        wakes: &mut Vec<Wake>,
    ) -> Decision {
        self.now = self.now.max(now);
        if let Some(slots) = ask.slots {
            self.slots = slots.clamp(1, u32::from(u16::MAX));
        }
        self.concurrency = self.slots.min(ask.limits.concurrency.max(1));
        self.warm_up.follow(ask.cold);
        self.sweep(wakes);
        if let Some(refusal) = self.refuse_at_once(ask) {
            return Decision::Refuse(refusal);
        }
        let work = self.took.work(ask.class, ask.kind);
        if self.queue.ahead_of(ask.class) == 0 && self.has_slot(ask.class) {
            self.bucket.take();
            self.count(ask.class);
            return Decision::Run(work);
        }
        self.enqueue(ask, work, waker, wakes)
    }

    fn refuse_at_once(&mut self, ask: &Ask<'_>) -> Option<Refusal> {
        if let Some(reason) = self.closed.first() {
            return Some(refusal(*reason));
        }
        if ask.deadline.passed(self.now) {
            return Some(refusal(Reason::DeadlinePassed));
        }
        let rate = ask.limits.rate_per_s;
        let wait = self.bucket.refill(self.now, rate, self.settings.burst)?;
        Some(refusal(Reason::RateLimited).after(wait))
    }

    fn enqueue(
        &mut self,
        ask: &Ask<'_>,
        work: Work,
        waker: impl FnOnce() -> Waker,
        wakes: &mut Vec<Wake>,
    ) -> Decision {
        let place = match self.place(ask, work) {
            Ok(place) => place,
            Err(refusal) => {
                self.turn_away(ask.class);
                return Decision::Refuse(refusal);
            }
        };
        if self.queue.len() >= self.queue_bound() {
            let displaced = self
                .queue
                .displace(ask.class, place.precedence, &self.took, self.now);
            let Some(displaced) = displaced else {
                self.turn_away(ask.class);
                return Decision::Refuse(refusal(Reason::QueueFull).after(place.wait));
            };
            let wait = self.wait_of_class(displaced.work.class);
            self.turn_away(displaced.work.class);
            wakes.push(refuse(displaced, refusal(Reason::Displaced).after(wait)));
        }
        self.bucket.take();
        let until = ask.deadline.tick().min(self.now + self.settings.max_wait);
        let key = self.queue.push(Waiting {
            work,
            until,
            begin_by: place.begin_by,
            waker: waker(),
        });
        Decision::Wait(key, until)
    }

    /// Takes back a slot and gives what is free to those who wait.
    pub(super) fn release(
        &mut self,
        now: Option<Tick>,
        work: Work,
        since: Tick,
        shared: &Arc<Shared>,
        wakes: &mut Vec<Wake>,
    ) {
        // INVARIANT: Only a permit calls this, and each calls it once.
        self.running -= 1;
        self.running_of[work.class.index()] -= 1;
        if let Some(now) = now {
            self.now = self.now.max(now);
            self.took.note(work, now.since(since));
        }
        self.sweep(wakes);
        self.fill(shared, wakes);
    }

    /// Gives what is free to those who wait, and tells when a cold target bears the next;
    /// nothing if nobody waits for that.
    pub(super) fn refill(
        &mut self,
        now: Tick,
        shared: &Arc<Shared>,
        wakes: &mut Vec<Wake>,
    ) -> Option<Tick> {
        self.now = self.now.max(now);
        self.sweep(wakes);
        self.fill(shared, wakes);
        if self.queue.len() == 0 || self.running >= self.concurrency {
            return None;
        }
        let wait = self.warm_up.wait(self.now)?;
        Some(self.now + wait)
    }

    fn fill(&mut self, shared: &Arc<Shared>, wakes: &mut Vec<Wake>) {
        while self.running < self.concurrency && self.warm_up.wait(self.now).is_none() {
            let background = self.has_slot(Class::Background);
            let next = self.queue.pop(
                self.now,
                &self.took,
                self.settings.standard_weight,
                background,
            );
            let Some(waiting) = next else { return };
            self.count(waiting.work.class);
            let permit = Permit::new(shared, waiting.work, self.now);
            wakes.push(Wake {
                waker: waiting.waker,
                verdict: Ok(permit),
            });
        }
    }

    /// Takes a request out of the queue, if it still waits.
    pub(super) fn leave(&mut self, key: WaitKey) -> Option<Waiting> {
        self.queue.remove(key)
    }

    pub(super) fn expire(&mut self, now: Tick, key: WaitKey) -> Option<Refusal> {
        self.now = self.now.max(now);
        let gone = self.queue.remove(key)?;
        Some(self.timed_out(gone.work.class))
    }

    /// Refuses everything from now on, and what waits.
    pub(super) fn close(&mut self, reason: Reason, wakes: &mut Vec<Wake>) {
        if !self.closed.contains(&reason) {
            self.closed.push(reason);
        }
        let waiting = self.queue.clear();
        wakes.extend(waiting.into_iter().map(|w| refuse(w, refusal(reason))));
    }

    pub(super) fn open(&mut self, reason: Reason) {
        self.closed.retain(|held| *held != reason);
    }

    fn sweep(&mut self, wakes: &mut Vec<Wake>) {
        if self.queue.len() == 0 {
            return;
        }
        for gone in self.queue.expired(self.now) {
            let told = self.timed_out(gone.work.class);
            wakes.push(refuse(gone, told));
        }
    }

    fn timed_out(&mut self, class: Class) -> Refusal {
        self.turn_away(class);
        refusal(Reason::QueueTimeout).after(self.wait_of_class(class))
    }

    /// Whether a request of that class may have a slot now.
    ///
    /// A slot that is free is for whoever asks: with a share of their own, background
    /// requests that have the target for themselves wait beside a free slot.
    fn has_slot(&mut self, class: Class) -> bool {
        if self.warm_up.wait(self.now).is_some() {
            return false;
        }
        let free = self.concurrency.saturating_sub(self.running);
        if class != Class::Background {
            return free > 0;
        }
        let held = self.running_of[class.index()];
        let has_part = held >= self.concurrency / FLOOR_PART;
        let reserved = match has_part && self.background_is_long() {
            true => self.reserve.slots(self.now),
            false => 0,
        };
        free > reserved
    }

    /// Whether urgent work would wait long for a slot that background work holds.
    fn background_is_long(&self) -> bool {
        let of_class = |class| self.took.of_class(class);
        let urgent = of_class(Class::Critical).max(of_class(Class::Standard));
        of_class(Class::Background) > urgent.saturating_mul(LONG_TIMES)
    }

    /// Notes that a request of that class finds no room.
    fn turn_away(&mut self, class: Class) {
        if class != Class::Background {
            let most = self.concurrency / RESERVED_PART;
            self.reserve.turned_away(self.now, most);
        }
    }

    fn count(&mut self, class: Class) {
        self.running += 1;
        self.running_of[class.index()] += 1;
        self.warm_up.begin();
    }

    fn queue_bound(&self) -> usize {
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
        verdict: Err(refusal),
    }
}
