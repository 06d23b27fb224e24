//! Names and help texts of the control side's metrics.

use metrics::Unit;
use metrics::describe_counter;
use metrics::describe_gauge;

/// Versions that came into force, by `stream` and `origin`.
pub(crate) const APPLIED: &str = "sassafrasspool_versions_applied_total";
/// Versions rejected as a whole, by `stream`.
pub(crate) const REFUSED: &str = "sassafrasspool_versions_refused_total";
/// Revisions received with two different contents, by `stream`.
pub(crate) const CONFLICTS: &str = "sassafrasspool_version_conflicts_total";
/// Bodies that didn't decode or didn't match the announced digest, by `stream`.
pub(crate) const BODIES_REFUSED: &str = "sassafrasspool_bodies_refused_total";
/// Ignored versions that were offered as the newest and are older than the held one,
/// by `stream`.
pub(crate) const OLDER_IGNORED: &str = "sassafrasspool_older_versions_ignored_total";
/// The revision in force, by `stream`.
pub(crate) const REVISION: &str = "sassafrasspool_revision";
/// Messages to and from peers, by `kind` and `direction`.
pub(crate) const MESSAGES: &str = "sassafrasspool_peer_messages_total";
/// Calls to peers that failed, by `step`.
pub(crate) const CALLS_FAILED: &str = "sassafrasspool_peer_calls_failed_total";
/// Failed connections and invalid messages from calling peers, by `step`.
pub(crate) const PEER_FAULTS: &str = "sassafrasspool_peer_faults_total";
/// Reads of the platform, by `stream` and `result`.
pub(crate) const READS: &str = "sassafrasspool_source_reads_total";
/// Seconds since the newest contact of any node with the platform that this node
/// has proof of.
pub(crate) const SOURCE_AGE: &str = "sassafrasspool_source_age_seconds";
/// Seconds for which the node may have missed changes.
pub(crate) const STALENESS: &str = "sassafrasspool_staleness_seconds";
/// Times that a node that isn't a reader began to read the platform, since its versions were
/// stale.
pub(crate) const CATCH_UPS: &str = "sassafrasspool_catch_ups_total";
/// Bytes sent and received on control connections, by `direction`.
pub(crate) const CONTROL_BYTES: &str = "sassafrasspool_control_bytes_total";
/// Requests in flight at the node.
pub(crate) const IN_FLIGHT: &str = "sassafrasspool_requests_in_flight";
/// Peers that this node may call.
pub(crate) const PEERS: &str = "sassafrasspool_peers";
/// The phase of the node's endpoint: 0 starting, 1 ready, 2 draining, 3 gone.
pub(crate) const PHASE: &str = "sassafrasspool_phase";
/// Whether the node reads the platform for its failure domain.
pub(crate) const READING: &str = "sassafrasspool_reading";
/// Times that another process was found running for this node's instance.
pub(crate) const REPLACED: &str = "sassafrasspool_replaced_total";
/// Times that the process was detected to have been paused.
pub(crate) const PAUSES: &str = "sassafrasspool_pauses_total";
/// Crashes of the local target.
pub(crate) const TARGET_CRASHES: &str = "sassafrasspool_target_crashes_total";
/// Requests put into quarantine because targets crash while they run them.
pub(crate) const QUARANTINED: &str = "sassafrasspool_quarantined_total";
/// The rate limit that the local target states, in requests a second; 0 without one.
pub(crate) const TARGET_LIMIT: &str = "sassafrasspool_target_limit_per_second";

/// Seconds that a large answer of average size waits for the outgoing link.
pub(crate) const LINK_DELAY: &str = "sassafrasspool_link_delay_seconds";
/// Bytes sent to callers and other nodes, by `traffic`: `large` answers or `other`.
pub(crate) const LINK_BYTES: &str = "sassafrasspool_link_bytes_total";
/// Requests refused because the link can't deliver their large answers in time.
pub(crate) const LINK_REFUSALS: &str = "sassafrasspool_link_refusals_total";

/// Log lines dropped because the byte budget or the buffer was exhausted, by `rank`.
pub(crate) const LOG_LEFT_OUT: &str = "sassafrasspool_log_lines_left_out_total";

/// Registers the help texts of the metrics with the recorder.
pub(super) fn describe() {
    describe_counter!(APPLIED, "Versions that came into force");
    describe_counter!(REFUSED, "Versions refused whole");
    describe_counter!(CONFLICTS, "Revisions that came with two contents");
    describe_counter!(BODIES_REFUSED, "Bodies damaged or not as announced");
    describe_counter!(OLDER_IGNORED, "Older versions offered as the newest");
    describe_counter!(TARGET_CRASHES, "Crashes of the own target");
    describe_counter!(QUARANTINED, "Requests that came into quarantine");
    describe_gauge!(TARGET_LIMIT, "Rate limit that the own target states");
    describe_gauge!(
        LINK_DELAY,
        Unit::Seconds,
        "Wait of large answers for the link"
    );
    describe_counter!(
        LINK_BYTES,
        Unit::Bytes,
        "Bytes sent, of large answers and others"
    );
    describe_counter!(LINK_REFUSALS, "Requests refused for lack of the link");
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
    describe_gauge!(
        STALENESS,
        Unit::Seconds,
        "Time for which changes may have been missed"
    );
    describe_counter!(
        CATCH_UPS,
        "Reads of a node that isn't a reader and lacks news"
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
