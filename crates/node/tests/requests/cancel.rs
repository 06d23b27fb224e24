//! Requests that nobody waits for any more.

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

/// Longer than any test waits.
const LONG: Duration = Duration::from_secs(60);

// A fitter closes the window while a lookup runs two hops away. The target is
// told and stops, and the slot is there for the next.
#[tokio::test]
async fn a_caller_that_goes_away_frees_the_slot() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    adjuster.target.set_slow(LONG).await;
    let mut calls = Vec::new();
    for n in 0..SLOTS {
        let req = client::get("/adjuster/files", &format!("r-{n}"));
        calls.push(tokio::spawn(client::call(
            fleet.members[0].addrs.ingress,
            req,
        )));
    }
    let full = u64::from(SLOTS);
    wait::until("full slots", || adjuster.target.stats().inflight == full).await;
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

// A target does not answer by the deadline. The caller hears in time that the
// outcome is unknown, and the approval isn't tried a second time.
#[tokio::test]
async fn a_slow_target_is_unknown_at_the_deadline() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    // It stays silent: one that is only slow answers 504 by itself as its time is over, a
    // millisecond after the node's deadline.
    adjuster.target.set_hang_after_run(true).await;
    for member in &fleet.members {
        let mut req = client::get("/adjuster/approve", member.id);
        let timeout = "150".parse().expect("a value");
        req.headers_mut().insert("x-request-timeout-ms", timeout);
        let res = client::call(member.addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
        assert_eq!(adjuster.runs_of(member.id).len(), 1);
    }
    wait::until("free slots", || adjuster.target.stats().inflight == 0).await;
}

// Every second answer comes after its caller gave up. Were its connection used
// again, the next caller would read the answer to someone else's request.
#[tokio::test]
async fn a_late_answer_never_meets_another_request() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    adjuster
        .target
        .late_answers(2, Duration::from_millis(200))
        .await;
    let mut timed_out = 0;
    for n in 0..20 {
        let id = format!("r-{n}");
        let mut req = client::get("/adjuster/approve", &id);
        let timeout = "100".parse().expect("a value");
        req.headers_mut().insert("x-request-timeout-ms", timeout);
        let res = client::call(fleet.members[0].addrs.ingress, req).await;
        let res = res.expect("an answer");
        match res.status() {
            StatusCode::OK => assert_eq!(*res.body(), answer_body(&id, 0)),
            status => {
                assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
                timed_out += 1;
            }
        }
        assert_eq!(adjuster.runs_of(&id).len(), 1);
    }
    assert!(timed_out >= 10, "only {timed_out} answers were late");
}
