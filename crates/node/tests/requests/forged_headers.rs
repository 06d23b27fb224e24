//! Forged headers that only nodes may set.

use std::collections::BTreeMap;

use http::StatusCode;
use rstest::rstest;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::header_echo_target;

/// Guards against internal headers of nodes that a caller sets.
#[tokio::test]
async fn forged_headers_of_a_caller_are_removed() {
    let target = header_echo_target::start().await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target).await;
    for (via, name) in [(0, "two hops"), (1, "one hop")] {
        let mut req = client::get("/adjuster/files", name);
        for (name, value) in [
            ("x-sassafrasspool-deadline-ms", "1"),
            ("x-sassafrasspool-hop", "99"),
            ("x-sassafrasspool-service", "archive"),
            ("x-sassafrasspool-outcome", "not-run"),
            ("x-sassafrasspool-anything", "1"),
        ] {
            let value = value.parse().expect("a valid header value");
            req.headers_mut().append(name, value);
        }
        let res = client::call(fleet.members[via].addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        let received = std::str::from_utf8(res.body()).expect("valid UTF-8");
        assert!(received.contains("x-request-id"), "{name}: {received}");
        assert!(!received.contains("sassafrasspool"), "{name}: {received}");
    }
}

/// Guards against a target whose answer states that an approval wasn't run.
#[tokio::test]
async fn a_forged_outcome_of_a_target_is_removed() {
    let target = header_echo_target::start().await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target).await;
    for via in &fleet.members {
        let req = client::get("/adjuster/approve", "r-1");
        let res = client::call(via.addrs.ingress, req)
            .await
            .expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        let internal = |name: &&http::HeaderName| name.as_str().contains("sassafrasspool");
        assert_eq!(res.headers().keys().find(internal), None);
    }
}

/// The timeout of a caller and the expected bound at the target.
#[derive(Debug)]
struct TimeoutCase {
    /// Timeout that the caller sends, in milliseconds.
    requested_ms: Option<&'static str>,
    /// Bound on the timeout that the target receives, in milliseconds.
    max_ms: u64,
}

/// Guards against targets that run requests after the deadline of their callers.
#[rstest]
#[case(TimeoutCase { requested_ms: None, max_ms: 5_000 })]
#[case(TimeoutCase { requested_ms: Some("3000"), max_ms: 3_000 })]
#[case(TimeoutCase { requested_ms: Some("99000"), max_ms: 5_000 })]
#[tokio::test]
async fn the_target_receives_the_time_left_until_the_deadline(#[case] case: TimeoutCase) {
    let target = header_echo_target::start().await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target).await;
    for via in &fleet.members {
        let mut req = client::get("/adjuster/files", "r-1");
        if let Some(requested_ms) = case.requested_ms {
            let requested_ms = requested_ms.parse().expect("a valid header value");
            req.headers_mut()
                .insert("x-request-timeout-ms", requested_ms);
        }
        let res = client::call(via.addrs.ingress, req)
            .await
            .expect("an answer");
        let received: BTreeMap<String, String> =
            serde_json::from_slice(res.body()).expect("the headers that the target received");
        let timeout_ms: u64 = received["x-request-timeout-ms"]
            .parse()
            .expect("a valid number");
        assert!(
            (1..=case.max_ms).contains(&timeout_ms),
            "{timeout_ms} for {case:?}"
        );
    }
}
