//! Requests whose callers disconnect or time out.

use std::time::Duration;

use http::StatusCode;
use sassafrasspool_standin::target::RunEnd;
use sassafrasspool_standin::target::answer_body;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::SLOTS;
use crate::wait;

/// Service time longer than any test waits.
const LONGER_THAN_ANY_TEST: Duration = Duration::from_secs(60);

/// Guards against lookups that keep their slots after their callers disconnected two hops
/// away: each run is cancelled, and the next request gets a slot.
#[tokio::test]
async fn a_disconnected_caller_frees_the_slot() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    adjuster.target.set_slow(LONGER_THAN_ANY_TEST).await;
    let mut calls = Vec::new();
    for n in 0..SLOTS {
        let req = client::get("/adjuster/files", &format!("r-{n}"));
        calls.push(tokio::spawn(client::call(
            fleet.members[0].addrs.ingress,
            req,
        )));
    }
    let all_slots = u64::from(SLOTS);
    wait::until("requests in all slots", || {
        adjuster.target.stats().inflight == all_slots
    })
    .await;
    for call in calls {
        call.abort();
    }
    wait::until("free slots", || adjuster.target.stats().inflight == 0).await;
    let runs = adjuster.target.ledger().runs;
    assert!(runs.iter().all(|run| run.end == RunEnd::Cancelled));
    adjuster.target.set_slow(Duration::ZERO).await;
    let req = client::get("/adjuster/files", "next");
    let res = client::call(fleet.members[0].addrs.ingress, req).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::OK);
}

/// Guards against a target that doesn't answer by the deadline: the caller receives the
/// unknown outcome in time, and the approval isn't retried.
#[tokio::test]
async fn a_request_without_an_answer_is_unknown_at_the_deadline() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    // The target never answers. A slow target would answer 504 by itself at its timeout, a
    // millisecond after the node's deadline.
    adjuster.target.set_hang_after_run(true).await;
    for member in &fleet.members {
        let mut req = client::get("/adjuster/approve", member.id);
        let timeout = "150".parse().expect("a valid header value");
        req.headers_mut().insert("x-request-timeout-ms", timeout);
        let res = client::call(member.addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
        assert_eq!(adjuster.runs_of(member.id).len(), 1);
    }
    wait::until("free slots", || adjuster.target.stats().inflight == 0).await;
}

/// Guards against the reuse of a connection on which an answer is still due: every second
/// answer arrives after the caller's timeout, and the next caller would receive it.
#[tokio::test]
async fn a_late_answer_is_never_returned_for_another_request() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    adjuster
        .target
        .set_late_answers(2, Duration::from_millis(200))
        .await;
    let mut timeouts = 0;
    for n in 0..20 {
        let id = format!("r-{n}");
        let mut req = client::get("/adjuster/approve", &id);
        let timeout = "100".parse().expect("a valid header value");
        req.headers_mut().insert("x-request-timeout-ms", timeout);
        let res = client::call(fleet.members[0].addrs.ingress, req).await;
        let res = res.expect("an answer");
        match res.status() {
            StatusCode::OK => assert_eq!(*res.body(), answer_body(&id, 0)),
            status => {
                assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
                timeouts += 1;
            }
        }
        assert_eq!(adjuster.runs_of(&id).len(), 1);
    }
    assert!(timeouts >= 10, "only {timeouts} answers were late");
}
