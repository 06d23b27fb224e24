//! Waits for conditions.

use std::time::Duration;
use std::time::Instant;

/// How long a condition may take, far above what any condition needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until `condition` returns true; panics with `what` after [`TIMEOUT`].
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not within 20 s: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
