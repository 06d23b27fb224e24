//! What is written of a request.

use std::borrow::Cow;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Failure;
use serde::Deserialize;
use serde::Serialize;

/// One decision about a request, or what came of it.
///
/// The same request has lines on the node that took it from its caller and on
/// the node beside each target that it came to; `request` joins them. Absent
/// fields don't concern the event.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestLine<'a> {
    /// Milliseconds since the Unix epoch by this instance's clock, which may be
    /// seconds off.
    pub unix_ms: u64,
    /// The instance whose node writes this.
    pub node: Cow<'a, str>,
    /// What was decided: `begun`, `tried`, `beside` or `ended`.
    pub event: Cow<'a, str>,
    /// The request's id, as its caller gave it.
    pub request: Cow<'a, str>,
    /// The kind by its route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Cow<'a, str>>,
    /// The class by its route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Cow<'a, str>>,
    /// The instance that was chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Cow<'a, str>>,
    /// The life of its target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub life: Option<Cow<'a, str>>,
    /// Which try this was, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub try_number: Option<u32>,
    /// Load over slots of the instance as it was chosen, in percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_percent: Option<u32>,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: Cow<'a, str>,
    /// The step at which it was refused or lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<Cow<'a, str>>,
    /// Why it was refused or lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Cow<'a, str>>,
    /// The status that was answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Microseconds from when the node had it until this.
    pub took_us: u64,
    /// Microseconds for which it waited for a slot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited_us: Option<u64>,
    /// Requests that ran beside it, slots, and requests that waited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<[u16; 3]>,
    /// Microseconds that were left until its deadline.
    pub left_us: u64,
    /// Microseconds that were left until its answer is worth less.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_left_us: Option<u64>,
    /// The catalogue's revision by which it was routed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalogue: Option<u64>,
    /// The instance list's revision by which it was routed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<u64>,
    /// Milliseconds since the newest proof of contact with the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact_ms: Option<u64>,
}

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

impl<'a> RequestLine<'a> {
    /// The same line with how it ended.
    pub(crate) fn told(mut self, told: Told) -> RequestLine<'a> {
        self.outcome = told.outcome.into();
        self.step = told.step.map(Cow::from);
        self.reason = told.reason.map(Cow::from);
        self
    }
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
