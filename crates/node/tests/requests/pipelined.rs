//! Requests that are sent before those before them were answered.

use std::time::Duration;
use std::time::Instant;

use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::ServiceTimes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::wait;

/// How long the target takes for each request.
const SERVICE: Duration = Duration::from_millis(300);

/// Within what a slot is free after its caller has left: far above a round trip, and far
/// below the deadline of a request.
const FREED_WITHIN: Duration = Duration::from_secs(2);

async fn slow_fleet() -> Fleet {
    let cfg = TargetSettings {
        service: ServiceTimes {
            default_us: u64::try_from(SERVICE.as_micros()).expect("a time"),
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    };
    Fleet::start_with(&[DESK], cfg).await
}

/// Sends requests for these paths in one go, the last of which closes the
/// connection; gives all that is answered.
async fn send(fleet: &Fleet, paths: &[&str]) -> String {
    let mut io = TcpStream::connect(fleet.members[0].addrs.ingress)
        .await
        .expect("a connection");
    let mut text = String::new();
    for (n, path) in paths.iter().enumerate() {
        let last = if n + 1 == paths.len() {
            "connection: close\r\n"
        } else {
            ""
        };
        text.push_str(&format!(
            "GET {path} HTTP/1.1\r\nhost: a\r\nx-request-id: r-{n}\r\n{last}\r\n"
        ));
    }
    io.write_all(text.as_bytes()).await.expect("sent");
    let mut answers = String::new();
    io.read_to_string(&mut answers).await.expect("answered");
    answers
}

/// Where each of the ids is first told in the answers.
fn places(answers: &str, ids: &[&str]) -> Vec<usize> {
    let place = |id: &&str| answers.find(&format!("\r\n\r\n{id}\n"));
    ids.iter().map(|id| place(id).expect(id)).collect()
}

/// Guards against pipelined requests that wait for each other, or are answered out of order.
#[tokio::test]
async fn repeatable_requests_run_together_and_are_answered_in_order() {
    let fleet = slow_fleet().await;
    let answers = send(&fleet, &["/desk/1", "/desk/2", "/desk/3"]).await;
    let places = places(&answers, &["r-0", "r-1", "r-2"]);
    assert!(places.is_sorted(), "{answers}");
    let runs = fleet.members[0].target.ledger().runs;
    assert_eq!(runs.len(), 3);
    let first_end = runs
        .iter()
        .filter_map(|run| run.ended_us)
        .min()
        .expect("an end");
    assert!(
        runs.iter().all(|run| run.started_us < first_end),
        "{runs:?}"
    );
}

/// Guards against a pipelined claim that runs although its connection ends before its turn.
#[tokio::test]
async fn what_may_run_once_waits_for_its_turn() {
    let fleet = slow_fleet().await;
    let answers = send(&fleet, &["/desk/1", "/desk/lodge"]).await;
    let places = places(&answers, &["r-0", "r-1"]);
    assert!(places.is_sorted(), "{answers}");
    let runs = fleet.members[0].target.ledger().runs;
    let of = |id: &str| runs.iter().find(|run| run.id == id).expect("a run");
    assert!(
        of("r-1").started_us >= of("r-0").ended_us.expect("an end"),
        "{runs:?}"
    );
}

/// What a caller sends before it leaves, each piece after the target took on the requests
/// of the one before.
#[derive(Debug)]
struct Leaving {
    what: &'static str,
    pieces: &'static [&'static str],
    /// Requests that run at the target once a piece has been read.
    running: &'static [u64],
}

const LOOKUP: &str = "GET /desk/policy HTTP/1.1\r\nhost: desk\r\n\r\n";

const LEAVING: [Leaving; 5] = [
    Leaving {
        what: "three at once",
        pieces: &["GET /desk/1 HTTP/1.1\r\nhost: desk\r\n\r\n\
             GET /desk/2 HTTP/1.1\r\nhost: desk\r\n\r\n\
             GET /desk/3 HTTP/1.1\r\nhost: desk\r\n\r\n"],
        running: &[3],
    },
    Leaving {
        what: "one by one, the last of which is never read",
        pieces: &[LOOKUP, LOOKUP, LOOKUP],
        running: &[1, 2, 2],
    },
    Leaving {
        what: "a part of a head behind a request",
        pieces: &[LOOKUP, "GET /desk/po"],
        running: &[1, 1],
    },
    Leaving {
        what: "a chunked body behind a request",
        pieces: &[
            LOOKUP,
            "POST /desk/lodge HTTP/1.1\r\nhost: desk\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nclaim\r\n",
        ],
        running: &[1, 1],
    },
    Leaving {
        what: "a request behind a chunked body",
        pieces: &[
            "POST /desk/lodge HTTP/1.1\r\nhost: desk\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nclaim\r\n0\r\n\r\n",
            LOOKUP,
        ],
        running: &[1, 1],
    },
];

/// Guards against work for callers who have left, when they had sent more behind the
/// request that is being answered.
#[tokio::test]
async fn a_caller_that_leaves_with_requests_in_line_frees_their_slots() {
    for case in &LEAVING {
        let fleet = Fleet::start(&[DESK]).await;
        let desk = &fleet.members[0];
        desk.target.set_slow(Duration::from_secs(60)).await;
        let mut caller = TcpStream::connect(desk.addrs.ingress)
            .await
            .expect("a connection");
        for (piece, &running) in case.pieces.iter().zip(case.running) {
            caller.write_all(piece.as_bytes()).await.expect("sent");
            wait::until(case.what, || desk.target.stats().inflight == running).await;
        }
        drop(caller);
        let left = Instant::now();
        wait::until(case.what, || desk.target.stats().inflight == 0).await;
        let took = left.elapsed();
        assert!(took < FREED_WITHIN, "{}: after {took:?}", case.what);
    }
}
