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

/// Guards against a request that continues to wait for a slot after it was quarantined, and
/// against a queue entry that remains after the refusal.
#[tokio::test]
async fn a_request_quarantined_in_the_queue_is_refused_at_once() {
    let admission =
        Admission::new(AdmissionSettings::default(), 1).expect("the settings are valid");
    let clock = Clock::start();
    let deadline = Deadline::within(clock.now(), LIMITS.deadline);
    let stage = Request::received(Class::Standard, deadline);
    let request = stage.admission_request(&LIMITS);
    let decision = admission.request_slot(clock.now(), &request, || Box::new(drop));
    let AdmissionDecision::Admitted(_running) = decision else {
        panic!("the slot is free");
    };
    let (tx, rx) = oneshot::channel();
    let aborted = async {
        rx.await.expect("the quarantine is signalled");
        Refusal::not_run(Step::Admission, Reason::Quarantined)
    };
    let quarantine = async {
        tokio::task::yield_now().await;
        assert_eq!(admission.load().queued, 1);
        tx.send(()).expect("the request is queued");
    };
    let (admitted, ()) = tokio::join!(admit(&admission, &clock, &request, aborted), quarantine);
    let refusal = admitted.expect_err("no slot is free");
    assert_eq!(refusal.reason(), Reason::Quarantined);
    assert_eq!(admission.load().queued, 0);
}
