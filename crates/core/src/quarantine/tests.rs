use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::Content;
use super::Observation;
use super::QuarantineDecision;
use super::Report;
use super::ReportId;
use super::Reports;
use crate::InstanceId;
use crate::Tick;

/// When the reports of the cases are received, in seconds.
const RECEIVED_S: u64 = 1_000;

fn at(secs: u64) -> Tick {
    Tick::from_millis(1_000 * secs)
}

fn content(path: &str) -> Content {
    let (path, query) = path
        .split_once('?')
        .map_or((path, None), |(path, query)| (path, Some(query)));
    Content::of("GET", "desk.example", path, query, b"")
}

/// A report of an observation in second `at_s`, received in second `now_s`.
fn report(number: u64, at_s: u64, now_s: u64, observation: Observation) -> Report {
    Report {
        id: ReportId {
            reporter: InstanceId::new("wd-1").unwrap(),
            incarnation: 1,
            number,
        },
        age_ms: u32::try_from(1_000 * (now_s - at_s)).unwrap(),
        observation,
    }
}

#[derive(Debug, Clone, Copy)]
enum Observed {
    /// A crash while these ran.
    Crash(u64, &'static [&'static str]),
    /// An answer to this request.
    Answer(u64, &'static str),
    /// An operator's release of this request.
    Release(u64, &'static str),
}

impl Observed {
    fn report(self, number: u64) -> Report {
        match self {
            Observed::Crash(at_s, ran) => {
                let ran = ran.iter().map(|path| content(path)).collect();
                report(number, at_s, RECEIVED_S, Observation::Crashed(ran))
            }
            Observed::Answer(at_s, path) => {
                let answered = content(path).whole();
                report(number, at_s, RECEIVED_S, Observation::Answered(answered))
            }
            Observed::Release(at_s, path) => {
                let released = content(path).whole();
                report(number, at_s, RECEIVED_S, Observation::Released(released))
            }
        }
    }
}

#[derive(Debug)]
struct Case {
    observed: &'static [Observed],
    quarantined: &'static [&'static str],
    allowed: &'static [&'static str],
}

