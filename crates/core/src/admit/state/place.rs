//! Where a request would wait, and for how long.

use std::time::Duration;

use super::State;
use super::refusal;
use crate::Ask;
use crate::Class;
use crate::Reason;
use crate::Refusal;
use crate::Tick;
use crate::admit::precedence::Precedence;
use crate::admit::took::Work;

/// The least and the greatest time after which a refused caller may come back.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(5)];

/// Where a request waits.
pub(super) struct Place {
    pub(super) begin_by: Option<Tick>,
    pub(super) precedence: Precedence,
    /// How long it waits for its slot there.
    pub(super) wait: Duration,
}

impl State {
    /// Where a request would wait.
    ///
    /// # Errors
    ///
    /// Refuses one that would wait in vain.
    pub(super) fn place(&mut self, ask: &Ask<'_>, work: Work) -> Result<Place, Refusal> {
        let took = self.took.expect(work);
        let begin_by = ask.aim.map(|aim| before(aim, took));
        let in_time = begin_by.is_none_or(|begin_by| self.now <= begin_by);
        let precedence = Precedence::of(took, begin_by, self.now);
        let ahead = self.queue.ahead_of(ask.class);
        let cold = self.warm_up.wait_behind(self.now, ahead);
        let by_slots = self.wait_of(ask.class, precedence);
        let wait = by_slots.max(cold);
        let full = match cold > by_slots {
            true => Reason::ColdStart,
            false => Reason::QueueFull,
        };
        if wait + took > ask.deadline.remaining(self.now) {
            return Err(refusal(Reason::DeadlineTooShort).after(wait));
        }
        // It would be late here and may be in time elsewhere. If nobody else is
        // asked, late is better than never: a call that is turned away fails the
        // request that it was made for, whose slot was held in vain.
        let late = in_time && begin_by.is_some_and(|begin_by| self.now + wait > begin_by);
        if late && !ask.settles {
            return Err(refusal(full).after(wait));
        }
        // Nobody waits longer than that, and would be turned away then.
        if wait > self.settings.max_wait {
            return Err(refusal(full).after(wait));
        }
        Ok(Place {
            begin_by,
            precedence,
            wait,
        })
    }

    /// What a request would be told that asked now, if that is no.
    pub(in crate::admit) fn foresee(&mut self, now: Tick, ask: &Ask<'_>) -> Option<Refusal> {
        self.now = self.now.max(now);
        self.warm_up.follow(ask.cold);
        if let Some(reason) = self.closed.first() {
            return Some(refusal(*reason));
        }
        let work = self.took.work(ask.class, ask.kind);
        if self.queue.ahead_of(ask.class) == 0 && self.has_slot(ask.class) {
            return None;
        }
        let place = match self.place(ask, work) {
            Ok(place) => place,
            Err(refusal) => return Some(refusal),
        };
        let full = self.queue.len() >= self.queue_bound();
        let gives_way = || {
            self.queue
                .displaceable(ask.class, place.precedence, &self.took, self.now)
        };
        let told = refusal(Reason::QueueFull).after(place.wait);
        (full && gives_way().is_none()).then_some(told)
    }

    /// How long a new request of that class and place in it waits for a slot.
    fn wait_of(&self, class: Class, precedence: Precedence) -> Duration {
        let ahead = self
            .queue
            .work_ahead(class, precedence, &self.took, self.now);
        self.wait_behind(ahead)
    }

    /// How long one waits that goes behind all of its class.
    pub(in crate::admit) fn wait_of_class(&self, class: Class) -> Duration {
        self.wait_of(class, Precedence::LAST)
    }

    /// How long a request waits behind work that takes so long, and for the
    /// first slot that frees up.
    fn wait_behind(&self, ahead: Duration) -> Duration {
        let running = Duration::from_micros(self.mean_took());
        let wait = (ahead + running) / self.concurrency.max(1);
        wait.clamp(RETRY_AFTER[0], RETRY_AFTER[1])
    }

    /// The average over what runs now, by class.
    fn mean_took(&self) -> u64 {
        let sum = |acc: u64, class: Class| {
            acc + self.took.of_class(class) * u64::from(self.running_of[class.index()])
        };
        let all = Class::ALL.into_iter().fold(0, sum);
        all / u64::from(self.running.max(1))
    }
}

/// The moment that lies `span` before `tick`.
fn before(tick: Tick, span: Duration) -> Tick {
    Tick::ZERO + tick.since(Tick::ZERO).saturating_sub(span)
}
