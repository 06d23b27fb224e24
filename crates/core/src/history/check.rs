//! Runs every rule over a history.

use super::Bounds;
use super::History;
use super::Violation;
use super::rule;

/// Returns every violation in a history, rule by rule.
///
/// The run counts as finished: a request without an end is lost.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let records = history.in_order();
    let mut found = Vec::new();
    for mut rule in rule::all(bounds) {
        for record in &records {
            rule.observe(record.at, &record.event, &mut found);
        }
        if let Some(last) = records.last() {
            rule.finish(last.at, &mut found);
        }
    }
    found
}
