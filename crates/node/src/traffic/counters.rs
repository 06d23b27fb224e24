//! Counters of the results of requests.

use std::fmt;

use metrics::Counter;
use metrics::counter;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Outcome;

use crate::metrics::traffic;

/// The counters of one port. They are looked up once, since looking a counter up by its
/// name costs more than incrementing it.
pub(super) struct Counters {
    port: &'static str,
    answered: Counter,
    not_run: Counter,
    unknown: Counter,
}

impl Counters {
    pub(super) fn new(port: &'static str) -> Counters {
        let result =
            |result: &'static str| counter!(traffic::REQUESTS, "port" => port, "result" => result);
        Counters {
            port,
            answered: result("answered"),
            not_run: result(Outcome::NotRun.as_str()),
            unknown: result(Outcome::Unknown.as_str()),
        }
    }

    /// Counts a request by its result.
    pub(super) fn count<T>(&self, result: &Result<T, Failure>) {
        let failure = match result {
            Ok(_) => return self.answered.increment(1),
            Err(failure) => failure,
        };
        match failure.outcome() {
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
        let labels = [
            ("port", self.port),
            ("step", failure_step(failure)),
            ("reason", failure_reason(failure)),
        ];
        counter!(traffic::REQUESTS_MISSED, &labels).increment(1);
    }
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Counters")
            .field("port", &self.port)
            .finish()
    }
}

/// Counts a failed attempt that is followed by a retry.
pub(super) fn count_retry(failure: &Failure) {
    counter!(traffic::RETRIES, "reason" => failure_reason(failure)).increment(1);
}

/// The value of the label `reason`: why a request got no answer.
fn failure_reason(failure: &Failure) -> &'static str {
    match failure {
        Failure::Refused(refusal) => refusal.reason().as_str(),
        Failure::Lost(loss) => loss.cause().as_str(),
    }
}

fn failure_step(failure: &Failure) -> &'static str {
    match failure {
        Failure::Refused(refusal) => refusal.step().as_str(),
        Failure::Lost(loss) => loss.step().as_str(),
    }
}
