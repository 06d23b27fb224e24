//! Deduplication of requests by request key.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use sassafrasspool_core::Phase;
use sassafrasspool_standin::target::answer_body;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;
use crate::wait;

const SECOND: Spec = Spec {
    id: "ad-2",
    ..ADJUSTER
};

/// An attempt of an approval with this request key; `first` marks the first attempt.
fn approval(key: &str, id: &str, first: bool) -> Request<client::Body> {
    let mut req = client::get("/adjuster/approve", id);
    let headers = req.headers_mut();
    headers.insert(
        "idempotency-key",
        key.parse().expect("a valid header value"),
    );
    if first {
        headers.insert(
            "x-request-attempt",
            "1".parse().expect("a valid header value"),
        );
    }
    req
}

/// Sends a first attempt until the owner of its key has waited long enough to run it.
async fn run_first_attempt(addr: SocketAddr, key: &str, id: &str) -> Response<Bytes> {
    loop {
        let res = client::call(addr, approval(key, id, true)).await;
        let res = res.expect("an answer");
        if client::header(&res, "x-sassafrasspool-outcome") != "not-run" {
            return res;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a second run of an approval whose answer was lost.
#[tokio::test]
async fn a_repeated_attempt_gets_the_answer_of_the_first() {
    let fleet = Fleet::start(&[DESK, ADJUSTER, SECOND]).await;
    fleet.keep_renewing_list_proof();
    let first = run_first_attempt(fleet.members[0].addrs.ingress, "k-1", "r-1").await;
    assert_eq!(first.status(), StatusCode::OK);
    for member in &fleet.members {
        let repeat = approval("k-1", "r-2", false);
        let res = client::call(member.addrs.ingress, repeat).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        assert_eq!(*res.body(), answer_body("r-1", 0));
    }
    assert_eq!((fleet.runs_of("r-1"), fleet.runs_of("r-2")), (1, 0));
}

/// Guards against concurrent attempts of one approval that each run.
#[tokio::test]
async fn concurrent_attempts_run_once() {
    let fleet = Fleet::start(&[DESK, ADJUSTER, SECOND]).await;
    fleet.keep_renewing_list_proof();
    let ready = run_first_attempt(fleet.members[0].addrs.ingress, "k-0", "r-0").await;
    assert_eq!(ready.status(), StatusCode::OK);
    for member in &fleet.members {
        member.target.set_slow(Duration::from_millis(30)).await;
    }
    let mut calls = Vec::new();
    for n in 0..12 {
        let addr = fleet.members[n % 3].addrs.ingress;
        let req = approval("k-0b", &format!("x-{n}"), true);
        calls.push(tokio::spawn(client::call(addr, req)));
    }
    let mut answered = 0;
    for call in calls {
        let res = call
            .await
            .expect("the task doesn't panic")
            .expect("an answer");
        match client::header(&res, "x-sassafrasspool-outcome") {
            "" => answered += 1,
            outcome => assert_eq!(outcome, "unknown"),
        }
    }
    assert!(answered >= 1);
    let ran: usize = (0..12).map(|n| fleet.runs_of(&format!("x-{n}"))).sum();
    assert_eq!(ran, 1);
}

/// Guards against a second run of an approval whose connection broke.
#[tokio::test]
async fn a_repeated_attempt_after_a_broken_connection_gets_the_answer() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    fleet.keep_renewing_list_proof();
    let ingress = fleet.members[0].addrs.ingress;
    let adjuster = &fleet.members[1];
    adjuster.target.set_slow(Duration::from_millis(300)).await;
    let first = tokio::spawn(async move { run_first_attempt(ingress, "k-1", "r-1").await });
    wait::until("the run", || adjuster.runs_of("r-1").len() == 1).await;
    first.abort();
    let in_flight = || fleet.members[0].shared.in_flight().count();
    wait::until("the broken connection", || in_flight() == 0).await;
    let repeat = loop {
        let res = client::call(ingress, approval("k-1", "r-2", false)).await;
        let res = res.expect("an answer");
        let running =
            "{\"outcome\":\"unknown\",\"step\":\"admission\",\"reason\":\"earlier-running\"}";
        if *res.body() != running {
            break res;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(repeat.status(), StatusCode::OK);
    assert_eq!(*repeat.body(), answer_body("r-1", 0));
    assert_eq!((fleet.runs_of("r-1"), fleet.runs_of("r-2")), (1, 0));
}

/// Guards against a second run of an approval that may have run before its target crashed.
#[tokio::test]
async fn a_repeated_attempt_after_a_target_crash_is_unknown() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    fleet.keep_renewing_list_proof();
    let ingress = fleet.members[0].addrs.ingress;
    let adjuster = &fleet.members[1];
    adjuster.target.set_slow(Duration::from_secs(60)).await;
    let first = tokio::spawn(async move { run_first_attempt(ingress, "k-1", "r-1").await });
    wait::until("the run", || adjuster.runs_of("r-1").len() == 1).await;
    adjuster.target.crash().await;
    let first = first.await.expect("the task doesn't panic");
    adjuster
        .target
        .restart()
        .await
        .expect("the target restarts");
    let repeat = client::call(ingress, approval("k-1", "r-2", false)).await;
    for res in [first, repeat.expect("an answer")] {
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    }
    assert_eq!((fleet.runs_of("r-1"), fleet.runs_of("r-2")), (1, 0));
}

/// Guards against two owners of a request key, one of which is partitioned and can't prove
/// that its list is the newest.
#[tokio::test]
async fn an_owner_without_a_list_proof_runs_no_request() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    for (first, outcome) in [(true, "not-run"), (false, "unknown")] {
        let req = approval("k-1", "r-1", first);
        let res = client::call(ingress, req).await.expect("an answer");
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), outcome);
        assert_ne!(client::header(&res, "retry-after"), "");
    }
    assert!(fleet.members[1].target.ledger().runs.is_empty());
}

/// Guards against a refusal with outcome `not-run` of an approval of which an earlier attempt
/// may have run.
#[tokio::test]
async fn a_refused_repeated_attempt_has_an_unknown_outcome() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let desk = &fleet.members[0];
    desk.shared.advance_phase(Phase::Draining);
    for (first, outcome) in [(true, "not-run"), (false, "unknown")] {
        let req = approval("k-1", "r-1", first);
        let res = client::call(desk.addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), outcome);
    }
}

/// Guards against repeated attempts that run again because their key is empty.
#[tokio::test]
async fn an_empty_key_is_rejected() {
    let fleet = Fleet::start(&[ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let res = client::call(ingress, approval("", "r-1", true)).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::BAD_REQUEST);
    assert_eq!(fleet.runs_of("r-1"), 0);
}
