//! Failure domains that operators evacuate.

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

/// The failure domain of the first two.
const EVACUATED: &str = "evacuated: [bayanzurkh]\n";

/// How long a request takes at a target that is at work all the while.
const AT_WORK: Duration = Duration::from_secs(1);

/// Sends lookups to the ingress of each member; all are to be answered.
async fn look_up(fleet: &Fleet, name: &str) -> Vec<String> {
    let mut ids = Vec::new();
    for (n, member) in fleet.members.iter().cycle().take(30).enumerate() {
        let id = format!("{name}-{n}");
        let req = client::get("/desk/policy", &id);
        let res = client::call(member.addrs.ingress, req).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::OK, "{id}");
        ids.push(id);
    }
    ids
}

fn ran(fleet: &Fleet, member: usize, ids: &[String]) -> usize {
    let runs = ids.iter().map(|id| fleet.members[member].runs_of(id).len());
    runs.sum()
}

/// Guards against work for targets of an evacuated failure domain, and against callers
/// there who aren't served elsewhere.
#[tokio::test]
async fn an_evacuated_domain_gets_nothing_until_it_is_taken_back() {
    let fleet = Fleet::start(&SPECS).await;
    for (revision, orders) in [(2, EVACUATED), (3, ""), (4, EVACUATED), (5, "")] {
        fleet.publish_with(&SPECS, revision, orders);
        let ids = look_up(&fleet, &format!("r{revision}")).await;
        let near = ran(&fleet, 0, &ids) + ran(&fleet, 1, &ids);
        match orders.is_empty() {
            true => assert!(near > 0, "nothing goes back after revision {revision}"),
            false => assert_eq!(near, 0, "at revision {revision}"),
        }
        assert_eq!(near + ran(&fleet, 2, &ids), ids.len());
    }
}

/// Guards against work from a node that hasn't heard of the evacuation.
#[tokio::test]
async fn what_a_node_behind_sends_to_an_evacuated_target_is_refused() {
    let fleet = Fleet::start(&SPECS).await;
    let view = fleet.view_with(&SPECS, 2, EVACUATED);
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
    assert_eq!(ran(&fleet, 1, &ids), 0);
}

/// Guards against requests that wait for a slot of an evacuated target to their end.
#[tokio::test]
async fn what_waits_is_moved_on_at_once_and_what_runs_ends() {
    let fleet = Fleet::start(&SPECS).await;
    // Only the first member's own target is there to choose.
    fleet.publish(&SPECS, 2, &[NEAR.id, FAR.id]);
    fleet.members[0].target.set_slow(AT_WORK).await;
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
    let waiting = send("waits");
    wait::until("one more in flight", || {
        shared.in_flight().count() > u64::from(SLOTS)
    })
    .await;
    fleet.publish_with(&SPECS, 3, EVACUATED);
    let res = waiting.await.expect("a task").expect("an answer");
    let told = std::str::from_utf8(res.body()).expect("text");
    assert!(told.contains("\"reason\":\"evacuated\""), "{told}");
    assert_eq!(fleet.runs_of("waits"), 0);
    for call in running {
        let res = call.await.expect("a task").expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
    }
}

/// Guards against work for anybody when operators have evacuated all failure domains.
#[tokio::test]
async fn nothing_runs_if_all_domains_are_evacuated() {
    let fleet = Fleet::start(&SPECS).await;
    fleet.publish_with(&SPECS, 2, "evacuated: [bayanzurkh, khan-uul]\n");
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

/// Guards against a later try at a target whose failure domain was evacuated meanwhile,
/// beside a node that hasn't heard of it.
#[tokio::test]
async fn a_later_try_does_not_go_to_a_domain_that_was_evacuated_meanwhile() {
    let specs = [DESK, FAR];
    let fleet = Fleet::start(&specs).await;
    let [first, far] = &fleet.members[..] else {
        panic!("two members");
    };
    first.target.set_slow(AT_WORK).await;
    let req = client::get("/desk/policy", "r-1");
    let answer = tokio::spawn(client::call(first.addrs.ingress, req));
    wait::until("the run", || first.runs_of("r-1").len() == 1).await;
    let view = fleet.view_with(&specs, 2, "evacuated: [khan-uul]\n");
    first.shared.set_view(view);
    first.target.crash().await;
    let res = answer.await.expect("a task").expect("an answer");
    assert_ne!(res.status(), StatusCode::OK);
    assert!(far.runs_of("r-1").is_empty());
}
