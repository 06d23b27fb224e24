//! How long things take in a chaos run, and the nodes' settings that go with it.

use std::time::Duration;

/// How long a version may take until it is in force on every node that runs,
/// also when the source was back just before.
pub const IN_FORCE: Duration = Duration::from_secs(8);

/// Leases short enough to end and to be taken up again within a run, and
/// proofs of the instance list that come around within a lease. No call and no
/// pause is as long as a lease, as the nodes assume.
pub const SETTINGS: &str = "\
repeat: {lease_ms: 2500, hold_ms: 20000}
spread: {interval_ms: 200, watch_ms: 500, contact_bound_ms: 1000, takeover_step_ms: 100}
";

/// How long the owners of keys wait before they run any.
pub const OWNERS_SETTLE: Duration = Duration::from_millis(6_000);

/// How long nodes are watched after the last call.
pub const SETTLE: Duration = Duration::from_secs(1);
