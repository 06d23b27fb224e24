//! Names and help texts of the traffic side's metrics.

use metrics::Unit;
use metrics::describe_counter;
use metrics::describe_histogram;

/// Requests that ended, by `port` and `result`.
pub(crate) const REQUESTS: &str = "sassafrasspool_requests_total";
/// Requests that were refused or lost, by `port`, `step` and `reason`.
pub(crate) const REQUESTS_MISSED: &str = "sassafrasspool_requests_missed_total";
/// Attempts that were followed by a retry, by `reason`.
pub(crate) const RETRIES: &str = "sassafrasspool_retries_total";
/// Connections opened to other nodes.
pub(crate) const PEER_CONNECTIONS: &str = "sassafrasspool_peer_connections_opened_total";
/// Connections opened to the local target.
pub(crate) const TARGET_CONNECTIONS: &str = "sassafrasspool_target_connections_opened_total";
/// Requests that were admitted to the local target, by whether it was treated as cold.
pub(crate) const ADMISSIONS: &str = "sassafrasspool_admissions_total";
/// Answers of targets that this node cut, by `reason`.
pub(crate) const ANSWERS_CUT: &str = "sassafrasspool_answers_cut_total";
/// Retries of callers, by whether they returned at the time that they were told (`result`).
pub(crate) const RETURNS: &str = "sassafrasspool_returns_total";

/// Seconds from a request's arrival at its caller's node to the head of its
/// response, by `class`.
pub(crate) const REQUEST_SECONDS: &str = "sassafrasspool_request_seconds";
/// Seconds that a request waited for a slot of its target, by `class`.
pub(crate) const QUEUE_SECONDS: &str = "sassafrasspool_queue_seconds";
/// Seconds from the hand-over to a target to the head of its response, by `class`.
pub(crate) const TARGET_SECONDS: &str = "sassafrasspool_target_seconds";

/// Registers the help texts of the metrics with the recorder.
pub(super) fn describe() {
    describe_counter!(REQUESTS, "Requests that ended");
    describe_counter!(REQUESTS_MISSED, "Requests that got no answer of a target");
    describe_counter!(RETRIES, "Attempts after which a request was tried again");
    describe_counter!(PEER_CONNECTIONS, "Connections opened to other nodes");
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "From arrival to the answer's head"
    );
    describe_histogram!(QUEUE_SECONDS, Unit::Seconds, "Waiting for a slot");
    describe_histogram!(
        TARGET_SECONDS,
        Unit::Seconds,
        "From the hand-over to the answer's head"
    );
    describe_counter!(TARGET_CONNECTIONS, "Connections opened to the target");
    describe_counter!(ADMISSIONS, "Requests admitted to the target");
    describe_counter!(ANSWERS_CUT, "Answers of targets that the node cut");
    describe_counter!(RETURNS, "Retries of callers that were refused before");
}
