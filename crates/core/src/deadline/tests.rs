use std::time::Duration;

use rstest::rstest;

use crate::Deadline;
use crate::Tick;

#[derive(Debug)]
struct Case {
    left_ms: u64,
    next_hop_us: u64,
}

#[rstest]
#[case(Case { left_ms: 0, next_hop_us: 0 })]
#[case(Case { left_ms: 1, next_hop_us: 980 })]
#[case(Case { left_ms: 100, next_hop_us: 98_000 })]
#[case(Case { left_ms: 10_000, next_hop_us: 9_995_000 })]
fn a_hop_subtracts_its_margin_up_to_the_maximum(#[case] case: Case) {
    let now = Tick::from_millis(500);
    let deadline = Deadline::within(now, Duration::from_millis(case.left_ms));
    let next_hop = Duration::from_micros(case.next_hop_us);
    assert_eq!(deadline.remaining_for_next_hop(now), next_hop, "{case:?}");
    assert_eq!(deadline.passed(now), case.left_ms == 0);
}

#[test]
fn nineteen_hops_leave_at_least_900_ms_of_a_second() {
    let now = Tick::from_millis(500);
    let step = |deadline: Deadline, _| Deadline::within(now, deadline.remaining_for_next_hop(now));
    let first = Deadline::within(now, Duration::from_secs(1));
    let last = (0..19).fold(first, step);
    assert!(last < first && last.remaining(now) >= Duration::from_millis(900));
}
