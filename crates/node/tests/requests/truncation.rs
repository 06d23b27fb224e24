//! Answers that aren't transferred whole.

use http::HeaderValue;
use http::StatusCode;
use http_body_util::BodyExt;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::wait;

/// Far more than all buffers on the way hold.
const LARGE_BODY_BYTES: &str = "16000000";

/// Guards against a truncated answer that the caller receives as a whole one.
#[tokio::test]
async fn a_truncated_answer_is_an_error() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    fleet.members[1].target.set_cut_body(true).await;
    for member in &fleet.members {
        for size in ["10", "100000", LARGE_BODY_BYTES] {
            let mut req = client::get("/adjuster/approve", "r-1");
            let bytes = HeaderValue::from_static(size);
            req.headers_mut().insert("x-answer-bytes", bytes);
            match client::call(member.addrs.ingress, req).await {
                Err(_) => {}
                // The connection broke before a node received the head of the answer.
                Ok(res) => {
                    assert_ne!(size, LARGE_BODY_BYTES);
                    assert_eq!(res.status(), StatusCode::BAD_GATEWAY);
                    let outcome = client::header(&res, "x-sassafrasspool-outcome");
                    assert_eq!(outcome, "unknown");
                }
            }
        }
    }
}

/// Guards against unbounded buffering of an answer that its caller reads slowly.
#[tokio::test]
async fn a_slow_caller_applies_backpressure_to_the_target() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let adjuster = &fleet.members[1];
    let mut req = client::get("/adjuster/approve", "r-1");
    let bytes = HeaderValue::from_static("60000000");
    req.headers_mut().insert("x-answer-bytes", bytes);
    let answer = client::send(fleet.members[0].addrs.ingress, req).await;
    let mut body = answer.expect("a head").into_body();
    body.frame().await.expect("a frame").expect("no error");
    assert_eq!(adjuster.target.stats().inflight, 1);
    drop(body);
    wait::until("a free slot", || adjuster.target.stats().inflight == 0).await;
    let in_flight_total = || {
        fleet
            .members
            .iter()
            .map(|m| m.shared.in_flight().count())
            .sum::<u64>()
    };
    wait::until("nothing in flight", || in_flight_total() == 0).await;
}
