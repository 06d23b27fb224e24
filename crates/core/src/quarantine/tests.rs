use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::Content;
use super::Report;
use super::ReportId;
use super::Reports;
use super::Sighting;
use crate::InstanceId;
use crate::Tick;

/// When the reports of the cases are heard, in seconds.
const NOW_S: u64 = 1_000;

fn at(secs: u64) -> Tick {
    Tick::from_millis(1_000 * secs)
}

fn content(path: &str) -> Content {
    let (path, query) = path
        .split_once('?')
        .map_or((path, None), |(path, query)| (path, Some(query)));
    Content::of("GET", "desk.example", path, query, b"")
}

/// A report of something that was seen in second `at_s`, heard in second `now_s`.
fn report(number: u64, at_s: u64, now_s: u64, sighting: Sighting) -> Report {
    Report {
        id: ReportId {
            witness: InstanceId::new("wd-1").unwrap(),
            incarnation: 1,
            number,
        },
        age_ms: u32::try_from(1_000 * (now_s - at_s)).unwrap(),
        sighting,
    }
}

#[derive(Debug, Clone, Copy)]
enum Seen {
    /// A crash under these.
    Crash(u64, &'static [&'static str]),
    /// An answer to it.
    Answer(u64, &'static str),
    /// An operator's release.
    Release(u64, &'static str),
}

impl Seen {
    fn report(self, number: u64) -> Report {
        match self {
            Seen::Crash(at_s, ran) => {
                let ran = ran.iter().map(|path| content(path)).collect();
                report(number, at_s, NOW_S, Sighting::Crashed(ran))
            }
            Seen::Answer(at_s, path) => {
                let answered = content(path).whole();
                report(number, at_s, NOW_S, Sighting::Answered(answered))
            }
            Seen::Release(at_s, path) => {
                let released = content(path).whole();
                report(number, at_s, NOW_S, Sighting::Released(released))
            }
        }
    }
}

#[derive(Debug)]
struct Case {
    seen: &'static [Seen],
    held: &'static [&'static str],
    free: &'static [&'static str],
}

#[rstest]
#[case::two_crashes_are_too_few(Case {
    seen: &[Seen::Crash(990, &["/a"]), Seen::Crash(991, &["/a"])],
    held: &[],
    free: &["/a"],
})]
#[case::the_third_is_enough(Case {
    seen: &[
        Seen::Crash(990, &["/a", "/b"]),
        Seen::Crash(991, &["/a", "/c"]),
        Seen::Crash(999, &["/d", "/a"]),
    ],
    held: &["/a"],
    free: &["/b", "/c", "/d"],
})]
#[case::many_copies_in_one_crash_are_one(Case {
    seen: &[Seen::Crash(990, &["/a", "/a", "/a"]), Seen::Crash(991, &["/a"])],
    held: &[],
    free: &["/a"],
})]
#[case::an_answer_excuses_what_was_before(Case {
    seen: &[
        Seen::Crash(990, &["/a"]),
        Seen::Crash(991, &["/a"]),
        Seen::Answer(992, "/a"),
        Seen::Crash(998, &["/a"]),
        Seen::Crash(999, &["/a"]),
    ],
    held: &[],
    free: &["/a"],
})]
// All targets of a failure domain fall at once, under what every one of them ran.
#[case::an_answer_excuses_what_comes_shortly_after(Case {
    seen: &[
        Seen::Answer(985, "/a"),
        Seen::Crash(990, &["/a"]),
        Seen::Crash(990, &["/a"]),
        Seen::Crash(990, &["/a"]),
    ],
    held: &[],
    free: &["/a"],
})]
// Targets were mended, and operators let the request run again.
#[case::a_release_excuses_what_was_before(Case {
    seen: &[
        Seen::Crash(990, &["/a", "/b"]),
        Seen::Crash(991, &["/a", "/b"]),
        Seen::Crash(992, &["/a", "/b"]),
        Seen::Release(993, "/a"),
    ],
    held: &["/b"],
    free: &["/a"],
})]
// They weren't mended: unlike an answer, a release speaks for nothing that comes after it.
#[case::a_release_excuses_nothing_after_it(Case {
    seen: &[
        Seen::Crash(980, &["/a"]),
        Seen::Crash(981, &["/a"]),
        Seen::Crash(982, &["/a"]),
        Seen::Release(983, "/a"),
        Seen::Crash(984, &["/a"]),
        Seen::Crash(985, &["/a"]),
        Seen::Crash(986, &["/a"]),
    ],
    held: &["/a"],
    free: &[],
})]
// A new release of a service crashes under what the one before answered.
#[case::an_answer_long_ago_excuses_nothing(Case {
    seen: &[
        Seen::Answer(900, "/a"),
        Seen::Crash(990, &["/a"]),
        Seen::Crash(991, &["/a"]),
        Seen::Crash(992, &["/a"]),
    ],
    held: &["/a"],
    free: &[],
})]
#[case::an_answer_to_another_excuses_nothing(Case {
    seen: &[
        Seen::Crash(990, &["/a"]),
        Seen::Crash(991, &["/a"]),
        Seen::Crash(992, &["/a"]),
        Seen::Answer(993, "/b"),
    ],
    held: &["/a"],
    free: &["/b"],
})]
#[case::queries_that_change_are_one_request(Case {
    seen: &[
        Seen::Crash(990, &["/a?page=1"]),
        Seen::Crash(991, &["/a?page=2"]),
        Seen::Crash(992, &["/a?page=3"]),
    ],
    held: &["/a?page=1", "/a?page=4", "/a"],
    free: &["/b?page=1"],
})]
#[case::one_query_is_no_sign_against_others(Case {
    seen: &[
        Seen::Crash(990, &["/a?page=1"]),
        Seen::Crash(991, &["/a?page=1"]),
        Seen::Crash(992, &["/a?page=1", "/a?page=2"]),
        Seen::Crash(993, &["/a?page=1"]),
    ],
    held: &["/a?page=1"],
    free: &["/a?page=2", "/a"],
})]
#[case::an_answer_to_another_query_excuses_the_path(Case {
    seen: &[
        Seen::Crash(990, &["/a?page=1"]),
        Seen::Crash(991, &["/a?page=2"]),
        Seen::Crash(992, &["/a?page=3"]),
        Seen::Answer(993, "/a"),
    ],
    held: &[],
    free: &["/a?page=1", "/a"],
})]
// After ten minutes without a crash it may show that its targets were mended.
#[case::it_ends(Case {
    seen: &[
        Seen::Crash(390, &["/a"]),
        Seen::Crash(391, &["/a"]),
        Seen::Crash(399, &["/a"]),
    ],
    held: &[],
    free: &["/a"],
})]
#[case::and_one_crash_more_brings_it_back(Case {
    seen: &[
        Seen::Crash(390, &["/a"]),
        Seen::Crash(391, &["/a"]),
        Seen::Crash(399, &["/a"]),
        Seen::Crash(999, &["/a"]),
    ],
    held: &["/a"],
    free: &[],
})]
fn what_is_in_quarantine_follows_from_what_was_seen(#[case] case: Case) {
    // In whatever order it is heard, and also by a node that started in between.
    for started_s in [0, 995] {
        for seed in 0..8 {
            let mut reports: Vec<Report> =
                (1..).zip(case.seen).map(|(n, it)| it.report(n)).collect();
            let mut rng = SmallRng::seed_from_u64(seed);
            for n in 0..reports.len() {
                let other = rng.random_range(0..reports.len());
                reports.swap(n, other);
            }
            let now = at(NOW_S - started_s);
            let mut known = Reports::default();
            for report in &reports {
                assert!(known.merge(now, report));
                known.judge();
            }
            let held = |path: &&str| known.verdicts().held_until(now, &content(path)).is_some();
            assert!(case.held.iter().all(held), "{case:?}, {started_s}, {seed}");
            assert!(!case.free.iter().any(held), "{case:?}, {started_s}, {seed}");
        }
    }
}

