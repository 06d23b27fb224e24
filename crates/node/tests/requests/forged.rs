//! Headers that only nodes may set.

use std::collections::BTreeMap;

use http::StatusCode;
use rstest::rstest;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::nosy_target;

/// Guards against callers that set headers which nodes trust.
#[tokio::test]
async fn a_caller_cannot_forge_headers_of_nodes() {
    let target = nosy_target::start().await;
    let fleet = Fleet::start_before(&[DESK, ADJUSTER], target).await;
    for (via, name) in [(0, "two hops"), (1, "one hop")] {
        let mut req = client::get("/adjuster/files", name);
        for (name, value) in [
            ("x-sassafrasspool-deadline-ms", "1"),
            ("x-sassafrasspool-hop", "99"),
            ("x-sassafrasspool-service", "archive"),
            ("x-sassafrasspool-outcome", "not-run"),
            ("x-sassafrasspool-anything", "1"),
        ] {
            let value = value.parse().expect("a value");
            req.headers_mut().append(name, value);
        }
        let res = client::call(fleet.members[via].addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        let seen = std::str::from_utf8(res.body()).expect("text");
        assert!(seen.contains("x-request-id"), "{name}: {seen}");
        assert!(!seen.contains("sassafrasspool"), "{name}: {seen}");
    }
}

/// Guards against a target whose answer claims that an approval wasn't run.
#[tokio::test]
async fn a_target_cannot_forge_an_outcome() {
    let target = nosy_target::start().await;
    let fleet = Fleet::start_before(&[DESK, ADJUSTER], target).await;
    for via in &fleet.members {
        let req = client::get("/adjuster/approve", "r-1");
        let res = client::call(via.addrs.ingress, req).await.expect("answer");
        assert_eq!(res.status(), StatusCode::OK);
        let ours = |name: &&http::HeaderName| name.as_str().contains("sassafrasspool");
        assert_eq!(res.headers().keys().find(ours), None);
    }
}

#[derive(Debug)]
struct Waits {
    /// What the caller asks for, in milliseconds.
    asked: Option<&'static str>,
    /// The most that the target may be told.
    most: u64,
}

/// Guards against targets that work on after their caller's deadline.
#[rstest]
#[case(Waits { asked: None, most: 5_000 })]
#[case(Waits { asked: Some("3000"), most: 3_000 })]
#[case(Waits { asked: Some("99000"), most: 5_000 })]
#[tokio::test]
async fn the_target_is_told_the_time_that_is_left(#[case] case: Waits) {
    let target = nosy_target::start().await;
    let fleet = Fleet::start_before(&[DESK, ADJUSTER], target).await;
    for via in &fleet.members {
        let mut req = client::get("/adjuster/files", "r-1");
        if let Some(asked) = case.asked {
            let asked = asked.parse().expect("a value");
            req.headers_mut().insert("x-request-timeout-ms", asked);
        }
        let res = client::call(via.addrs.ingress, req).await.expect("answer");
        let seen: BTreeMap<String, String> =
            serde_json::from_slice(res.body()).expect("the headers that it got");
        let told: u64 = seen["x-request-timeout-ms"].parse().expect("a number");
        assert!((1..=case.most).contains(&told), "{told} for {case:?}");
    }
}
