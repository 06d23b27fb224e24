use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Content;

use super::CrashWatch;
use super::Suspects;

/// What happens to another request that ran when a connection broke.
#[derive(Debug, Clone, Copy)]
enum Other {
    /// The node notices so many milliseconds later that its connection broke.
    EndsAfter(u64),
    /// The target answers it so many milliseconds later.
    IsAnsweredAfter(u64),
}

#[derive(Debug)]
struct Case {
    other: Other,
    /// Whether the target has answered a request since its last crash.
    answered: bool,
    crashed: bool,
}

/// Guards against a crash that isn't reported because a busy node notices one broken
/// connection later than another, and against crash reports about running targets.
#[rstest]
#[case::at_once(Case { other: Other::EndsAfter(0), answered: true, crashed: true })]
#[case::noticed_late(Case { other: Other::EndsAfter(200), answered: true, crashed: true })]
#[case::continues(Case { other: Other::EndsAfter(5_000), answered: true, crashed: false })]
#[case::answers(Case { other: Other::IsAnsweredAfter(200), answered: true, crashed: false })]
#[case::still_down(Case { other: Other::EndsAfter(0), answered: false, crashed: false })]
#[tokio::test(start_paused = true)]
async fn a_target_has_crashed_if_all_its_requests_end(#[case] case: Case) {
    let watch = CrashWatch::default();
    let content = Content::of("GET", "desk.example", "/covers/7", None, b"");
    let key = {
        let mut state = watch.lock();
        state.answered = case.answered;
        let key = state.running.insert(content);
        state.suspects = Some(Suspects {
            runs: vec![(key, content)],
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
        if let Some(suspects) = &mut state.suspects {
            suspects.survived = answered;
        }
    };
    let (crashed, ()) = tokio::join!(watch.all_suspects_end(), ends);
    assert_eq!(crashed, case.crashed, "{case:?}");
}
