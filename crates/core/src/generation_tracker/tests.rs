use rstest::rstest;

use super::GenerationTracker;
use super::MIN_DECLINED_TIME;
use crate::Tick;

/// A response of the local target.
#[derive(Debug, Clone, Copy)]
enum Response {
    /// A generation answered a request that named it.
    Answered(&'static str),
    /// A request for the first generation was declined by the second.
    Declined(&'static str, &'static str),
}

#[derive(Debug)]
struct Case {
    responses: &'static [Response],
    /// The generation that a request for `t-1` then names.
    resolved: &'static str,
}

/// Guards against requests that name an ended generation while the platform is unavailable.
#[rstest]
#[case::nothing_seen(Case { responses: &[], resolved: "t-1" })]
#[case::restarted(Case { responses: &[Response::Declined("t-1", "t-2")], resolved: "t-2" })]
#[case::successor_answers(Case {
    responses: &[Response::Declined("t-1", "t-2"), Response::Answered("t-2")],
    resolved: "t-2",
})]
#[case::address_reassigned(Case {
    responses: &[Response::Answered("t-1"), Response::Declined("t-1", "t-2")],
    resolved: "t-1",
})]
#[case::address_reassigned_later(Case {
    responses: &[Response::Declined("t-1", "t-2"), Response::Answered("t-2"), Response::Declined("t-2", "t-3")],
    resolved: "t-1",
})]
#[case::another_generation_was_requested(Case { responses: &[Response::Declined("t-0", "t-2")], resolved: "t-1" })]
#[case::declined_by_the_named_generation(Case { responses: &[Response::Declined("t-1", "t-1")], resolved: "t-1" })]
fn a_request_names_the_successor_only_if_the_service_is_certainly_the_same(#[case] case: Case) {
    let mut generations = GenerationTracker::default();
    for response in case.responses {
        match response {
            Response::Answered(generation) => generations.record_answered(generation),
            Response::Declined(named, answering) => {
                generations.record_declined(Tick::ZERO, named, answering);
            }
        }
    }
    let later = Tick::ZERO + MIN_DECLINED_TIME;
    assert_eq!(
        *generations.resolve(later, &"t-1"),
        case.resolved,
        "{case:?}"
    );
}

/// Guards against requests that run at another service's target at a reused address.
#[test]
fn a_successor_is_not_named_before_the_settings_had_time_to_change() {
    let mut generations = GenerationTracker::default();
    generations.record_declined(Tick::ZERO, &"t-1", &"t-2");
    let before = Tick::ZERO + MIN_DECLINED_TIME / 2;
    generations.record_declined(before, &"t-1", &"t-2");
    assert_eq!(*generations.resolve(before, &"t-1"), "t-1");
    let later = Tick::ZERO + MIN_DECLINED_TIME;
    assert_eq!(*generations.resolve(later, &"t-1"), "t-2");
}

/// Guards against one log line per declined request when many requests are in flight.
#[test]
fn a_successor_is_reported_as_new_only_once() {
    let mut generations = GenerationTracker::default();
    assert!(generations.record_declined(Tick::ZERO, &"t-1", &"t-2"));
    assert!(!generations.record_declined(Tick::ZERO, &"t-1", &"t-2"));
    assert!(generations.record_declined(Tick::ZERO, &"t-1", &"t-3"));
}
