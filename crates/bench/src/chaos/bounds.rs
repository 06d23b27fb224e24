//! Time bounds of a chaos run, and the node settings that match them.

use std::time::Duration;

/// The longest time until a version is in force on every running node. It
/// also holds right after the source has recovered.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(8);

/// Settings of the nodes. The leases are short enough to expire and to be
/// taken over within a run, and the proofs of the instance list reach all nodes
/// within a lease. Every call and every pause is shorter than a lease, as the
/// nodes assume.
pub const NODE_SETTINGS: &str = "\
repeat: {lease_ms: 2500, hold_ms: 20000}
spread: {interval_ms: 200, watch_ms: 500, contact_bound_ms: 1000, takeover_step_ms: 100}
";

/// How long owners of request keys wait after the start before they run any
/// keyed request.
pub const KEY_OWNERS_SETTLE_TIME: Duration = Duration::from_millis(6_000);

/// How long the nodes are observed after the last call.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);
