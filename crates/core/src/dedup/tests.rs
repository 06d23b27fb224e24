use std::time::Duration;

use rstest::rstest;

use crate::Attempt;
use crate::AttemptDecision;
use crate::DedupSettings;
use crate::DedupWindow;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;
use crate::Outcome;
use crate::Reason;
use crate::Refusal;
use crate::RequestKey;
use crate::Revision;
use crate::RunPermit;
use crate::ServiceName;
use crate::Step;
use crate::StoredAnswer;
use crate::Tick;
use crate::testing::instance;

const CFG: DedupSettings = DedupSettings {
    hold: Duration::from_secs(60),
    lease: Duration::from_secs(10),
    max_keys: 3,
    max_bytes: 100,
    max_answer_bytes: 60,
};

fn at(s: u64) -> Tick {
    Tick::from_millis(s * 1_000)
}

fn service() -> ServiceName {
    ServiceName::new("adjuster-desk").unwrap()
}

fn key(text: &str) -> RequestKey {
    RequestKey::new(&service(), "POST /approvals", text).unwrap()
}

fn list(revision: u64, ids: &[&str]) -> InstanceList {
    let listed = ids.iter().map(|id| Instance {
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
        ..instance(id, "adjuster-desk", "khan-uul")
    });
    InstanceList::new(Revision::new(revision).unwrap(), listed).unwrap()
}

/// The window of the only endpoint, whose list is in force since the start.
fn window() -> DedupWindow {
    let me = InstanceId::new("ad-1").unwrap();
    let window = DedupWindow::new(CFG, me, service()).unwrap();
    window.apply_list(at(0), &list(1, &["ad-1"]));
    window
}

fn proved(s: u64) -> DedupWindow {
    let window = window();
    window.record_proof(at(s), Revision::new(1).unwrap());
    window
}

fn run(window: &DedupWindow, s: u64, text: &str) -> RunPermit {
    match window.begin_attempt(at(s), key(text), Attempt::MayRepeat) {
        AttemptDecision::Run(permit) => permit,
        other => panic!("{text} should run: {other:?}"),
    }
}

fn refused(window: &DedupWindow, s: u64, text: &str, attempt: Attempt) -> Refusal {
    match window.begin_attempt(at(s), key(text), attempt) {
        AttemptDecision::Refuse(refusal) => refusal,
        other => panic!("{text} should be refused: {other:?}"),
    }
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; bytes],
    }
}

#[derive(Debug)]
struct UnseenKey {
    proof_s: u64,
    now_s: u64,
    attempt: Attempt,
    refused: Option<(Outcome, Reason)>,
}

const FIRST: Attempt = Attempt::First;
const REPEAT: Attempt = Attempt::MayRepeat;

/// Guards against an owner that runs an unseen key without a fresh proof of its list.
#[rstest]
#[case(UnseenKey { proof_s: 5, now_s: 5, attempt: FIRST,
    refused: Some((Outcome::NotRun, Reason::Settling)) })]
#[case(UnseenKey { proof_s: 5, now_s: 5, attempt: REPEAT,
    refused: Some((Outcome::Unknown, Reason::Settling)) })]
#[case(UnseenKey { proof_s: 20, now_s: 20, attempt: FIRST, refused: None })]
#[case(UnseenKey { proof_s: 79, now_s: 79, attempt: REPEAT,
    refused: Some((Outcome::Unknown, Reason::EarlierUnknown)) })]
#[case(UnseenKey { proof_s: 80, now_s: 80, attempt: REPEAT, refused: None })]
#[case(UnseenKey { proof_s: 80, now_s: 90, attempt: REPEAT, refused: None })]
#[case(UnseenKey { proof_s: 80, now_s: 91, attempt: REPEAT,
    refused: Some((Outcome::Unknown, Reason::LeaseLapsed)) })]
#[case(UnseenKey { proof_s: 80, now_s: 91, attempt: FIRST,
    refused: Some((Outcome::NotRun, Reason::LeaseLapsed)) })]
fn an_unseen_key_runs_only_with_a_fresh_proof(#[case] case: UnseenKey) {
    let window = proved(case.proof_s);
    let actual = match window.begin_attempt(at(case.now_s), key("a"), case.attempt) {
        AttemptDecision::Run(_) => None,
        AttemptDecision::Refuse(refusal) => Some((refusal.outcome(), refusal.reason())),
        AttemptDecision::Answer(_) => panic!("no answer is stored yet"),
    };
    assert_eq!(actual, case.refused, "{case:?}");
}

