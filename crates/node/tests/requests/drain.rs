//! Planned stops.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use sassafrasspool_core::Phase;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Member;
use crate::fleet::Spec;
use crate::wait;

const SECOND: Spec = Spec { id: "wd-2", ..DESK };

const THIRD: Spec = Spec { id: "wd-3", ..DESK };

/// Far longer than any drain takes here.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than the 1 s after which a departing target is handed no new requests.
const AFTER_DEPARTURE_GRACE: Duration = Duration::from_millis(1_100);

/// Stops a member as a node does; returns the number of requests that were cut.
async fn stop_member(member: &mut Member) -> u64 {
    member.shared.advance_phase(Phase::Draining);
    member.shared.in_flight().wait_until_idle().await;
    member.cancel.cancel();
    let traffic = member.traffic.take().expect("a running node");
    traffic.wait_stopped_or_abort(STOP_TIMEOUT).await
}

/// Guards against a draining node that runs requests, or whose refusals don't state that
/// they weren't run.
#[tokio::test]
async fn a_draining_node_refuses_requests_and_runs_none() {
    let fleet = Fleet::start(&[DESK]).await;
    let desk = &fleet.members[0];
    desk.shared.advance_phase(Phase::Draining);
    for (port, addr) in [
        ("ingress", desk.addrs.ingress),
        ("egress", desk.addrs.egress),
    ] {
        let req = client::get("/desk/lodge", port);
        let res = client::call(addr, req).await.expect("an answer");
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
        let body = std::str::from_utf8(res.body()).expect("valid UTF-8");
        assert!(body.contains("\"reason\":\"draining\""), "{body}");
    }
    assert!(desk.target.ledger().runs.is_empty());
}

/// Guards against requests from a node with a stale list that a departed target runs.
#[tokio::test]
async fn requests_of_a_stale_node_to_a_departed_target_are_refused() {
    let specs = [DESK, SECOND];
    let fleet = Fleet::start(&specs).await;
    let [stale, departed] = &fleet.members[..] else {
        panic!("two members");
    };
    departed
        .shared
        .set_view(fleet.view_of_list(&specs, 2, &[departed.id]));
    let send = async |id: &str| {
        let req = client::get("/desk/lodge", id);
        let res = client::call(stale.addrs.ingress, req).await;
        assert_eq!(res.expect("an answer").status(), StatusCode::OK);
    };
    tokio::time::sleep(AFTER_DEPARTURE_GRACE).await;
    let ids: Vec<String> = (0..20).map(|n| format!("r-{n}")).collect();
    for id in &ids {
        send(id).await;
    }
    assert!(ids.iter().all(|id| departed.runs_of(id).is_empty()));
    assert!(ids.iter().all(|id| stale.runs_of(id).len() == 1));
}

/// Callers that send requests until [`Callers::stop`].
struct Callers {
    stopped: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<u64>>,
}

impl Callers {
    /// Starts callers at the ingress of member `via`.
    fn start(fleet: &Fleet, via: usize) -> Callers {
        let stopped = Arc::new(AtomicBool::new(false));
        let ingress = fleet.members[via].addrs.ingress;
        let start_caller = |n: usize| {
            let stopped = Arc::clone(&stopped);
            tokio::spawn(async move {
                let mut answered = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let req = client::get("/desk/lodge", &format!("c-{n}-{answered}"));
                    let res = client::call(ingress, req).await.expect("an answer");
                    assert_eq!(res.status(), StatusCode::OK, "{:?}", res.body());
                    answered += 1;
                }
                answered
            })
        };
        let tasks = (0..4).map(start_caller).collect();
        Callers { stopped, tasks }
    }

    /// Stops the callers; returns the number of answers.
    async fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        let mut answered = 0;
        for task in self.tasks {
            answered += task.await.expect("no call fails");
        }
        answered
    }
}

/// Guards against requests that overlapping planned stops cut or run twice.
#[tokio::test]
async fn two_concurrent_stops_under_load_cut_no_request() {
    let mut fleet = Fleet::start(&[DESK, SECOND, THIRD]).await;
    for member in &fleet.members {
        member.target.set_slow(Duration::from_millis(5)).await;
    }
    let callers = Callers::start(&fleet, 2);
    let ran = |m: &Member| m.target.ledger().runs.len();
    wait::until("load on each member", || {
        fleet.members.iter().all(|m| ran(m) > 20)
    })
    .await;
    let mut stopping: Vec<Member> = fleet.members.drain(..2).collect();
    let [first, second] = &mut stopping[..] else {
        unreachable!("two members");
    };
    let (first, second) = tokio::join!(stop_member(first), stop_member(second));
    assert_eq!((first, second), (0, 0));
    let before = ran(&fleet.members[0]);
    wait::until("more load", || ran(&fleet.members[0]) > before + 20).await;
    let answered = callers.stop().await;
    let members = stopping.iter().chain(&fleet.members);
    let ran: usize = members.map(ran).sum();
    assert_eq!(u64::try_from(ran).expect("few runs"), answered);
}

