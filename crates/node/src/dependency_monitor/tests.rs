//! Changes of a dependency's availability.

use super::AvailabilityChange;
use super::DependencyMonitor;

/// Guards against an outage that isn't logged, and against one that fills the log with a line
/// for each failure.
#[test]
fn outage_is_reported_once_at_its_start_and_once_at_its_end() {
    let monitor = DependencyMonitor::new("platform");
    let failure = || monitor.record_failure("catalogue", "connection refused");
    let success = || monitor.record_success("catalogue");
    let changes = [
        success(),
        failure(),
        failure(),
        failure(),
        success(),
        success(),
    ];
    let [lost, regained] = [
        AvailabilityChange::Lost,
        AvailabilityChange::Regained { failures: 3 },
    ]
    .map(Some);
    assert_eq!(changes, [None, lost, None, None, regained, None]);
}
