//! Changes of what is reached.

use super::Change;
use super::Reach;

/// Guards against an outage that leaves no line in the log, or fills it.
#[test]
fn an_outage_has_one_line_at_its_begin_and_one_at_its_end() {
    let reach = Reach::new("platform");
    let missed = || reach.missed("catalogue", "connection refused");
    let found = || reach.found("catalogue");
    let changes = [found(), missed(), missed(), missed(), found(), found()];
    let [lost, regained] = [Change::Lost, Change::Regained { missed: 3 }].map(Some);
    assert_eq!(changes, [None, lost, None, None, regained, None]);
}