/// Guards against a planned stop that cuts an answer.
#[tokio::test]
async fn a_stop_waits_for_the_answer_in_flight() {
    let mut fleet = Fleet::start(&[DESK]).await;
    fleet.members[0]
        .target
        .set_slow(Duration::from_millis(300))
        .await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut req = client::get("/desk/lodge", "r-1");
    let bytes = "3000000".parse().expect("a valid header value");
    req.headers_mut().insert("x-answer-bytes", bytes);
    let call = tokio::spawn(client::call(ingress, req));
    wait::until("a run", || fleet.runs_of("r-1") == 1).await;
    assert_eq!(stop_member(&mut fleet.members[0]).await, 0);
    let res = call
        .await
        .expect("the task doesn't panic")
        .expect("a whole answer");
    assert_eq!(res.body().len(), 3_000_000 + "r-1\n".len());
}

/// Guards against a connection that a stop closes while a request on it is still unread.
#[tokio::test]
async fn a_request_during_the_stop_is_refused() {
    let mut fleet = Fleet::start(&[DESK]).await;
    let desk = &mut fleet.members[0];
    let mut caller = client::connect(desk.addrs.ingress).await;
    let res = caller.call(client::get("/desk/policy", "r-1")).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::OK);
    desk.shared.advance_phase(Phase::Draining);
    desk.cancel.cancel();
    let res = caller.call(client::get("/desk/policy", "r-2")).await;
    let res = res.expect("an answer");
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "not-run");
    assert_eq!(client::header(&res, "connection"), "close");
    let traffic = desk.traffic.take().expect("a running node");
    assert_eq!(traffic.wait_stopped_or_abort(STOP_TIMEOUT).await, 0);
    assert_eq!(fleet.runs_of("r-2"), 0);
}

/// A request that crosses the close of its connection.
#[derive(Debug)]
struct LateRequest {
    /// Whether it is the first on its connection.
    is_first: bool,
    /// Whether it is sent after the node has stopped, not just after the close.
    after_stop: bool,
}

/// Guards against a caller that can't infer whether the request was run that it sent on an
/// idle connection before it detected the close.
#[rstest]
#[case::on_a_used_connection(LateRequest { is_first: false, after_stop: false })]
#[case::on_a_new_connection(LateRequest { is_first: true, after_stop: false })]
#[case::after_the_stop(LateRequest { is_first: false, after_stop: true })]
#[tokio::test]
async fn a_request_that_crosses_the_close_is_refused(#[case] late: LateRequest) {
    let mut fleet = Fleet::start(&[DESK]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut caller = TcpStream::connect(ingress).await.expect("a connection");
    let send = async |caller: &mut TcpStream, id: &str| {
        let text = format!("GET /desk/policy HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\n\r\n");
        let sent = caller.write_all(text.as_bytes()).await;
        sent.expect("the bytes are sent");
    };
    let mut buf = [0; 1024];
    if !late.is_first {
        send(&mut caller, "r-1").await;
        let read = caller.read(&mut buf).await.expect("an answer");
        assert!(buf[..read].ends_with(b"r-1\n"), "one whole answer");
    }
    // The bytes that the node sends at the close show when it is, and stay unread.
    let sent_late = async {
        let closing = caller.peek(&mut buf).await;
        assert!(closing.expect("an open connection") > 0);
        if !late.after_stop {
            send(&mut caller, "r-2").await;
        }
    };
    let (cut, ()) = tokio::join!(stop_member(&mut fleet.members[0]), sent_late);
    assert_eq!(cut, 0);
    if late.after_stop {
        send(&mut caller, "r-2").await;
    }
    let mut answers = String::new();
    let read = caller.read_to_string(&mut answers).await;
    read.expect("an answer and the end");
    assert!(answers.starts_with("HTTP/1.1 408 "), "{answers}");
    assert!(
        answers.contains("x-sassafrasspool-outcome: not-run\r\n"),
        "{answers}"
    );
    assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
    assert_eq!(fleet.runs_of("r-2"), 0);
}

/// Guards against a stop that waits for a hanging target without a bound, or doesn't count
/// the requests that it cuts.
#[tokio::test]
async fn a_stop_at_its_bound_returns_the_number_of_cut_requests() {
    let mut fleet = Fleet::start(&[DESK]).await;
    let desk = &mut fleet.members[0];
    desk.target.set_hang_after_run(true).await;
    let req = client::get("/desk/lodge", "r-1");
    let call = tokio::spawn(client::call(desk.addrs.ingress, req));
    wait::until("a run", || desk.runs_of("r-1").len() == 1).await;
    desk.shared.advance_phase(Phase::Draining);
    desk.cancel.cancel();
    let traffic = desk.traffic.take().expect("a running node");
    let cut = traffic
        .wait_stopped_or_abort(Duration::from_millis(200))
        .await;
    assert_eq!(cut, 1);
    call.await
        .expect("the task doesn't panic")
        .expect_err("a cut request");
}
