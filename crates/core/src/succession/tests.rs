use rstest::rstest;

use super::SETTLED;
use super::Succession;
use crate::Tick;

/// What a node sees of its target, in order.
#[derive(Debug, Clone, Copy)]
enum Seen {
    /// A life answered.
    Answered(&'static str),
    /// A request for the first was declined by the second.
    Declined(&'static str, &'static str),
}

#[derive(Debug)]
struct Case {
    seen: &'static [Seen],
    /// The life that a request for `t-1` then names.
    meant: &'static str,
}

/// Guards against requests that name an ended life while the platform is away.
#[rstest]
#[case::nothing_seen(Case { seen: &[], meant: "t-1" })]
#[case::started_anew(Case { seen: &[Seen::Declined("t-1", "t-2")], meant: "t-2" })]
#[case::goes_on(Case {
    seen: &[Seen::Declined("t-1", "t-2"), Seen::Answered("t-2")],
    meant: "t-2",
})]
#[case::address_given_away(Case {
    seen: &[Seen::Answered("t-1"), Seen::Declined("t-1", "t-2")],
    meant: "t-1",
})]
#[case::given_away_later(Case {
    seen: &[Seen::Declined("t-1", "t-2"), Seen::Answered("t-2"), Seen::Declined("t-2", "t-3")],
    meant: "t-1",
})]
#[case::another_was_asked_for(Case { seen: &[Seen::Declined("t-0", "t-2")], meant: "t-1" })]
#[case::contradiction(Case { seen: &[Seen::Declined("t-1", "t-1")], meant: "t-1" })]
fn a_request_names_the_life_that_answers_if_that_is_sure(#[case] case: Case) {
    let mut lives = Succession::default();
    for seen in case.seen {
        match seen {
            Seen::Answered(life) => lives.answered(life),
            Seen::Declined(named, answering) => {
                lives.declined(Tick::ZERO, named, answering);
            }
        }
    }
    let settled = Tick::ZERO + SETTLED;
    assert_eq!(*lives.meant(settled, &"t-1"), case.meant, "{case:?}");
}

/// Guards against requests that run at another service's target at a reused address.
#[test]
fn a_life_is_not_named_before_the_settings_had_time_to_change() {
    let mut lives = Succession::default();
    lives.declined(Tick::ZERO, &"t-1", &"t-2");
    let before = Tick::ZERO + SETTLED / 2;
    lives.declined(before, &"t-1", &"t-2");
    assert_eq!(*lives.meant(before, &"t-1"), "t-1");
    let settled = Tick::ZERO + SETTLED;
    assert_eq!(*lives.meant(settled, &"t-1"), "t-2");
}

// Each of many requests that are under way is declined; the log tells it once.
#[test]
fn a_life_that_took_over_is_news_once() {
    let mut lives = Succession::default();
    assert!(lives.declined(Tick::ZERO, &"t-1", &"t-2"));
    assert!(!lives.declined(Tick::ZERO, &"t-1", &"t-2"));
    assert!(lives.declined(Tick::ZERO, &"t-1", &"t-3"));
}
