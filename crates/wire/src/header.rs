//! Names of the headers that nodes interpret.

use http::HeaderMap;
use http::HeaderName;
use sassafrasspool_core::Outcome;

/// From callers: the request key of a request that may be repeated. Requests with the
/// same key run once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// From callers: the id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// From callers: the caller timeout in milliseconds.
pub const REQUEST_TIMEOUT_MS: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// From callers: 1 on a first attempt; absent if the request may be a repeat.
pub const REQUEST_ATTEMPT: HeaderName = HeaderName::from_static("x-request-attempt");

/// From targets: the requests a second that the target accepts from all nodes together, as
/// a decimal number. The limit applies until an answer lacks it.
pub const TARGET_RATE_LIMIT: HeaderName = HeaderName::from_static("x-target-rate-limit");

/// From targets: present on all answers of a target that leaves. It still serves requests
/// for a few seconds.
pub const TARGET_LEAVING: HeaderName = HeaderName::from_static("x-target-leaving");

/// To callers and between nodes: `not-run` or `unknown`, on answers that no target sent.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-sassafrasspool-outcome");

/// Between nodes: milliseconds until the deadline.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-deadline-ms");

/// Between nodes: the number of nodes that the call has passed.
pub const HOP_COUNT: HeaderName = HeaderName::from_static("x-sassafrasspool-hop");

/// Between nodes: the load of the target as requests in flight, slots and queued requests.
pub const LOAD: HeaderName = HeaderName::from_static("x-sassafrasspool-load");

/// Between nodes: milliseconds until the target counts as warm; absent if it is warm
/// already.
pub const COLD_REMAINING_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-cold-ms");

/// Between nodes: the rate limit that the target states, as the sender knows it, in requests
/// a second; absent if it knows none.
pub const KNOWN_RATE_LIMIT: HeaderName = HeaderName::from_static("x-sassafrasspool-rate-limit");

/// Between nodes: the service that the request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("x-sassafrasspool-service");

/// Between nodes: the class of the request, by the route of the first hop.
pub const CLASS: HeaderName = HeaderName::from_static("x-sassafrasspool-class");

/// Between nodes: the kind of the request, by the route of the first hop.
pub const KIND: HeaderName = HeaderName::from_static("x-sassafrasspool-kind");

/// Between nodes: milliseconds until the soft deadline, until which the answer is worth
/// most; 0 if it has passed.
pub const SOFT_DEADLINE_MS: HeaderName = HeaderName::from_static("x-sassafrasspool-aim-ms");

/// Between nodes: 1 if the caller's node tries no other instance after this one, so that
/// a late place in the queue is better than none.
pub const LAST_RESORT: HeaderName = HeaderName::from_static("x-sassafrasspool-settles");

/// Between nodes: 1 on a capacity check, which only asks whether a request with these
/// headers would be admitted. Its body is too long to be sent to a node that then
/// rejects it.
pub const CAPACITY_CHECK: HeaderName = HeaderName::from_static("x-sassafrasspool-room");

/// Between nodes: the generation of the target that the request is addressed to.
pub const TARGET_GENERATION: HeaderName = HeaderName::from_static("x-sassafrasspool-life");

/// Between nodes: the service of the instance at which the request originated.
pub const ORIGIN_SERVICE: HeaderName = HeaderName::from_static("x-sassafrasspool-origin");

/// Between nodes: the hash of the request's content.
pub const CONTENT_HASH: HeaderName = HeaderName::from_static("x-sassafrasspool-content");

/// Between nodes: 1 on the first attempt with a request key.
pub const FIRST_ATTEMPT: HeaderName = HeaderName::from_static("x-sassafrasspool-first");

/// Between nodes: 1 on requests of routes with large answers.
pub const LARGE_ANSWER: HeaderName = HeaderName::from_static("x-sassafrasspool-large");

/// Between nodes: the delay of the target's outgoing link and the time that an average large
/// answer takes on it, on answers and refusals to requests of routes with large answers.
pub const LINK_REPORT: HeaderName = HeaderName::from_static("x-sassafrasspool-link");

/// Between nodes: 1 if the request's caller was refused before and has returned at the time
/// that it was told.
pub const RETURNING: HeaderName = HeaderName::from_static("x-sassafrasspool-returning");

/// Between nodes: the step at which a request was refused or lost.
pub const STEP: HeaderName = HeaderName::from_static("x-sassafrasspool-step");

/// Between nodes: why a request was refused or lost.
pub const REASON: HeaderName = HeaderName::from_static("x-sassafrasspool-reason");

/// The prefix of the headers that only nodes may set.
pub const INTERNAL_PREFIX: &str = "x-sassafrasspool-";

/// The outcome in an answer's [`OUTCOME`] header, if it has one. A value that isn't
/// valid counts as unknown.
pub fn parse_outcome(headers: &HeaderMap) -> Option<Outcome> {
    let name = headers.get(OUTCOME)?.to_str().ok();
    let outcome = name.and_then(Outcome::from_name);
    Some(outcome.unwrap_or(Outcome::Unknown))
}