#[rstest]
#[case::two_crashes_are_too_few(Case {
    observed: &[Observed::Crash(990, &["/a"]), Observed::Crash(991, &["/a"])],
    quarantined: &[],
    allowed: &["/a"],
})]
#[case::the_third_crash_quarantines(Case {
    observed: &[
        Observed::Crash(990, &["/a", "/b"]),
        Observed::Crash(991, &["/a", "/c"]),
        Observed::Crash(999, &["/d", "/a"]),
    ],
    quarantined: &["/a"],
    allowed: &["/b", "/c", "/d"],
})]
#[case::copies_in_one_crash_count_once(Case {
    observed: &[Observed::Crash(990, &["/a", "/a", "/a"]), Observed::Crash(991, &["/a"])],
    quarantined: &[],
    allowed: &["/a"],
})]
#[case::an_answer_exempts_from_crashes_before_it(Case {
    observed: &[
        Observed::Crash(990, &["/a"]),
        Observed::Crash(991, &["/a"]),
        Observed::Answer(992, "/a"),
        Observed::Crash(998, &["/a"]),
        Observed::Crash(999, &["/a"]),
    ],
    quarantined: &[],
    allowed: &["/a"],
})]
// All targets of a failure domain crash at once, while all of them run the same request.
#[case::an_answer_exempts_from_crashes_shortly_after_it(Case {
    observed: &[
        Observed::Answer(985, "/a"),
        Observed::Crash(990, &["/a"]),
        Observed::Crash(990, &["/a"]),
        Observed::Crash(990, &["/a"]),
    ],
    quarantined: &[],
    allowed: &["/a"],
})]
// The targets were fixed, and operators released the request.
#[case::a_release_exempts_from_crashes_before_it(Case {
    observed: &[
        Observed::Crash(990, &["/a", "/b"]),
        Observed::Crash(991, &["/a", "/b"]),
        Observed::Crash(992, &["/a", "/b"]),
        Observed::Release(993, "/a"),
    ],
    quarantined: &["/b"],
    allowed: &["/a"],
})]
// The targets weren't fixed: unlike an answer, a release exempts from no crash after it.
#[case::a_release_does_not_exempt_from_later_crashes(Case {
    observed: &[
        Observed::Crash(980, &["/a"]),
        Observed::Crash(981, &["/a"]),
        Observed::Crash(982, &["/a"]),
        Observed::Release(983, "/a"),
        Observed::Crash(984, &["/a"]),
        Observed::Crash(985, &["/a"]),
        Observed::Crash(986, &["/a"]),
    ],
    quarantined: &["/a"],
    allowed: &[],
})]
// A new version of a service crashes on a request that the previous version answered.
#[case::an_old_answer_does_not_exempt(Case {
    observed: &[
        Observed::Answer(900, "/a"),
        Observed::Crash(990, &["/a"]),
        Observed::Crash(991, &["/a"]),
        Observed::Crash(992, &["/a"]),
    ],
    quarantined: &["/a"],
    allowed: &[],
})]
#[case::an_answer_to_another_request_does_not_exempt(Case {
    observed: &[
        Observed::Crash(990, &["/a"]),
        Observed::Crash(991, &["/a"]),
        Observed::Crash(992, &["/a"]),
        Observed::Answer(993, "/b"),
    ],
    quarantined: &["/a"],
    allowed: &["/b"],
})]
#[case::changing_queries_count_for_one_resource(Case {
    observed: &[
        Observed::Crash(990, &["/a?page=1"]),
        Observed::Crash(991, &["/a?page=2"]),
        Observed::Crash(992, &["/a?page=3"]),
    ],
    quarantined: &["/a?page=1", "/a?page=4", "/a"],
    allowed: &["/b?page=1"],
})]
#[case::one_query_does_not_quarantine_others(Case {
    observed: &[
        Observed::Crash(990, &["/a?page=1"]),
        Observed::Crash(991, &["/a?page=1"]),
        Observed::Crash(992, &["/a?page=1", "/a?page=2"]),
        Observed::Crash(993, &["/a?page=1"]),
    ],
    quarantined: &["/a?page=1"],
    allowed: &["/a?page=2", "/a"],
})]
#[case::an_answer_without_query_exempts_the_resource(Case {
    observed: &[
        Observed::Crash(990, &["/a?page=1"]),
        Observed::Crash(991, &["/a?page=2"]),
        Observed::Crash(992, &["/a?page=3"]),
        Observed::Answer(993, "/a"),
    ],
    quarantined: &[],
    allowed: &["/a?page=1", "/a"],
})]
// After ten minutes without a crash a request may run again, as its targets may be fixed.
#[case::quarantine_ends(Case {
    observed: &[
        Observed::Crash(390, &["/a"]),
        Observed::Crash(391, &["/a"]),
        Observed::Crash(399, &["/a"]),
    ],
    quarantined: &[],
    allowed: &["/a"],
})]
#[case::one_more_crash_renews_it(Case {
    observed: &[
        Observed::Crash(390, &["/a"]),
        Observed::Crash(391, &["/a"]),
        Observed::Crash(399, &["/a"]),
        Observed::Crash(999, &["/a"]),
    ],
    quarantined: &["/a"],
    allowed: &[],
})]
fn quarantine_follows_from_the_reports_in_any_order(#[case] case: Case) {
    // In any order of the reports, and also on a node that started in between.
    for started_s in [0, 995] {
        for seed in 0..8 {
            let mut reports: Vec<Report> = (1..)
                .zip(case.observed)
                .map(|(n, it)| it.report(n))
                .collect();
            let mut rng = SmallRng::seed_from_u64(seed);
            for n in 0..reports.len() {
                let other = rng.random_range(0..reports.len());
                reports.swap(n, other);
            }
            let now = at(RECEIVED_S - started_s);
            let mut known = Reports::default();
            for report in &reports {
                assert!(known.merge(now, report));
                known.evaluate();
            }
            let is_quarantined = |path: &&str| {
                known
                    .state()
                    .quarantined_until(now, &content(path))
                    .is_some()
            };
            assert!(
                case.quarantined.iter().all(is_quarantined),
                "{case:?}, {started_s}, {seed}"
            );
            assert!(
                !case.allowed.iter().any(is_quarantined),
                "{case:?}, {started_s}, {seed}"
            );
        }
    }
}

fn crash(number: u64, now_s: u64, path: &str) -> Report {
    report(
        number,
        now_s,
        now_s,
        Observation::Crashed(vec![content(path)]),
    )
}

// After one request crashed three targets, many others crash for other reasons.
// Guards against the eviction of the reports of the three.
#[test]
fn insignificant_reports_are_evicted_first() {
    let mut known = Reports::default();
    for number in 0..3 {
        known.merge(at(1), &crash(number, 1, "/a"));
    }
    known.evaluate();
    for number in 3..3_000 {
        known.merge(at(2), &crash(number, 2, &format!("/other/{number}")));
        known.evaluate();
    }
    let until = known.state().quarantined_until(at(3), &content("/a"));
    assert!(until.is_some());
    let selected = known.reports_to_send(at(3));
    let of_first_three = |it: &&Report| it.id.number < 3;
    assert_eq!(selected.iter().filter(of_first_three).count(), 3);
}

