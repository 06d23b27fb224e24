use std::time::Duration;

use rstest::rstest;

use crate::Deadline;
use crate::Tick;

#[derive(Debug)]
struct Case {
    left_ms: u64,
    beyond_us: u64,
}

#[rstest]
#[case(Case { left_ms: 0, beyond_us: 0 })]
#[case(Case { left_ms: 1, beyond_us: 980 })]
#[case(Case { left_ms: 100, beyond_us: 98_000 })]
#[case(Case { left_ms: 10_000, beyond_us: 9_995_000 })]
fn a_hop_leaves_less_than_it_has(#[case] case: Case) {
    let now = Tick::from_millis(500);
    let deadline = Deadline::within(now, Duration::from_millis(case.left_ms));
    let beyond = Duration::from_micros(case.beyond_us);
    assert_eq!(deadline.remaining_beyond(now), beyond, "{case:?}");
    assert_eq!(deadline.passed(now), case.left_ms == 0);
}

#[test]
fn nineteen_hops_leave_most_of_a_second() {
    let now = Tick::from_millis(500);
    let step = |deadline: Deadline, _| Deadline::within(now, deadline.remaining_beyond(now));
    let first = Deadline::within(now, Duration::from_secs(1));
    let last = (0..19).fold(first, step);
    assert!(last < first && last.remaining(now) >= Duration::from_millis(900));
}
