use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Tick;

use super::Shared;

fn shared() -> Shared {
    Shared::new(
        InstanceId::new("wd-1").expect("a name"),
        Incarnation::from_start_millis(1),
    )
}

#[derive(Debug)]
struct Advance {
    steps: &'static [Phase],
    taken: &'static [bool],
    end: Phase,
}

#[rstest]
#[case::whole_life(Advance {
    steps: &[Phase::Ready, Phase::Draining, Phase::Gone],
    taken: &[true, true, true],
    end: Phase::Gone,
})]
#[case::late_probe_after_drain(Advance {
    steps: &[Phase::Draining, Phase::Ready],
    taken: &[true, false],
    end: Phase::Draining,
})]
#[case::twice(Advance {
    steps: &[Phase::Ready, Phase::Ready],
    taken: &[true, false],
    end: Phase::Ready,
})]
fn phase_only_moves_forward(#[case] case: Advance) {
    let shared = shared();
    let taken: Vec<bool> = case
        .steps
        .iter()
        .map(|&to| shared.advance_phase(to))
        .collect();
    assert_eq!(taken, case.taken);
    assert_eq!(shared.phase(), case.end);
}

#[test]
fn older_contact_is_ignored() {
    let shared = shared();
    assert_eq!(shared.contact().age(Tick::from_millis(5)), None);
    shared.contact().record(Tick::from_millis(10));
    shared.contact().record(Tick::from_millis(7));
    let age = shared.contact().age(Tick::from_millis(15));
    assert_eq!(age, Some(Duration::from_millis(5)));
}

#[test]
fn list_proof_keeps_the_latest_time_of_its_revision() {
    let shared = shared();
    let record = |ms, revision| {
        let revision = Revision::new(revision).expect("a revision");
        shared.record_list_proof(Tick::from_millis(ms), revision);
    };
    assert_eq!(
        shared.list_proof().revision_and_age(Tick::from_millis(5)),
        None
    );
    record(10, 2);
    record(30, 2);
    record(20, 2);
    record(40, 1);
    let proof = shared.list_proof().revision_and_age(Tick::from_millis(50));
    assert_eq!(proof, Some((2, Duration::from_millis(20))));
}

#[tokio::test]
async fn idle_waits_for_the_end_of_the_last_request() {
    let shared = shared();
    let first = shared.in_flight().enter();
    let last = shared.in_flight().enter();
    let counter = shared.in_flight().clone();
    let idle = tokio::spawn(async move { counter.wait_until_idle().await });
    drop(first);
    tokio::task::yield_now().await;
    assert!(!idle.is_finished());
    drop(last);
    idle.await.expect("idle");
    assert_eq!(shared.in_flight().count(), 0);
}
