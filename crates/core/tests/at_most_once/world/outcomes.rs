//! The outcomes that callers receive.

use sassafrasspool_core::Attempt;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Hop;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RetryBudget;
use sassafrasspool_core::RetryDecision;
use sassafrasspool_core::RetryLimits;
use sassafrasspool_core::RetryState;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::RequestId;

use super::World;
use crate::fault::Fault;

impl World {
    /// Records the final outcome that the first hop derives from a refusal. The
    /// first hop doesn't retry here, since the caller's repeats do the same.
    pub(super) fn refuse(&mut self, request: RequestId, attempt: Attempt, refusal: Refusal) {
        let limits = RetryLimits {
            attempts: 1,
            budget_percent: 0,
            burst: 100,
        };
        let budget = RetryBudget::new();
        let deadline = Deadline::at(self.now);
        let retry = RetryState::new(Hop::First, false, &limits, deadline, &budget);
        let RetryDecision::Stop(failure) =
            retry
                .with_attempt(attempt)
                .on_failure(self.now, refusal.into(), &budget)
        else {
            panic!("the deadline has passed");
        };
        let outcome = match (self.fault, failure) {
            (Fault::RepeatReportedNotRun, Failure::Refused(_)) => refusal.outcome(),
            (_, failure) => failure.outcome(),
        };
        match outcome {
            Outcome::NotRun => self.record_not_run(request),
            Outcome::Unknown => self.record_unknown(request),
        }
    }

    pub(super) fn record_not_run(&mut self, request: RequestId) {
        if self.sent_after_run.contains(&request) {
            let violation =
                format!("{request} was reported as not run, though an earlier attempt ran");
            self.false_not_run.push(violation);
        }
        self.history
            .record(self.now, Event::RefusedNotRun { request });
    }

    pub(super) fn record_unknown(&mut self, request: RequestId) {
        self.history.record(self.now, Event::Unknown { request });
    }

    pub(super) fn record_answer(&mut self, request: RequestId) {
        let operation = self.requests[&request];
        self.operations[operation.0 as usize].ended = true;
        let event = Event::Answered {
            request,
            answers: request,
            whole: true,
        };
        self.history.record(self.now, event);
    }
}
