use std::time::Duration;

use sassafrasspool_core::Class;

use super::reasons;
use crate::load::CallRecord;
use crate::load::Ending;

fn record(ending: Ending, detail: &str) -> CallRecord {
    CallRecord {
        id: "d-1-1".to_owned(),
        key: None,
        attempt: 1,
        kind: "review",
        class: Class::Standard,
        weight: 1,
        idempotent: true,
        entry: None,
        sent_us: 0,
        ended_us: 0,
        latency: Duration::ZERO,
        status: None,
        ending,
        detail: detail.to_owned(),
    }
}

#[test]
fn reasons_are_counted_by_outcome() {
    let settling = r#"{"outcome":"not-run","step":"admission","reason":"settling"}"#;
    let lost = r#"{"outcome":"unknown","step":"forward","reason":"connection-lost"}"#;
    let records = [
        record(Ending::NotRun, settling),
        record(Ending::Unknown, lost),
        record(Ending::NotRun, settling),
        record(Ending::Broken, "connection closed"),
        record(Ending::Answered, ""),
    ];
    let counts = reasons(&records);
    let counts: Vec<_> = counts
        .iter()
        .map(|(reason, n)| (reason.as_str(), *n))
        .collect();
    assert_eq!(
        counts,
        [("not-run: settling", 2), ("unknown: connection-lost", 1)]
    );
}
