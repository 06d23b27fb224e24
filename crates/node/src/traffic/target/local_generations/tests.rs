use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::TargetId;

use super::LocalGenerations;

fn generation(id: &str, listed_revision: u64, started_ms: Option<u64>) -> TargetGeneration {
    TargetGeneration {
        id: TargetId::new(id).expect("the id is valid"),
        listed_revision,
        started_ms,
    }
}

/// Guards against requests that are sent on connections to a process that has ended.
#[test]
fn a_restart_is_reported_once() {
    let generations = LocalGenerations::default();
    assert!(
        !generations.update_listed(&generation("t-1", 5, Some(100))),
        "the first"
    );
    assert!(
        !generations.update_listed(&generation("t-1", 9, Some(100))),
        "listed again"
    );
    assert!(
        generations.update_listed(&generation("t-1", 9, Some(200))),
        "restarted"
    );
    assert!(
        !generations.update_listed(&generation("t-1", 9, Some(200))),
        "reported already"
    );
    assert!(
        generations.update_listed(&generation("t-2", 12, None)),
        "another id"
    );
}
