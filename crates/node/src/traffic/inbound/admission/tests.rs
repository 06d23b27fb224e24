use std::time::Duration;

use sassafrasspool_core::Admission;
use sassafrasspool_core::AdmissionDecision;
use sassafrasspool_core::AdmissionSettings;
use sassafrasspool_core::Class;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Limits;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request;
use sassafrasspool_core::RetryLimits;
use sassafrasspool_core::Step;
use tokio::sync::oneshot;

use super::admit;
use crate::Clock;

const LIMITS: Limits = Limits {
    rate_per_s: 1_000,
    concurrency: 10,
    deadline: Duration::from_secs(10),
    retry: RetryLimits {
        attempts: 1,
        budget_percent: 0,
        burst: 1,
    },
};

/// Guards against a request that waits on for a slot although no target is to run it any
/// more, and against a place in the queue that it keeps.
#[tokio::test]
async fn what_is_barred_while_it_waits_is_refused_at_once() {
    let admission = Admission::new(AdmissionSettings::default(), 1).expect("a slot");
    let clock = Clock::start();
    let deadline = Deadline::within(clock.now(), LIMITS.deadline);
    let stage = Request::received(Class::Standard, deadline);
    let ask = stage.admission_request(&LIMITS);
    let offer = admission.request_slot(clock.now(), &ask, || Box::new(drop));
    let AdmissionDecision::Admitted(_running) = offer else {
        panic!("the slot is free");
    };
    let (tx, rx) = oneshot::channel();
    let barred = async {
        rx.await.expect("a word");
        Refusal::not_run(Step::Admission, Reason::Quarantined)
    };
    let bar = async {
        tokio::task::yield_now().await;
        assert_eq!(admission.load().queued, 1);
        tx.send(()).expect("it waits");
    };
    let (admitted, ()) = tokio::join!(admit(&admission, &clock, &ask, barred), bar);
    let refusal = admitted.expect_err("no slot is free");
    assert_eq!(refusal.reason(), Reason::Quarantined);
    assert_eq!(admission.load().queued, 0);
}
