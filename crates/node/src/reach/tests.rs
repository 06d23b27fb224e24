//! Changes of what is reached.

use super::Change;
use super::Reach;

// The platform was away for five minutes. The logs of the nodes had no line of
// it, as failed reads were told at a level that nobody turns on; told each time,
// they would have been all there is in the log.
#[test]
fn an_outage_has_one_line_at_its_begin_and_one_at_its_end() {
    let reach = Reach::new("platform");
    let missed = || reach.missed("catalogue", "connection refused");
    let found = || reach.found("catalogue");
    let changes = [found(), missed(), missed(), missed(), found(), found()];
    let [lost, regained] = [Change::Lost, Change::Regained { missed: 3 }].map(Some);
    assert_eq!(changes, [None, lost, None, None, regained, None]);
}
