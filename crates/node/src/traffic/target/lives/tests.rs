use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;

use super::OwnLife;

fn life(id: &str, listed_at: u64, born: Option<u64>) -> TargetGeneration {
    TargetGeneration {
        id: TargetId::new(id).expect("a name"),
        listed_revision: listed_at,
        started_ms: born,
    }
}

/// Guards against requests that go out on connections to a process that has ended.
#[test]
fn another_start_is_told_once() {
    let own = OwnLife::default();
    assert!(!own.follow(&life("t-1", 5, Some(100))), "the first");
    assert!(!own.follow(&life("t-1", 9, Some(100))), "listed anew");
    assert!(own.follow(&life("t-1", 9, Some(200))), "started again");
    assert!(!own.follow(&life("t-1", 9, Some(200))), "told already");
    assert!(own.follow(&life("t-2", 12, None)), "another name");
}
