//! The place in the queue that a request would get, and its expected wait.

use std::time::Duration;

use super::State;
use super::refusal;
use crate::AdmissionRequest;
use crate::Class;
use crate::Reason;
use crate::Refusal;
use crate::Tick;
use crate::admit::precedence::Precedence;
use crate::admit::service_times::WorkType;

/// The least and the greatest time after which a refused caller may retry.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(5)];

/// The place of a request in the queue.
pub(super) struct QueuePosition {
    pub(super) latest_start: Option<Tick>,
    pub(super) precedence: Precedence,
    /// The expected wait for a slot there.
    pub(super) wait: Duration,
}

impl State {
    /// The place in the queue that a request would get.
    ///
    /// # Errors
    ///
    /// Refuses a request whose wait would be wasted.
    pub(super) fn queue_position(
        &mut self,
        request: &AdmissionRequest<'_>,
        work: WorkType,
    ) -> Result<QueuePosition, Refusal> {
        let took = self.service_times.expected(work);
        let latest_start = request.soft_deadline.map(|deadline| before(deadline, took));
        let in_time = latest_start.is_none_or(|latest_start| self.now <= latest_start);
        let precedence = Precedence::new(took, latest_start, self.now);
        let returning = request.returning && in_time;
        let precedence = precedence.with_returning(returning);
        let ahead = match returning {
            true => self.queue.count_ahead_of_returning(request.class),
            false => self.queue.count_ahead(request.class),
        };
        let cold = self.warm_up.wait_behind(self.now, ahead);
        let by_slots = self.expected_wait_behind(request.class, precedence);
        let by_target = self.target_limiter.wait_behind(self.now, ahead);
        if by_target > by_slots.max(cold) {
            self.check_target_limit(request, by_target, took)?;
        }
        let wait = by_slots.max(cold).max(by_target);
        let full = match cold > by_slots {
            true => Reason::ColdStart,
            false => Reason::QueueFull,
        };
        if wait + took > request.deadline.remaining(self.now) {
            return Err(refusal(Reason::DeadlineTooShort).with_retry_after(wait));
        }
        // The answer would be late here and may be in time from another target. If no
        // other target is asked, a late answer is better than none: a refused call fails
        // its parent request, whose slot time is then wasted. A returning caller doesn't
        // come back after another refusal.
        let late =
            in_time && latest_start.is_some_and(|latest_start| self.now + wait > latest_start);
        if late && !request.last_resort && !returning {
            return Err(refusal(full).with_retry_after(wait));
        }
        // A queued request is refused after `max_wait`: a longer wait would be wasted.
        let no_place = returning && self.queue.has_returning_share(self.max_queued());
        if wait > self.settings.max_wait || no_place {
            return Err(refusal(full).with_retry_after(wait));
        }
        Ok(QueuePosition {
            latest_start,
            precedence,
            wait,
        })
    }

    /// Checks whether a request may wait for the rate limit that the target states.
    ///
    /// # Errors
    ///
    /// Refuses a request that other targets may serve, and one that can't start in time. The
    /// target has slots to spare, and a request that waits for its limit keeps out others.
    fn check_target_limit(
        &mut self,
        request: &AdmissionRequest<'_>,
        wait: Duration,
        took: Duration,
    ) -> Result<(), Refusal> {
        let limited = refusal(Reason::TargetLimited);
        if !request.last_resort {
            return Err(limited.with_retry_after(wait));
        }
        let left = request.deadline.remaining(self.now);
        if wait <= self.settings.max_wait && wait + took <= left {
            return Ok(());
        }
        let wait = self.target_limiter.schedule_return(self.now, wait);
        Err(limited.with_retry_after(wait))
    }

    /// The refusal that a request would get now; nothing if it would be admitted or queued.
    pub(in crate::admit) fn predict_refusal(
        &mut self,
        now: Tick,
        request: &AdmissionRequest<'_>,
    ) -> Option<Refusal> {
        self.now = self.now.max(now);
        self.set_start_limits(request);
        if let Some(reason) = self.close_reasons.first() {
            return Some(refusal(*reason));
        }
        let work = self.service_times.work_type(request.class, request.kind);
        if self.queue.count_ahead(request.class) == 0 && self.has_free_slot(request.class) {
            return None;
        }
        let position = match self.queue_position(request, work) {
            Ok(position) => position,
            Err(refusal) => return Some(refusal),
        };
        let full = self.queue.len() >= self.max_queued();
        let displaceable = || {
            self.queue.find_displaceable(
                request.class,
                position.precedence,
                &self.service_times,
                self.now,
            )
        };
        let refusal = refusal(Reason::QueueFull).with_retry_after(position.wait);
        (full && displaceable().is_none()).then_some(refusal)
    }

    /// The expected wait of a new request of that class and precedence for a slot.
    fn expected_wait_behind(&self, class: Class, precedence: Precedence) -> Duration {
        let ahead = self
            .queue
            .work_ahead(class, precedence, &self.service_times, self.now);
        self.wait_for_work(ahead)
    }

    /// The expected wait of a request that goes after all others of its class.
    pub(in crate::admit) fn expected_class_wait(&self, class: Class) -> Duration {
        self.expected_wait_behind(class, Precedence::LAST)
    }

    /// The expected wait behind queued requests that take `ahead` in total, and for the
    /// first slot that frees up.
    fn wait_for_work(&self, ahead: Duration) -> Duration {
        let running = Duration::from_micros(self.mean_running_us());
        let wait = (ahead + running) / self.concurrency.max(1);
        wait.clamp(RETRY_AFTER_BOUNDS[0], RETRY_AFTER_BOUNDS[1])
    }

    /// The average service time of the running requests in microseconds, from the averages
    /// of their classes.
    fn mean_running_us(&self) -> u64 {
        let sum = |acc: u64, class: Class| {
            acc + self.service_times.class_mean_us(class)
                * u64::from(self.running_by_class[class.index()])
        };
        let all = Class::ALL.into_iter().fold(0, sum);
        all / u64::from(self.running.max(1))
    }
}

/// The moment `span` before `tick`.
fn before(tick: Tick, span: Duration) -> Tick {
    Tick::ZERO + tick.since(Tick::ZERO).saturating_sub(span)
}