// Two nodes with the same reports have the same root, and one that removed some has another.
#[test]
fn the_root_depends_only_on_the_kept_reports() {
    let (mut one, mut other) = (Reports::default(), Reports::default());
    let reports: Vec<Report> = (0..5).map(|n| crash(n, 1, "/a")).collect();
    for report in &reports {
        one.merge(at(1), report);
    }
    for report in reports.iter().rev().chain(&reports) {
        other.merge(at(2), report);
    }
    assert_eq!(one.root(), other.root());
    other.evaluate();
    other.remove_expired(at(3_000));
    assert_eq!(one.root(), other.root());
    other.remove_expired(at(5_000));
    assert_eq!(other.root(), Reports::default().root());
    other.evaluate();
    assert!(other.state().quarantined().next().is_none());
    assert!(other.state().suspects().next().is_none());
}

#[test]
fn a_written_content_parses_to_the_same() {
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
fn a_quarantine_ends_ten_minutes_after_the_last_crash() {
    let mut known = Reports::default();
    for number in 0..3 {
        known.merge(at(10), &crash(number, 10, "/a"));
    }
    known.evaluate();
    let until = known.state().quarantined_until(at(11), &content("/a"));
    assert_eq!(until, Some(at(10) + Duration::from_secs(600)));
    assert_eq!(
        known.state().quarantined_until(at(610), &content("/a")),
        None
    );
}

/// Targets that crash at once while all of them run the same request.
#[derive(Debug)]
struct Burst {
    /// Whether an answer to the request is reported before it enters quarantine.
    answered: bool,
    quarantined: bool,
}

/// Guards against a quarantine of a frequent request between the crashes of several targets
/// and the reports that others have answered it.
#[rstest]
#[case::of_a_request_that_others_answer(Burst { answered: true, quarantined: false })]
#[case::of_a_request_without_answers(Burst { answered: false, quarantined: true })]
fn crashes_at_once_quarantine_after_answers_were_reported(#[case] burst: Burst) {
    let mut known = Reports::default();
    for number in 0..3 {
        known.merge(at(10), &crash(number, 10, "/a"));
    }
    known.evaluate();
    let request = content("/a");
    let begin = at(10) + Duration::from_millis(500);
    let before = at(10) + Duration::from_millis(499);
    assert_eq!(known.state().quarantined_until(before, &request), None);
    assert_eq!(
        known.state().quarantined_from(before, &request),
        Some(begin)
    );
    if burst.answered {
        let observation = Observation::Answered(request.whole());
        known.merge(before, &report(3, 10, 10, observation));
        known.evaluate();
    }
    let quarantined = known.state().quarantined_until(begin, &request);
    assert_eq!(quarantined.is_some(), burst.quarantined, "{burst:?}");
}

/// How soon a caller sends a request again that crashes targets.
#[derive(Debug)]
struct Repeats {
    /// Time between the crash of a target and the next copy.
    after_ms: u64,
    /// The most targets that the copies may crash: one more than quarantine takes may run
    /// while the last of these crashes is reported.
    max_crashes: usize,
}

/// Guards against a request that crashes one target after another between the third crash
/// and the begin of its quarantine.
#[rstest]
#[case::at_once(Repeats { after_ms: 0, max_crashes: 4 })]
#[case::after_the_report(Repeats { after_ms: 40, max_crashes: 3 })]
#[case::slowly(Repeats { after_ms: 400, max_crashes: 3 })]
fn a_request_that_is_repeated_crashes_few_targets(#[case] repeats: Repeats) {
    const CRASH_MS: u64 = 20;
    const REPORT_MS: u64 = 20;
    let mut known = Reports::default();
    let request = content("/a");
    let mut crashes_ms: Vec<u64> = Vec::new();
    let mut next_ms = 10_000;
    for now_ms in 10_000..20_000 {
        let now = Tick::from_millis(now_ms);
        for (number, _) in (0..)
            .zip(&crashes_ms)
            .filter(|(_, at)| **at + REPORT_MS == now_ms)
        {
            let ran = Observation::Crashed(vec![request]);
            let mut crash = report(number, 0, 0, ran);
            crash.age_ms = u32::try_from(REPORT_MS).unwrap();
            known.merge(now, &crash);
        }
        known.evaluate();
        let decision = known.state().decide(now, &request);
        if now_ms >= next_ms && decision == QuarantineDecision::Run {
            crashes_ms.push(now_ms + CRASH_MS);
            next_ms = now_ms + CRASH_MS + repeats.after_ms;
        }
    }
    let crashes = crashes_ms.len();
    assert!(crashes <= repeats.max_crashes, "{repeats:?}: {crashes}");
    let end = known.state().decide(Tick::from_millis(20_000), &request);
    assert!(matches!(end, QuarantineDecision::RefuseUntil(_)), "{end:?}");
}
