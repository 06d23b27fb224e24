use std::time::Duration;

use crate::ColdStart;
use crate::Coldness;
use crate::TargetId;
use crate::TargetLife;
use crate::Tick;

const LASTS: Duration = Duration::from_secs(3);

fn start() -> ColdStart {
    ColdStart {
        lasts: LASTS,
        per_s: 10,
        probe_path: None,
    }
}

fn life(id: &str) -> TargetLife {
    TargetLife {
        id: TargetId::new(id).unwrap(),
        listed_at: 1,
        born: None,
    }
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A target that was listed as warm and has proved it.
fn warm() -> Coldness {
    let mut coldness = Coldness::default();
    coldness.follow_list(at(0), &start(), &life("i-1"), Duration::ZERO);
    coldness.probed(at(10), Duration::ZERO);
    coldness
}

/// Guards against a node that restarts beside a cold target and trusts an older list.
#[test]
fn a_target_is_cold_at_the_start_of_its_node_until_it_tells() {
    let mut coldness = Coldness::default();
    coldness.follow_list(at(500), &start(), &life("i-1"), Duration::ZERO);
    assert!(coldness.is_unproved());
    assert_eq!(coldness.until(), at(500) + LASTS);
    coldness.probed(at(510), millis(700));
    assert_eq!(coldness.until(), at(1_210));
    assert!(!coldness.is_unproved());
}

/// Guards against the load of a warm target on the next start at its address.
#[test]
fn a_new_start_is_cold_for_as_long_as_the_list_says() {
    let mut coldness = warm();
    coldness.follow_list(at(9_000), &start(), &life("i-2"), millis(2_400));
    assert_eq!(coldness.until(), at(11_400));
    // Another list with the same entry doesn't begin the time anew.
    coldness.follow_list(at(10_000), &start(), &life("i-2"), millis(2_400));
    assert_eq!(coldness.until(), at(11_400));
}

/// Guards against requests of nodes whose list is ahead of the own one.
#[test]
fn a_start_that_requests_name_first_is_cold() {
    let mut coldness = warm();
    coldness.follow_request(at(5_000), &start(), "i-2");
    assert_eq!(coldness.until(), at(5_000) + LASTS);
    assert!(coldness.is_unproved());
    // Late requests for the start before it change nothing.
    coldness.follow_request(at(6_000), &start(), "i-1");
    assert_eq!(coldness.until(), at(5_000) + LASTS);
    // The list tells less, and both are bounds.
    coldness.follow_list(at(5_100), &start(), &life("i-2"), millis(1_000));
    assert_eq!(coldness.until(), at(6_100));
}

/// Guards against a warm target's load on one that became cold under the same name.
#[test]
fn a_target_that_is_cold_again_is_limited_again() {
    let mut coldness = warm();
    coldness.follow_list(at(20_000), &start(), &life("i-1"), millis(1_500));
    assert_eq!(coldness.until(), at(21_500));
}

/// Guards against the full load on targets that became cold while they were evacuated.
#[test]
fn a_target_is_cold_after_each_evacuation() {
    let mut coldness = warm();
    for begin in [10_000, 14_000] {
        coldness.follow_evacuation(at(begin), &start(), true);
        assert!(!coldness.is_unproved());
        coldness.follow_evacuation(at(begin + 900), &start(), false);
        assert_eq!(coldness.until(), at(begin + 900) + LASTS);
        assert!(coldness.is_unproved());
        coldness.probed(at(begin + 910), Duration::ZERO);
    }
}
