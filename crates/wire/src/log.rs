//! Lines of the request log, which record the decisions about requests.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

/// One decision about a request, or its result.
///
/// A request has lines on the caller's node and on the node of each target that it
/// reached; `request` joins them. Fields that don't apply to the event are absent.
///
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
    /// Milliseconds since the Unix epoch, by the clock of this instance, which may be
    /// seconds off.
    pub unix_ms: u64,
    /// The instance of the node that writes the line.
    pub node: Cow<'a, str>,
    /// The event: [`FAILED_ATTEMPT`], [`ENDED_AT_CALLER`], [`ENDED_AT_TARGET`] or
    /// [`DELIVERED`].
    pub event: Cow<'a, str>,
    /// The request's id, as sent by its caller.
    pub request: Cow<'a, str>,
    /// The hash of its content, which is equal for requests with equal content.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Cow<'a, str>>,
    /// The kind of its route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Cow<'a, str>>,
    /// The class of its route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Cow<'a, str>>,
    /// The chosen instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<Cow<'a, str>>,
    /// The generation of the instance's target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub life: Option<Cow<'a, str>>,
    /// The number of the attempt, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub try_number: Option<u32>,
    /// Load of the instance in percent of its slots, at the time it was chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_percent: Option<u32>,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: Cow<'a, str>,
    /// The step at which the request was refused or lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub step: Option<Cow<'a, str>>,
    /// The reason why the request was refused or lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Cow<'a, str>>,
    /// The HTTP status of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Microseconds from the request's arrival at the node until this event.
    pub took_us: u64,
    /// Microseconds that the request waited for a slot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waited_us: Option<u64>,
    /// Load of the target: requests in flight, slots, and queued requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<[u16; 3]>,
    /// Requests that the target's node admitted within the last second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recent: Option<u32>,
    /// Microseconds for which the node treats the target as cold; absent if it is warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_us: Option<u64>,
    /// Microseconds left until its deadline; 0 without a route, since the route sets
    /// the deadline.
    pub left_us: u64,
    /// Microseconds left until its soft deadline, after which its answer is worth less.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub aim_left_us: Option<u64>,
    /// The revision of the catalogue that routed the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalogue: Option<u64>,
    /// Milliseconds since a catalogue of that revision came into force on this node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalogue_ms: Option<u64>,
    /// The newest advertised revision of the catalogue, unless the request was routed by
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<u64>,
    /// Milliseconds since that revision was first advertised to the node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_ms: Option<u64>,
    /// The revision of the instance list that routed the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<u64>,
    /// Milliseconds since the newest proof that no list newer than that was published;
    /// absent without such a proof, and if a newer list was advertised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_ms: Option<u64>,
    /// Milliseconds since the newest proof of contact with the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub contact_ms: Option<u64>,
    /// Bytes of a large answer that were sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_bytes: Option<u64>,
    /// Microseconds for which a large answer waited for its source, the link, and its receiver.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivery_us: Option<[u64; 3]>,
}

/// The event of an attempt without an answer.
pub const FAILED_ATTEMPT: &str = "tried";

/// The event of a request's end on the caller's node.
pub const ENDED_AT_CALLER: &str = "ended";

/// The event of the end of a large answer on a node that sends it by its link.
pub const DELIVERED: &str = "delivered";

/// The event of a request's end on the target's node.
pub const ENDED_AT_TARGET: &str = "beside";
