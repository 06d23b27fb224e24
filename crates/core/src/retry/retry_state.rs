//! The remaining attempts of one request.

use crate::Attempt;
use crate::Deadline;
use crate::Failure;
use crate::Loss;
use crate::Outcome;
use crate::Reason;
use crate::RetryBudget;
use crate::RetryLimits;
use crate::ReturnStatus;
use crate::Tick;

/// The largest number of reroutes of a request: attempts at another endpoint
/// because the previous one was the wrong one.
const MAX_REROUTES: u32 = 4;

/// The largest number of attempts at another endpoint because the node of the
/// previous one had no capacity. No target is reached, so an attempt costs no
/// target anything. In an overload of the whole service the next node is full
/// as well.
const MAX_CAPACITY_RETRIES: u32 = 2;

/// The same for a request whose caller returned at the time that it was told. It doesn't
/// come back after another refusal.
const MAX_CAPACITY_RETRIES_RETURNING: u32 = 4;

/// The position of a node in a chain of hops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// The caller's node.
    First,
    /// A node that received the call from another node.
    Later,
}

/// What to do after a try without an answer.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request is either tried again or answered"]
pub enum RetryDecision {
    /// Choose an endpoint again and retry immediately.
    Retry,
    /// Send this failure to the caller immediately as the final answer.
    Stop(Failure),
}

/// The remaining attempts of one request.
///
/// # Invariants
///
/// [`RetryDecision::Retry`] only follows an attempt that is proved not to have run, unless
/// the route is idempotent. Once the outcome of an attempt is unknown, no failure
/// returned says that the request wasn't run.
#[derive(Debug)]
pub struct RetryState {
    hop: Hop,
    idempotent: bool,
    deadline: Deadline,
    attempt: Option<Attempt>,
    retries_left: u32,
    reroutes_left: u32,
    capacity_retries_left: u32,
    return_status: ReturnStatus,
    /// The soft deadline: after it, no other node is tried for capacity.
    soft_deadline: Option<Tick>,
    /// The loss of the first attempt that may have run.
    first_loss: Option<Loss>,
}

impl RetryState {
    /// The state of a request before its first try, which adds to `budget`.
    pub fn new(
        hop: Hop,
        idempotent: bool,
        limits: &RetryLimits,
        deadline: Deadline,
        budget: &RetryBudget,
    ) -> RetryState {
        budget.credit_first_try(limits);
        RetryState {
            hop,
            idempotent,
            deadline,
            attempt: None,
            retries_left: limits.attempts.saturating_sub(1),
            reroutes_left: MAX_REROUTES,
            capacity_retries_left: MAX_CAPACITY_RETRIES,
            return_status: ReturnStatus::Untracked,
            soft_deadline: None,
            first_loss: None,
        }
    }

    /// Sets the soft deadline of the request, if it has one.
    #[must_use]
    pub const fn with_soft_deadline(mut self, soft_deadline: Option<Tick>) -> RetryState {
        self.soft_deadline = soft_deadline;
        self
    }

    /// Sets whether the caller of the request returns after a refusal.
    #[must_use]
    pub const fn with_return_status(mut self, status: ReturnStatus) -> RetryState {
        self.return_status = status;
        self.capacity_retries_left = match status {
            ReturnStatus::Untracked | ReturnStatus::Newcomer => MAX_CAPACITY_RETRIES,
            ReturnStatus::Returning => MAX_CAPACITY_RETRIES_RETURNING,
        };
        self
    }

    /// Marks the request as one with a key, which only the key's owner may run.
    #[must_use]
    pub const fn with_attempt(mut self, attempt: Attempt) -> RetryState {
        self.attempt = Some(attempt);
        self
    }

    /// Whether another endpoint may be tried if the node of the next one has no
    /// capacity.
    pub fn may_try_more_nodes(&self, now: Tick) -> bool {
        let in_time = self.soft_deadline.is_none_or(|deadline| now < deadline);
        self.hop == Hop::First
            && self.attempt.is_none()
            && self.capacity_retries_left > 0
            && in_time
    }

