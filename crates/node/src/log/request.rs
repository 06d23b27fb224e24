//! What is written of a request.

use std::borrow::Cow;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Failure;
use sassafrasspool_wire::log::RequestLine;

/// How something ended, in the words of the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    pub(crate) outcome: &'static str,
    pub(crate) step: Option<&'static str>,
    pub(crate) reason: Option<&'static str>,
}

impl Told {
    /// What is told of an answer.
    pub(crate) const ANSWERED: Told = Told {
        outcome: "answered",
        step: None,
        reason: None,
    };
}

impl From<&Failure> for Told {
    fn from(failure: &Failure) -> Told {
        let (step, reason) = match failure {
            Failure::Refused(refusal) => (refusal.step().as_str(), refusal.reason().as_str()),
            Failure::Lost(loss) => (loss.step().as_str(), loss.cause().as_str()),
        };
        Told {
            outcome: failure.outcome().as_str(),
            step: Some(step),
            reason: Some(reason),
        }
    }
}

/// The same line with how it ended.
pub(crate) fn with_outcome(mut line: RequestLine<'_>, told: Told) -> RequestLine<'_> {
    line.outcome = told.outcome.into();
    line.step = told.step.map(Cow::from);
    line.reason = told.reason.map(Cow::from);
    line
}

/// The wall clock, for people alone: nothing is decided by it.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |since| since.as_millis());
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// A time in whole microseconds.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
