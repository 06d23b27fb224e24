//! Planned stops.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use sassafrasspool_core::Phase;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Member;
use crate::fleet::Spec;
use crate::wait;

const SECOND: Spec = Spec { id: "wd-2", ..DESK };

const THIRD: Spec = Spec { id: "wd-3", ..DESK };

/// Far more than a drain takes here.
const BOUND: Duration = Duration::from_secs(20);

/// Longer than a departing target gets work for.
const DEPARTED: Duration = Duration::from_millis(1_100);

/// Stops a member as a node does; returns how many requests were cut.
async fn stop(member: &mut Member) -> u64 {
    member.shared.advance(Phase::Draining);
    member.shared.in_flight().idle().await;
    member.cancel.cancel();
    let traffic = member.traffic.take().expect("a running node");
    traffic.stopped_within(BOUND).await
}

/// Guards against work that a leaving node runs, or refuses without saying that it didn't.
#[tokio::test]
async fn a_leaving_node_refuses_and_runs_nothing() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    desk.shared.advance(Phase::Draining);
    for (port, addr) in [
        ("ingress", desk.addrs.ingress),
        ("egress", desk.addrs.egress),
    ] {
        let req = client::get("/desk/lodge", port);
        let res = client::call(addr, req).await.expect("an answer");
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
        let body = std::str::from_utf8(res.body()).expect("text");
        assert!(body.contains("\"reason\":\"draining\""), "{body}");
    }
    assert!(desk.target.ledger().runs.is_empty());
}

/// Guards against work for a departed target from a node with an old list.
#[tokio::test]
async fn what_a_node_behind_sends_to_a_departed_target_is_refused() {
    let specs = [DESK, SECOND];
    let fleet = Fleet::start(&specs).await;
    let [first, second] = &fleet.members[..] else {
        panic!("two members");
    };
    second.shared.set_view(fleet.view(&specs, 2, &[second.id]));
    let send = async |id: &str| {
        let req = client::get("/desk/lodge", id);
        let res = client::call(first.addrs.ingress, req).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::OK);
    };
    tokio::time::sleep(DEPARTED).await;
    let ids: Vec<String> = (0..20).map(|n| format!("r-{n}")).collect();
    for id in &ids {
        send(id).await;
    }
    assert!(ids.iter().all(|id| second.runs_of(id).is_empty()));
    assert!(ids.iter().all(|id| first.runs_of(id).len() == 1));
}

/// Callers that go on until they are told to stop.
struct Callers {
    done: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<u64>>,
}

impl Callers {
    fn start(fleet: &Fleet, via: usize) -> Callers {
        let done = Arc::new(AtomicBool::new(false));
        let ingress = fleet.members[via].addrs.ingress;
        let one = |n: usize| {
            let done = Arc::clone(&done);
            tokio::spawn(async move {
                let mut answered = 0;
                while !done.load(Ordering::Relaxed) {
                    let req = client::get("/desk/lodge", &format!("c-{n}-{answered}"));
                    let res = client::call(ingress, req).await.expect("an answer");
                    assert_eq!(res.status(), StatusCode::OK, "{:?}", res.body());
                    answered += 1;
                }
                answered
            })
        };
        let tasks = (0..4).map(one).collect();
        Callers { done, tasks }
    }

    async fn finish(self) -> u64 {
        self.done.store(true, Ordering::Relaxed);
        let mut answered = 0;
        for task in self.tasks {
            answered += task.await.expect("no failed call");
        }
        answered
    }
}

/// Guards against requests that are cut or doubled by overlapping planned stops.
#[tokio::test]
async fn two_stops_at_once_under_load_cut_nothing() {
    let mut fleet = Fleet::start(&[DESK, SECOND, THIRD]).await;
    for member in &fleet.members {
        member.target.set_slow(Duration::from_millis(5)).await;
    }
    let callers = Callers::start(&fleet, 2);
    let ran = |m: &Member| m.target.ledger().runs.len();
    wait::until("load", || fleet.members.iter().all(|m| ran(m) > 20)).await;
    let mut leaving: Vec<Member> = fleet.members.drain(..2).collect();
    let [first, second] = &mut leaving[..] else {
        unreachable!("two members");
    };
    let (first, second) = tokio::join!(stop(first), stop(second));
    assert_eq!((first, second), (0, 0));
    let before = ran(&fleet.members[0]);
    wait::until("more load", || ran(&fleet.members[0]) > before + 20).await;
    let answered = callers.finish().await;
    let members = leaving.iter().chain(&fleet.members);
    let ran: usize = members.map(ran).sum();
    assert_eq!(u64::try_from(ran).expect("few runs"), answered);
}

/// Guards against an answer that a planned stop cuts.
#[tokio::test]
async fn a_stop_waits_for_the_answer_in_flight() {
    let mut fleet = Fleet::start(&[DESK]).await;
    fleet.members[0]
        .target
        .set_slow(Duration::from_millis(300))
        .await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut req = client::get("/desk/lodge", "r-1");
    let bytes = "3000000".parse().expect("a value");
    req.headers_mut().insert("x-answer-bytes", bytes);
    let answer = tokio::spawn(client::call(ingress, req));
    wait::until("a run", || fleet.runs_of("r-1") == 1).await;
    assert_eq!(stop(&mut fleet.members[0]).await, 0);
    let res = answer.await.expect("a task").expect("a whole answer");
    assert_eq!(res.body().len(), 3_000_000 + "r-1\n".len());
}

/// Guards against a connection that closes unread as a request crosses the stop.
#[tokio::test]
async fn a_request_that_meets_the_stop_is_refused() {
    let mut fleet = Fleet::start(&[DESK]).await;
    let desk = &mut fleet.members[0];
    let mut caller = client::connect(desk.addrs.ingress).await;
    let res = caller.call(client::get("/desk/policy", "r-1")).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::OK);
    desk.shared.advance(Phase::Draining);
    desk.cancel.cancel();
    let res = caller.call(client::get("/desk/policy", "r-2")).await;
    let res = res.expect("an answer");
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
    assert_eq!(client::header(&res, "connection"), "close");
    let traffic = desk.traffic.take().expect("a running node");
    assert_eq!(traffic.stopped_within(BOUND).await, 0);
    assert_eq!(fleet.runs_of("r-2"), 0);
}

/// Guards against a stop that waits for a hanging target for ever, or hides what it cut.
#[tokio::test]
async fn a_stop_at_its_bound_says_what_it_cut() {
    let mut fleet = Fleet::start(&[DESK]).await;
    let desk = &mut fleet.members[0];
    desk.target.set_hang_after_run(true).await;
    let req = client::get("/desk/lodge", "r-1");
    let answer = tokio::spawn(client::call(desk.addrs.ingress, req));
    wait::until("a run", || desk.runs_of("r-1").len() == 1).await;
    desk.shared.advance(Phase::Draining);
    desk.cancel.cancel();
    let traffic = desk.traffic.take().expect("a running node");
    let cut = traffic.stopped_within(Duration::from_millis(200)).await;
    assert_eq!(cut, 1);
    answer.await.expect("a task").expect_err("a cut request");
}
