use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Content;

use super::CrashWatch;
use super::Suspected;

/// What becomes of a request that ran beside the one whose connection broke.
#[derive(Debug, Clone, Copy)]
enum Other {
    /// Its connection is seen to have broken so many milliseconds later.
    EndsAfter(u64),
    /// The target answers it so many milliseconds later.
    IsAnsweredAfter(u64),
}

#[derive(Debug)]
struct Case {
    other: Other,
    /// Whether the target has answered something since its last crash.
    answered: bool,
    crashed: bool,
}

/// Guards against a crash that isn't reported since a busy node sees one of the broken
/// connections later than another, and against reports about targets that live on.
#[rstest]
#[case::at_once(Case { other: Other::EndsAfter(0), answered: true, crashed: true })]
#[case::seen_late(Case { other: Other::EndsAfter(200), answered: true, crashed: true })]
#[case::goes_on(Case { other: Other::EndsAfter(5_000), answered: true, crashed: false })]
#[case::lives_on(Case { other: Other::IsAnsweredAfter(200), answered: true, crashed: false })]
#[case::still_down(Case { other: Other::EndsAfter(0), answered: false, crashed: false })]
#[tokio::test(start_paused = true)]
async fn a_target_has_crashed_if_all_that_it_ran_ends(#[case] case: Case) {
    let watch = CrashWatch::default();
    let content = Content::of("GET", "desk.example", "/covers/7", None, b"");
    let key = {
        let mut state = watch.lock();
        state.answered = case.answered;
        let key = state.running.insert(content);
        state.suspected = Some(Suspected {
            ran: vec![(key, content)],
            survived: false,
        });
        key
    };
    let (after_ms, answered) = match case.other {
        Other::EndsAfter(ms) => (ms, false),
        Other::IsAnsweredAfter(ms) => (ms, true),
    };
    let ends = async {
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        let mut state = watch.lock();
        state.running.remove(key);
        if let Some(suspected) = &mut state.suspected {
            suspected.survived = answered;
        }
    };
    let (crashed, ()) = tokio::join!(watch.all_end(), ends);
    assert_eq!(crashed, case.crashed, "{case:?}");
}
