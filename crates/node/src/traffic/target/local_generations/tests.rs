use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;

use super::LocalGenerations;

fn generation(id: &str, listed_at: u64, born: Option<u64>) -> TargetGeneration {
    TargetGeneration {
        id: TargetId::new(id).expect("the id is valid"),
        listed_revision: listed_at,
        started_ms: born,
    }
}

/// Guards against requests that are sent on connections to a process that has ended.
#[test]
fn a_restart_is_reported_once() {
    let own = LocalGenerations::default();
    assert!(
        !own.update_listed(&generation("t-1", 5, Some(100))),
        "the first"
    );
    assert!(
        !own.update_listed(&generation("t-1", 9, Some(100))),
        "listed again"
    );
    assert!(
        own.update_listed(&generation("t-1", 9, Some(200))),
        "restarted"
    );
    assert!(
        !own.update_listed(&generation("t-1", 9, Some(200))),
        "reported already"
    );
    assert!(
        own.update_listed(&generation("t-2", 12, None)),
        "another id"
    );
}