#[test]
fn a_repeat_gets_the_stored_answer_of_the_first_run() {
    let window = proved(100);
    let permit = run(&window, 100, "a");
    let refusal = refused(&window, 100, "a", REPEAT);
    assert_eq!(
        (refusal.outcome(), refusal.reason()),
        (Outcome::Unknown, Reason::EarlierRunning)
    );
    assert!(refusal.retry_after().is_some());
    permit.complete(at(101), answer(9));
    let AttemptDecision::Answer(again) = window.begin_attempt(at(150), key("a"), REPEAT) else {
        panic!("the answer should be stored");
    };
    assert_eq!(*again, answer(9));
}

/// Guards against a payment that is made again after the outcome of its first
/// attempt was lost.
#[rstest]
#[case(true)]
#[case(false)]
fn a_key_with_unknown_outcome_is_never_run_again(#[case] is_reported: bool) {
    let window = proved(100);
    let permit = run(&window, 100, "a");
    if is_reported {
        permit.mark_unknown(at(101));
    } else {
        drop(permit);
    }
    let refusal = refused(&window, 102, "a", FIRST);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
    assert_eq!(refusal.reason(), Reason::EarlierUnknown);
}

#[test]
fn a_key_that_was_not_handed_over_may_run() {
    let window = proved(100);
    let refusal = Refusal::not_run(Step::Admission, Reason::QueueFull);
    assert_eq!(run(&window, 100, "a").release(refusal), refusal);
    run(&window, 101, "a").mark_unknown(at(101));
}

/// Guards against a repeat that runs again because its key was evicted.
#[test]
fn a_full_window_refuses_new_keys_and_keeps_stored_ones() {
    let window = proved(100);
    for text in ["a", "b", "c"] {
        run(&window, 100, text).complete(at(100), answer(1));
    }
    let refusal = refused(&window, 110, "d", FIRST);
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert_eq!(refusal.retry_after(), Some(Duration::from_secs(60)));
    assert!(matches!(
        window.begin_attempt(at(110), key("a"), REPEAT),
        AttemptDecision::Answer(_)
    ));
}

/// Guards against a repeat that runs again because its answer was evicted.
#[test]
fn answers_are_evicted_before_keys() {
    let window = proved(100);
    run(&window, 100, "a").complete(at(100), answer(60));
    run(&window, 100, "b").complete(at(100), answer(60));
    run(&window, 100, "c").complete(at(100), answer(61));
    let known = |text| {
        matches!(
            window.begin_attempt(at(101), key(text), REPEAT),
            AttemptDecision::Answer(_)
        )
    };
    assert_eq!(["a", "b", "c"].map(known), [false, true, false]);
    assert_eq!(
        refused(&window, 101, "a", FIRST).outcome(),
        Outcome::Unknown
    );
}

/// Guards against a late repeat that runs again at the end of the hold time.
#[test]
fn a_key_is_kept_for_the_hold_time_and_a_lease() {
    let window = proved(100);
    run(&window, 100, "a").complete(at(100), answer(1));
    window.record_proof(at(170), Revision::new(1).unwrap());
    assert!(matches!(
        window.begin_attempt(at(170), key("a"), REPEAT),
        AttemptDecision::Answer(_)
    ));
    window.record_proof(at(171), Revision::new(1).unwrap());
    run(&window, 171, "a").mark_unknown(at(171));
}

/// Guards against a key that runs at two owners as its ownership changes twice.
#[test]
fn a_key_that_had_another_owner_settles_again() {
    let both = ["ad-1", "ad-2"];
    let is_others = |text: &&String| {
        let two = proved(0);
        two.apply_list(at(1), &list(2, &both));
        refused(&two, 1, text, FIRST).reason() == Reason::NotOwner
    };
    let names: Vec<_> = (0..32).map(|i| i.to_string()).collect();
    let moved = names.iter().find(is_others).unwrap();
    let kept = names.iter().find(|text| !is_others(text)).unwrap();

    let window = proved(100);
    window.apply_list(at(101), &list(2, &both));
    window.apply_list(at(102), &list(3, &["ad-1"]));
    window.record_proof(at(110), Revision::new(3).unwrap());
    assert_eq!(
        refused(&window, 110, moved, FIRST).reason(),
        Reason::Settling
    );
    run(&window, 110, kept).mark_unknown(at(110));

    let window = proved(100);
    window.apply_list(at(111), &list(3, &["ad-1"]));
    window.record_proof(at(111), Revision::new(3).unwrap());
    assert_eq!(
        refused(&window, 111, kept, FIRST).reason(),
        Reason::Settling
    );
}
