use std::time::Duration;

use crate::Admission;
use crate::AdmissionDecision;
use crate::AdmissionSettings;
use crate::Class;
use crate::Deadline;
use crate::LossCause;
use crate::Outcome;
use crate::Reason;
use crate::Request;
use crate::Step;
use crate::Tick;
use crate::testing::LIMITS;

const NOW: Tick = Tick::from_millis(1_000);

fn admitted(admission: &Admission) -> Request<crate::Admitted> {
    let deadline = Deadline::within(NOW, Duration::from_millis(500));
    let request = Request::received(Class::Critical, deadline);
    let decision =
        admission.request_slot(NOW, &request.admission_request(&LIMITS), || Box::new(drop));
    let AdmissionDecision::Admitted(permit) = decision else {
        panic!("a slot is free");
    };
    request.admit(permit)
}

/// Guards against an approval that runs after the deadline of its caller, because the
/// process was paused between admission and hand-over.
#[test]
fn a_request_whose_deadline_passed_before_the_hand_over_is_refused() {
    let admission = Admission::new(AdmissionSettings::default(), 1).unwrap();
    let resumed = NOW + Duration::from_secs(10);
    let refusal = admitted(&admission).hand_over(resumed).unwrap_err();
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert_eq!(refusal.reason(), Reason::DeadlinePassed);
    assert_eq!(admission.load().in_flight, 0, "the slot is free again");
}

#[test]
fn every_end_of_a_request_releases_its_slot() {
    let admission = Admission::new(AdmissionSettings::default(), 1).unwrap();
    let later = NOW + Duration::from_millis(10);
    let _ = admitted(&admission).refuse(later, Step::Admission, Reason::Draining);
    admitted(&admission)
        .hand_over(NOW)
        .unwrap()
        .begin_answer()
        .finish(later);
    let sent = admitted(&admission).hand_over(NOW).unwrap();
    assert_eq!(
        sent.lose(later, LossCause::Timeout).outcome(),
        Outcome::Unknown
    );
    let answered = admitted(&admission).hand_over(NOW).unwrap().begin_answer();
    assert_eq!(
        answered.cut_short(later, LossCause::AnswerCut).outcome(),
        Outcome::Unknown
    );
    drop(admitted(&admission).hand_over(NOW).unwrap());
    assert_eq!(admission.load().in_flight, 0);
}
