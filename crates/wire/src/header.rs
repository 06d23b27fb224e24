//! Names of the headers that mean something to nodes.

use http::HeaderMap;
use http::HeaderName;
use sassafrasspool_core::Outcome;

/// From callers: names a request that may be repeated, so that it runs once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// From callers: the caller's name for the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// From callers: how long the caller waits, in milliseconds.
pub const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// From callers: 1 on a first attempt; absent if it may be a repeat.
pub const REQUEST_ATTEMPT: HeaderName = HeaderName::from_static("x-request-attempt");

/// `not-run` or `unknown`, on answers that no target gave.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sassafrasspool-outcome");

/// Between nodes: milliseconds until the deadline.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-deadline-ms");

/// Between nodes: how many nodes the call has passed.
pub const HOP: HeaderName = HeaderName::from_static("x-sassafrasspool-hop");

/// Between nodes: in flight, slots and queued beside the target.
pub const LOAD: HeaderName = HeaderName::from_static("x-sassafrasspool-load");

/// Between nodes: for how many milliseconds more the target counts as cold; absent if it
/// is warm.
pub const COLD_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-cold-ms");

/// Between nodes: the service that the request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("x-sassafrasspool-service");

/// Between nodes: how urgent the request is, by the route of the first hop.
pub const CLASS: HeaderName = HeaderName::from_static("x-sassafrasspool-class");

/// Between nodes: the kind of the request, by the route of the first hop.
pub const KIND: HeaderName = HeaderName::from_static("x-sassafrasspool-kind");

/// Between nodes: milliseconds within which the answer is worth most; 0 if that
/// time has passed.
pub const AIM_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-aim-ms");

/// Between nodes: 1 if nobody else is asked for room after this, so that a late
/// place in the queue is better than none.
pub const SETTLES: HeaderName = HeaderName::from_static("x-sassafrasspool-settles");

/// Between nodes: 1 if this only asks whether there would be room for a request
/// with these headers, whose body is too long to be sent in vain.
pub const ROOM: HeaderName = HeaderName::from_static("x-sassafrasspool-room");

/// Between nodes: the life of the target that the request is meant for.
pub const LIFE: HeaderName = HeaderName::from_static("x-sassafrasspool-life");

/// Between nodes: the service beside whose target the request began.
pub const ORIGIN: HeaderName = HeaderName::from_static("x-sassafrasspool-origin");

/// Between nodes: what the request asks for, as a hash.
pub const CONTENT: HeaderName = HeaderName::from_static("x-sassafrasspool-content");

/// Between nodes: 1 if this is the first attempt with its key.
pub const FIRST: HeaderName = HeaderName::from_static("x-sassafrasspool-first");

/// Between nodes: the step at which a request was refused or lost.
pub const STEP: HeaderName = HeaderName::from_static("x-sassafrasspool-step");

/// Between nodes: why a request was refused or lost.
pub const REASON: HeaderName = HeaderName::from_static("x-sassafrasspool-reason");

/// What all headers begin with that only nodes may set.
pub const OWN_PREFIX: &str = "x-sassafrasspool-";

/// What an answer says of a request that no target answered, if it says so;
/// whatever isn't a clear `not-run` is unknown.
pub fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    let told = headers.get(OUTCOME)?.to_str().ok();
    let told = told.and_then(Outcome::from_name);
    Some(told.unwrap_or(Outcome::Unknown))
}
