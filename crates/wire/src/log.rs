//! The lines of the log that tell what is decided about requests.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

/// One decision about a request, or what came of it.
///
/// The same request has lines on the node that took it from its caller and on
/// the node beside each target that it came to; `request` joins them. Absent
/// fields don't concern the event.
/// # Example
///
/// ```
/// use sassafrasspool_wire::log::RequestLine;
///
/// let line = r#"{"unix_ms":1,"node":"wd-1","event":"ended","request":"r-1",
///     "outcome":"answered","status":200,"took_us":900,"left_us":5000}"#;
/// let line: RequestLine<'_> = serde_json::from_str(line)?;
/// assert_eq!(line.status, Some(200));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestLine<'a> {
    /// Milliseconds since the Unix epoch by this instance's clock, which may be
    /// seconds off.
    pub unix_ms: u64,
    /// The instance whose node writes this.
    pub node: Cow<'a, str>,
    /// What was decided: [`TRIED`], [`ENDED`] or [`BESIDE`].
    pub event: Cow<'a, str>,
    /// The request's id, as its caller gave it.
    pub request: Cow<'a, str>,
    /// What it asks for, as a hash: the same for all that ask for the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
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
    /// Microseconds that were left until its deadline; 0 without a route, which
    /// sets it.
    pub left_us: u64,
    /// Microseconds that were left until its answer is worth less.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_left_us: Option<u64>,
    /// The catalogue's revision by which it was routed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalogue: Option<u64>,
    /// Milliseconds since a catalogue of that revision came into force here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalogue_ms: Option<u64>,
    /// The newest revision of the catalogue that the node had heard of, unless
    /// that is the one by which it was routed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<u64>,
    /// Milliseconds since the node first heard of that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<u64>,
    /// The instance list's revision by which it was routed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<u64>,
    /// Milliseconds since the newest proof that nothing newer than that list was
    /// published; absent without one, and if a newer list is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_ms: Option<u64>,
    /// Milliseconds since the newest proof of contact with the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact_ms: Option<u64>,
}

/// The event of a try that brought no answer.
pub const TRIED: &str = "tried";

/// The event of a request's end on the node that took it from its caller.
pub const ENDED: &str = "ended";

/// The event of a request's end on the node beside its target.
pub const BESIDE: &str = "beside";