    /// Decides what to do after `failure`.
    pub fn on_failure(
        &mut self,
        now: Tick,
        failure: Failure,
        budget: &RetryBudget,
    ) -> RetryDecision {
        if let Failure::Lost(loss) = failure {
            self.first_loss.get_or_insert(loss);
        }
        let again = self.hop == Hop::First
            && !self.deadline.passed(now)
            && self.is_safe_to_retry(&failure)
            && self.has_time_for_capacity(now, &failure)
            && self.spend(&failure, budget);
        if again {
            return RetryDecision::Retry;
        }
        RetryDecision::Stop(self.final_failure(failure))
    }

    /// The failure that the caller receives if `failure` ends the request.
    ///
    /// If the first try of an idempotent request was lost and the second was
    /// refused, the request may have run: the refusal is true only of the
    /// second try. If it were forwarded, the caller would conclude that nothing
    /// ran. The same applies to a refused repeat, whose earlier attempt may have
    /// run.
    pub fn final_failure(&self, failure: Failure) -> Failure {
        if let Some(loss) = self.first_loss {
            return Failure::Lost(loss);
        }
        match (failure, self.attempt) {
            (Failure::Refused(refusal), Some(Attempt::MayRepeat)) => {
                Failure::Refused(refusal.for_keyed_retry())
            }
            (failure, _) => failure,
        }
    }

    fn is_safe_to_retry(&self, failure: &Failure) -> bool {
        match failure {
            Failure::Refused(refusal) => {
                refusal.outcome() == Outcome::NotRun && !self.is_final(refusal.reason())
            }
            // After the hand-over there is no proof that it didn't run.
            Failure::Lost(_) => self.idempotent,
        }
    }

    /// Whether a request that found no capacity may find some in time.
    ///
    /// A request that waited for capacity without effect until its soft deadline
    /// would wait as long again at the next node. Its caller would receive the
    /// refusal when it has no time left to do anything else.
    fn has_time_for_capacity(&self, now: Tick, failure: &Failure) -> bool {
        let Failure::Refused(refusal) = failure else {
            return true;
        };
        let is_full = refusal.reason().is_overload() && !refusal.reason().is_from_target();
        !is_full || self.soft_deadline.is_none_or(|deadline| now < deadline)
    }

    fn spend(&mut self, failure: &Failure, budget: &RetryBudget) -> bool {
        // A wrong endpoint is no sign of load on the service, and no target has
        // spent anything on the request. A reroute therefore costs less and has
        // a bound of its own, so that a drain doesn't use up the retries. The
        // same applies to a node without capacity, which kept the request from
        // its target.
        let reason = match failure {
            Failure::Refused(refusal) => Some(refusal.reason()),
            Failure::Lost(_) => None,
        };
        let (left, is_reroute) = match reason {
            Some(reason) if reason.is_wrong_endpoint() => (&mut self.reroutes_left, true),
            Some(reason) if !reason.is_from_target() => (&mut self.capacity_retries_left, true),
            _ => (&mut self.retries_left, false),
        };
        if *left == 0 {
            return false;
        }
        let spent = match is_reroute {
            true => budget.spend_reroute(),
            false => budget.spend_retry(self.return_status),
        };
        if !spent {
            return false;
        }
        *left -= 1;
        true
    }

    /// Whether a retry would be refused for the same reason.
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
            | Reason::HeadTooLarge
            | Reason::TooLarge
            | Reason::BadKey
            | Reason::TooManyHops
            | Reason::NoConfiguration
            | Reason::CallerGone
            | Reason::Quarantined => true,
            // A key has one owner, which no other endpoint can replace.
            Reason::Connect
            | Reason::Draining
            | Reason::Starting
            | Reason::Evacuated
            | Reason::OutsideHomes => keyed,
            _ => false,
        }
    }
}
