//! Evacuation of failure domains by operators.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::SLOTS;
use crate::fleet::Spec;
use crate::wait;

const NEAR: Spec = Spec { id: "wd-2", ..DESK };

const FAR: Spec = Spec {
    id: "wd-3",
    domain: "khan-uul",
    ..DESK
};

const SPECS: [Spec; 3] = [DESK, NEAR, FAR];

/// Catalogue lines that evacuate the failure domain of the first two members.
const EVACUATE_BAYANZURKH: &str = "evacuated: [bayanzurkh]\n";

/// Service time of a slow target.
const SERVICE_TIME: Duration = Duration::from_secs(1);

/// Sends lookups to the ingress of each member, each of which must succeed; returns their
/// ids.
async fn send_lookups(fleet: &Fleet, prefix: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for (n, member) in fleet.members.iter().cycle().take(30).enumerate() {
        let id = format!("{prefix}-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(member.addrs.ingress, req).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::OK, "{id}");
        ids.push(id);
    }
    ids
}

fn count_runs(fleet: &Fleet, member: usize, ids: &[String]) -> usize {
    let runs = ids.iter().map(|id| fleet.members[member].runs_of(id).len());
    runs.sum()
}

/// Guards against requests to targets of an evacuated failure domain, and against callers
/// in it whose requests aren't forwarded to another one.
#[tokio::test]
async fn an_evacuated_domain_gets_no_requests_until_the_evacuation_ends() {
    let fleet = Fleet::start(&SPECS).await;
    for (revision, lines) in [
        (2, EVACUATE_BAYANZURKH),
        (3, ""),
        (4, EVACUATE_BAYANZURKH),
        (5, ""),
    ] {
        fleet.publish_with_lines(&SPECS, revision, lines);
        let ids = send_lookups(&fleet, &format!("r{revision}")).await;
        let near = count_runs(&fleet, 0, &ids) + count_runs(&fleet, 1, &ids);
        match lines.is_empty() {
            true => assert!(
                near > 0,
                "no request goes to the domain again at revision {revision}"
            ),
            false => assert_eq!(near, 0, "at revision {revision}"),
        }
        assert_eq!(near + count_runs(&fleet, 2, &ids), ids.len());
    }
}

/// Guards against requests from a node that hasn't received the evacuation yet, which a
/// target in the evacuated domain runs.
#[tokio::test]
async fn requests_of_a_stale_node_to_an_evacuated_target_are_refused() {
    let fleet = Fleet::start(&SPECS).await;
    let view = fleet.view_with_lines(&SPECS, 2, EVACUATE_BAYANZURKH);
    for member in &fleet.members[1..] {
        member.shared.set_view(view.clone());
    }
    let mut ids = Vec::new();
    for n in 0..30 {
        let id = format!("r-{n}");
        let req = client::get("/desk/lodge", &id);
        let res = client::call(fleet.members[0].addrs.ingress, req).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::OK);
        ids.push(id);
    }
    assert_eq!(count_runs(&fleet, 1, &ids), 0);
}

/// Guards against requests that stay queued for a slot of an evacuated target until their
/// deadline.
#[tokio::test]
async fn an_evacuation_refuses_queued_requests_at_once_and_finishes_running_ones() {
    let fleet = Fleet::start(&SPECS).await;
    // Only the target of the first member stays eligible.
    fleet.publish_list(&SPECS, 2, &[NEAR.id, FAR.id]);
    fleet.members[0].target.set_slow(SERVICE_TIME).await;
    let ingress = fleet.members[0].addrs.ingress;
    let send = |id: &str| {
        let req = client::get("/desk/lodge", id);
        tokio::spawn(client::call(ingress, req))
    };
    let running: Vec<_> = (0..SLOTS).map(|n| send(&format!("runs-{n}"))).collect();
    let shared = Arc::clone(&fleet.members[0].shared);
    wait::until("all slots taken", || {
        fleet.members[0].target.ledger().runs.len() == SLOTS as usize
    })
    .await;
    let queued = send("waits");
    wait::until("one more in flight", || {
        shared.in_flight().count() > u64::from(SLOTS)
    })
    .await;
    fleet.publish_with_lines(&SPECS, 3, EVACUATE_BAYANZURKH);
    let res = queued
        .await
        .expect("the task doesn't panic")
        .expect("an answer");
    let body = std::str::from_utf8(res.body()).expect("valid UTF-8");
    assert!(body.contains("\"reason\":\"evacuated\""), "{body}");
    assert_eq!(fleet.runs_of("waits"), 0);
    for call in running {
        let res = call
            .await
            .expect("the task doesn't panic")
            .expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
    }
}

/// Guards against requests that run although operators have evacuated all failure domains.
#[tokio::test]
async fn no_request_runs_if_all_domains_are_evacuated() {
    let fleet = Fleet::start(&SPECS).await;
    fleet.publish_with_lines(&SPECS, 2, "evacuated: [bayanzurkh, khan-uul]\n");
    for (n, member) in fleet.members.iter().enumerate() {
        let req = client::get("/desk/lodge", &format!("r-{n}"));
        let res = client::call(member.addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
    }
    let runs = fleet.members.iter().map(|it| it.target.ledger().runs.len());
    assert_eq!(runs.sum::<usize>(), 0);
}

/// Guards against a retry at a target whose failure domain was evacuated after the first
/// attempt, and whose node hasn't received the evacuation yet.
#[tokio::test]
async fn a_retry_does_not_go_to_a_domain_evacuated_after_the_first_attempt() {
    let specs = [DESK, FAR];
    let fleet = Fleet::start(&specs).await;
    let [first, far] = &fleet.members[..] else {
        panic!("the fleet has two members");
    };
    first.target.set_slow(SERVICE_TIME).await;
    let req = client::get("/desk/policy", "r-1");
    let call = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    let view = fleet.view_with_lines(&specs, 2, "evacuated: [khan-uul]\n");
    first.shared.set_view(view);
    first.target.crash().await;
    let res = call
        .await
        .expect("the task doesn't panic")
        .expect("an answer");
    assert_ne!(res.status(), StatusCode::OK);
    assert!(far.runs_of("r-1").is_empty());
}
