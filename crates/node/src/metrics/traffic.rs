//! Names of the traffic side's metrics, with what they count.

use metrics::Unit;
use metrics::describe_counter;
use metrics::describe_histogram;

/// Requests that ended, by `port` and `result`.
pub(crate) const REQUESTS: &str = "sassafrasspool_requests_total";
/// Requests that were refused or lost, by `port`, `step` and `reason`.
pub(crate) const MISSED: &str = "sassafrasspool_requests_missed_total";
/// Attempts after which a request was tried again, by `reason`.
pub(crate) const RETRIES: &str = "sassafrasspool_retries_total";
/// Connections to other nodes that were opened.
pub(crate) const PEER_CONNECTIONS: &str = "sassafrasspool_peer_connections_opened_total";
/// Connections to the target that were opened.
pub(crate) const TARGET_CONNECTIONS: &str = "sassafrasspool_target_connections_opened_total";

/// Seconds from a request's arrival at its first node to the head of its
/// answer, by `class`.
pub(crate) const WHOLE: &str = "sassafrasspool_request_seconds";
/// Seconds that a request waited for a slot beside its target, by `class`.
pub(crate) const QUEUE: &str = "sassafrasspool_queue_seconds";
/// Seconds from the hand-over to a target to the head of its answer, by `class`.
pub(crate) const TARGET: &str = "sassafrasspool_target_seconds";

/// Gives the recorder the texts of the metrics' help lines.
pub(super) fn describe() {
    describe_counter!(REQUESTS, "Requests that ended");
    describe_counter!(MISSED, "Requests that got no answer of a target");
    describe_counter!(RETRIES, "Attempts after which a request was tried again");
    describe_counter!(PEER_CONNECTIONS, "Connections opened to other nodes");
    describe_histogram!(WHOLE, Unit::Seconds, "From arrival to the answer's head");
    describe_histogram!(QUEUE, Unit::Seconds, "Waiting for a slot");
    describe_histogram!(
        TARGET,
        Unit::Seconds,
        "From the hand-over to the answer's head"
    );
    describe_counter!(TARGET_CONNECTIONS, "Connections opened to the target");
}
