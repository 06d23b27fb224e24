//! Names of the control side's metrics, with what they count.

use metrics::Unit;
use metrics::describe_counter;
use metrics::describe_gauge;

/// Versions that came into force, by `stream` and `origin`.
pub(crate) const APPLIED: &str = "sassafrasspool_versions_applied_total";
/// Versions refused whole, by `stream`.
pub(crate) const REFUSED: &str = "sassafrasspool_versions_refused_total";
/// Revisions that came with two contents, by `stream`.
pub(crate) const CONFLICTS: &str = "sassafrasspool_version_conflicts_total";
/// Bodies that didn't decode or hadn't the digest announced, by `stream`.
pub(crate) const BODIES_REFUSED: &str = "sassafrasspool_bodies_refused_total";
/// Older versions offered as the newest, by `stream`.
pub(crate) const OLDER: &str = "sassafrasspool_older_versions_ignored_total";
/// The revision in force, by `stream`.
pub(crate) const REVISION: &str = "sassafrasspool_revision";
/// Messages between nodes, by `kind` and `direction`.
pub(crate) const MESSAGES: &str = "sassafrasspool_peer_messages_total";
/// Calls to nodes that failed, by `step`.
pub(crate) const CALLS_FAILED: &str = "sassafrasspool_peer_calls_failed_total";
/// Faults of nodes that called, by `step`.
pub(crate) const PEER_FAULTS: &str = "sassafrasspool_peer_faults_total";
/// Reads of the platform, by `stream` and `result`.
pub(crate) const READS: &str = "sassafrasspool_source_reads_total";
/// Seconds since the newest proof that a node reached the platform.
pub(crate) const SOURCE_AGE: &str = "sassafrasspool_source_age_seconds";
/// Bytes of control connections, by `direction`.
pub(crate) const CONTROL_BYTES: &str = "sassafrasspool_control_bytes_total";
/// Requests that the node works on.
pub(crate) const IN_FLIGHT: &str = "sassafrasspool_requests_in_flight";
/// Nodes that this one may talk to.
pub(crate) const PEERS: &str = "sassafrasspool_peers";
/// The phase of the node's endpoint: 0 starting, 1 ready, 2 draining, 3 gone.
pub(crate) const PHASE: &str = "sassafrasspool_phase";
/// Whether the node reads the platform for its failure domain.
pub(crate) const READING: &str = "sassafrasspool_reading";
/// Times that another process was found in this one's place.
pub(crate) const REPLACED: &str = "sassafrasspool_replaced_total";
/// Times that the process was found to have been paused.
pub(crate) const PAUSES: &str = "sassafrasspool_pauses_total";
/// Times that the own target crashed.
pub(crate) const TARGET_CRASHES: &str = "sassafrasspool_target_crashes_total";
/// Requests that came into quarantine, since targets crash under them.
pub(crate) const QUARANTINED: &str = "sassafrasspool_quarantined_total";

/// Log lines left out for want of budget or because nobody reads, by `rank`.
pub(crate) const LOG_LEFT_OUT: &str = "sassafrasspool_log_lines_left_out_total";

/// Gives the recorder the texts of the metrics' help lines.
pub(super) fn describe() {
    describe_counter!(APPLIED, "Versions that came into force");
    describe_counter!(REFUSED, "Versions refused whole");
    describe_counter!(CONFLICTS, "Revisions that came with two contents");
    describe_counter!(BODIES_REFUSED, "Bodies damaged or not as announced");
    describe_counter!(OLDER, "Older versions offered as the newest");
    describe_counter!(TARGET_CRASHES, "Crashes of the own target");
    describe_counter!(QUARANTINED, "Requests that came into quarantine");
    describe_gauge!(REVISION, "Revision in force");
    describe_counter!(MESSAGES, "Messages between nodes");
    describe_counter!(CALLS_FAILED, "Calls to nodes that failed");
    describe_counter!(PEER_FAULTS, "Faults of nodes that called");
    describe_counter!(READS, "Reads of the platform");
    describe_gauge!(
        SOURCE_AGE,
        Unit::Seconds,
        "Age of the newest contact with the platform"
    );
    describe_counter!(CONTROL_BYTES, Unit::Bytes, "Bytes of control connections");
    describe_gauge!(IN_FLIGHT, "Requests that the node works on");
    describe_gauge!(PEERS, "Nodes that this one may talk to");
    describe_gauge!(PHASE, "Phase of the endpoint, 0 starting to 3 gone");
    describe_gauge!(READING, "Whether the node reads the platform");
    describe_counter!(REPLACED, "Times another process took this one's place");
    describe_counter!(LOG_LEFT_OUT, "Log lines left out");
    describe_counter!(PAUSES, "Times that the process had been paused");
}
