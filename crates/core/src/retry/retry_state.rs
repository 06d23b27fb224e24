//! The tries of one request.

use crate::Attempt;
use crate::Budget;
use crate::Deadline;
use crate::Failure;
use crate::Loss;
use crate::Outcome;
use crate::Reason;
use crate::RetryLimits;
use crate::Tick;

/// How often a request may go to another endpoint because those before were
/// the wrong ones.
const MAX_REROUTES: u32 = 4;

/// How often a request may ask another endpoint's node for room because the one
/// before had none. Nothing reached a target, so that it costs no target
/// anything; under an overload of the whole service the next is as full.
const MAX_CAPACITY_RETRIES: u32 = 2;

/// Where in a chain of calls a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// The node that took the call from its caller.
    First,
    /// A node that got it from another node.
    Later,
}

/// What to do after a try that brought no answer.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request is either tried again or answered"]
pub enum Next {
    /// Choose an endpoint again and try at once.
    Again,
    /// This is the final answer, which the caller gets at once.
    Stop(Failure),
}

/// What is left to try of one request.
///
/// # Invariants
///
/// [`Next::Again`] only follows a try that is proved not to have run, unless
/// the route is idempotent. Once a try was lost, no failure that is told says
/// that the request wasn't run.
#[derive(Debug)]
pub struct Tries {
    hop: Hop,
    idempotent: bool,
    deadline: Deadline,
    attempt: Option<Attempt>,
    retries_left: u32,
    reroutes_left: u32,
    capacity_retries_left: u32,
    /// Until when the answer is worth most; nobody is asked for room after it.
    soft_deadline: Option<Tick>,
    /// The first try that may have run.
    first_loss: Option<Loss>,
}

impl Tries {
    /// The tries of a request whose first is about to be made.
    pub fn first(
        hop: Hop,
        idempotent: bool,
        limits: &RetryLimits,
        deadline: Deadline,
        budget: &Budget,
    ) -> Tries {
        budget.credit_first_try(limits);
        Tries {
            hop,
            idempotent,
            deadline,
            attempt: None,
            retries_left: limits.attempts.saturating_sub(1),
            reroutes_left: MAX_REROUTES,
            capacity_retries_left: MAX_CAPACITY_RETRIES,
            soft_deadline: None,
            first_loss: None,
        }
    }

    /// The same for a request whose answer is worth most until `aim`.
    #[must_use]
    pub const fn until(mut self, soft_deadline: Option<Tick>) -> Tries {
        self.soft_deadline = soft_deadline;
        self
    }

    /// The same for a request with a key, which only the key's owner may run.
    #[must_use]
    pub const fn keyed(mut self, attempt: Attempt) -> Tries {
        self.attempt = Some(attempt);
        self
    }

    /// Whether another endpoint may be asked for room after the next one.
    pub fn may_ask_more(&self, now: Tick) -> bool {
        let in_time = self.soft_deadline.is_none_or(|deadline| now < deadline);
        self.hop == Hop::First
            && self.attempt.is_none()
            && self.capacity_retries_left > 0
            && in_time
    }

    /// What to do after `failure`.
    pub fn after(&mut self, now: Tick, failure: Failure, budget: &Budget) -> Next {
        if let Failure::Lost(loss) = failure {
            self.first_loss.get_or_insert(loss);
        }
        let again = self.hop == Hop::First
            && !self.deadline.passed(now)
            && self.is_safe_to_retry(&failure)
            && self.has_time_for_capacity(now, &failure)
            && self.spend(&failure, budget);
        if again {
            return Next::Again;
        }
        Next::Stop(self.final_failure(failure))
    }

    /// What the caller is told if `failure` ends the request.
    ///
    /// A lookup whose first try was lost may have run, although the second
    /// was refused; the refusal is true of the second alone. Passed on, it
    /// would tell the caller that nothing ran. The same goes for a refused
    /// repeat, whose earlier attempt may have run.
    pub fn final_failure(&self, failure: Failure) -> Failure {
        if let Some(loss) = self.first_loss {
            return Failure::Lost(loss);
        }
        match (failure, self.attempt) {
            (Failure::Refused(refusal), Some(Attempt::MayRepeat)) => {
                Failure::Refused(refusal.of_repeat())
            }
            (failure, _) => failure,
        }
    }

    fn is_safe_to_retry(&self, failure: &Failure) -> bool {
        match failure {
            Failure::Refused(refusal) => {
                refusal.outcome() == Outcome::NotRun && !self.is_final(refusal.reason())
            }
            // After the hand-over nothing proves that it didn't run.
            Failure::Lost(_) => self.idempotent,
        }
    }

    /// Whether a request that found no room may find some in time.
    ///
    /// A request that has waited in vain until its answer is late would wait as
    /// long again at the next, and its caller hears of it when it has no time
    /// left to do anything else.
    fn has_time_for_capacity(&self, now: Tick, failure: &Failure) -> bool {
        let Failure::Refused(refusal) = failure else {
            return true;
        };
        let is_full = refusal.reason().is_overload() && !refusal.reason().is_of_target();
        !is_full || self.soft_deadline.is_none_or(|deadline| now < deadline)
    }

    fn spend(&mut self, failure: &Failure, budget: &Budget) -> bool {
        // A wrong endpoint says nothing of the load of the service, and no
        // target has spent anything on the request: it costs less, and is
        // bounded on its own, so that a drain doesn't use up the retries.
        // The same goes for a node without room, which kept the request from
        // its target.
        let reason = match failure {
            Failure::Refused(refusal) => Some(refusal.reason()),
            Failure::Lost(_) => None,
        };
        let (left, spend): (&mut u32, fn(&Budget) -> bool) = match reason {
            Some(reason) if reason.is_misplaced() => {
                (&mut self.reroutes_left, Budget::spend_reroute)
            }
            Some(reason) if !reason.is_of_target() => {
                (&mut self.capacity_retries_left, Budget::spend_reroute)
            }
            _ => (&mut self.retries_left, Budget::spend_retry),
        };
        if *left == 0 || !spend(budget) {
            return false;
        }
        *left -= 1;
        true
    }

    /// Whether trying again would bring the same refusal.
    fn is_final(&self, reason: Reason) -> bool {
        let keyed = self.attempt.is_some();
        match reason {
            Reason::NoRoute
            | Reason::NoEndpoint
            | Reason::DeadlinePassed
            | Reason::LeaseLapsed
            | Reason::Settling
            | Reason::WindowFull
            | Reason::EarlierRunning
            | Reason::EarlierUnknown
            | Reason::TooLarge
            | Reason::BadKey
            | Reason::TooManyHops
            | Reason::NoConfiguration
            | Reason::CallerGone
            | Reason::Quarantined => true,
            // A key has one owner, and no other endpoint stands in for it.
            Reason::Connect
            | Reason::Draining
            | Reason::Starting
            | Reason::Evacuated
            | Reason::NotAtHome => keyed,
            _ => false,
        }
    }
}