fn crash(number: u64, now_s: u64, path: &str) -> Report {
    report(number, now_s, now_s, Sighting::Crashed(vec![content(path)]))
}

// Hundreds of targets fall for reasons of their own after one request had crashed three.
// The reports of those three must not go to make room.
#[test]
fn reports_without_weight_make_room() {
    let mut known = Reports::default();
    for number in 0..3 {
        known.merge(at(1), &crash(number, 1, "/a"));
    }
    known.judge();
    for number in 3..3_000 {
        known.merge(at(2), &crash(number, 2, &format!("/other/{number}")));
        known.judge();
    }
    let held = known.verdicts().held_until(at(3), &content("/a"));
    assert!(held.is_some());
    let told = known.reports_to_send(at(3));
    let of_it = |it: &&Report| it.id.number < 3;
    assert_eq!(told.iter().filter(of_it).count(), 3);
}

// Two nodes that know the same have the same root, and one that forgot has another.
#[test]
fn the_root_is_that_of_what_is_known() {
    let (mut one, mut other) = (Reports::default(), Reports::default());
    let reports: Vec<Report> = (0..5).map(|n| crash(n, 1, "/a")).collect();
    for report in &reports {
        one.merge(at(1), report);
    }
    for report in reports.iter().rev().chain(&reports) {
        other.merge(at(2), report);
    }
    assert_eq!(one.root(), other.root());
    other.judge();
    other.forget(at(3_000));
    assert_eq!(one.root(), other.root());
    other.forget(at(5_000));
    assert_eq!(other.root(), Reports::default().root());
    other.judge();
    assert!(other.verdicts().held().next().is_none());
    assert!(other.verdicts().doubted().next().is_none());
}

#[test]
fn contents_are_read_as_they_are_written() {
    for path in ["/a", "/a?page=1"] {
        let written = content(path);
        assert_eq!(Content::parse(&written.to_string()).unwrap(), written);
    }
    for bad in ["", "-", "0123", "0123456789abcdeg", "+123456789abcdef"] {
        assert!(Content::parse(bad).is_err(), "{bad}");
    }
    let parts = Content::of("GET", "ab", "/c", None, b"");
    assert_ne!(parts, Content::of("GET", "a", "b/c", None, b""));
    assert_ne!(parts, Content::of("GET", "ab", "/c", None, b"x"));
    assert_ne!(parts, Content::of("GET", "ab", "/c", Some(""), b""));
}

#[test]
fn a_request_may_run_again_at_the_end_of_its_quarantine() {
    let mut known = Reports::default();
    for number in 0..3 {
        known.merge(at(10), &crash(number, 10, "/a"));
    }
    known.judge();
    let until = known.verdicts().held_until(at(11), &content("/a"));
    assert_eq!(until, Some(at(10) + Duration::from_secs(600)));
    assert_eq!(known.verdicts().held_until(at(610), &content("/a")), None);
}
