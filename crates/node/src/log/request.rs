//! The outcome fields of a request's log line, and time in the log's units.

use std::borrow::Cow;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Failure;
use sassafrasspool_wire::log::RequestLine;

/// The outcome of a request, as values of the log's fields.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoggedOutcome {
    pub(crate) outcome: &'static str,
    pub(crate) step: Option<&'static str>,
    pub(crate) reason: Option<&'static str>,
}

impl LoggedOutcome {
    /// A request that was answered.
    pub(crate) const ANSWERED: LoggedOutcome = LoggedOutcome {
        outcome: "answered",
        step: None,
        reason: None,
    };
}

impl From<&Failure> for LoggedOutcome {
    fn from(failure: &Failure) -> LoggedOutcome {
        let (step, reason) = match failure {
            Failure::Refused(refusal) => (refusal.step().as_str(), refusal.reason().as_str()),
            Failure::Lost(loss) => (loss.step().as_str(), loss.cause().as_str()),
        };
        LoggedOutcome {
            outcome: failure.outcome().as_str(),
            step: Some(step),
            reason: Some(reason),
        }
    }
}

/// The line with the fields of its outcome set.
pub(crate) fn with_outcome(mut line: RequestLine<'_>, logged: LoggedOutcome) -> RequestLine<'_> {
    line.outcome = logged.outcome.into();
    line.step = logged.step.map(Cow::from);
    line.reason = logged.reason.map(Cow::from);
    line
}

/// Milliseconds since the Unix epoch by the wall clock, for readers of the log:
/// no decision is based on it.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.map_or(0, |time| time.as_millis());
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// A duration in whole microseconds.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
