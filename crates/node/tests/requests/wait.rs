//! Waiting for conditions.

use std::time::Duration;
use std::time::Instant;

/// The longest that a condition may take, far above what any needs.
const BOUND: Duration = Duration::from_secs(20);

/// How often a condition is looked at.
const STEP: Duration = Duration::from_millis(2);

/// Waits until `condition` holds.
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < BOUND, "{what} never happened");
        tokio::time::sleep(STEP).await;
    }
}
