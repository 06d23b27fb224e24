//! Pipelined requests: those sent before the previous ones were answered.

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

/// How long the target runs each request.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Time in which a slot must be free after its caller has disconnected: far above a round
/// trip, and far below the deadline of a request.
const SLOT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// One member whose target runs each request for [`SERVICE_TIME`].
async fn slow_fleet() -> Fleet {
    let cfg = TargetSettings {
        service: ServiceTimes {
            default_us: u64::try_from(SERVICE_TIME.as_micros()).expect("a time below 2^64 µs"),
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    };
    Fleet::start_with_settings(&[DESK], cfg).await
}

/// Sends requests for these paths in one write, the last of which closes the connection;
/// returns all bytes of the answers.
async fn send_pipelined(fleet: &Fleet, paths: &[&str]) -> String {
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
    io.write_all(text.as_bytes())
        .await
        .expect("the bytes are sent");
    let mut answers = String::new();
    io.read_to_string(&mut answers).await.expect("the answers");
    answers
}

/// The position in the answers of the first body for each of the ids.
fn positions(answers: &str, ids: &[&str]) -> Vec<usize> {
    let position = |id: &&str| answers.find(&format!("\r\n\r\n{id}\n"));
    ids.iter().map(|id| position(id).expect(id)).collect()
}

/// Guards against head-of-line blocking of pipelined requests, and against answers out of
/// order.
#[tokio::test]
async fn idempotent_requests_run_concurrently_and_are_answered_in_order() {
    let fleet = slow_fleet().await;
    let answers = send_pipelined(&fleet, &["/desk/1", "/desk/2", "/desk/3"]).await;
    let positions = positions(&answers, &["r-0", "r-1", "r-2"]);
    assert!(positions.is_sorted(), "{answers}");
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

/// Guards against a pipelined claim that runs although its connection closes before
/// the answers ahead of it are sent.
#[tokio::test]
async fn a_non_idempotent_request_waits_for_the_answers_before_it() {
    let fleet = slow_fleet().await;
    let answers = send_pipelined(&fleet, &["/desk/1", "/desk/lodge"]).await;
    let positions = positions(&answers, &["r-0", "r-1"]);
    assert!(positions.is_sorted(), "{answers}");
    let runs = fleet.members[0].target.ledger().runs;
    let of = |id: &str| runs.iter().find(|run| run.id == id).expect("a run");
    assert!(
        of("r-1").started_us >= of("r-0").ended_us.expect("an end"),
        "{runs:?}"
    );
}

/// What a caller sends before it disconnects. Each piece is sent once the target runs the
/// requests of the piece before.
#[derive(Debug)]
struct DisconnectCase {
    name: &'static str,
    pieces: &'static [&'static str],
    /// Requests that run on the target after each piece.
    running: &'static [u64],
}

const LOOKUP_REQUEST: &str = "GET /desk/policy HTTP/1.1\r\nhost: desk\r\n\r\n";

const DISCONNECT_CASES: [DisconnectCase; 5] = [
    DisconnectCase {
        name: "three at once",
        pieces: &["GET /desk/1 HTTP/1.1\r\nhost: desk\r\n\r\n\
             GET /desk/2 HTTP/1.1\r\nhost: desk\r\n\r\n\
             GET /desk/3 HTTP/1.1\r\nhost: desk\r\n\r\n"],
        running: &[3],
    },
    DisconnectCase {
        name: "three in turn, the last of which stays unread",
        pieces: &[LOOKUP_REQUEST, LOOKUP_REQUEST, LOOKUP_REQUEST],
        running: &[1, 2, 2],
    },
    DisconnectCase {
        name: "a partial head after a request",
        pieces: &[LOOKUP_REQUEST, "GET /desk/po"],
        running: &[1, 1],
    },
    DisconnectCase {
        name: "a chunked body after a request",
        pieces: &[
            LOOKUP_REQUEST,
            "POST /desk/lodge HTTP/1.1\r\nhost: desk\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nclaim\r\n",
        ],
        running: &[1, 1],
    },
    DisconnectCase {
        name: "a request after a chunked body",
        pieces: &[
            "POST /desk/lodge HTTP/1.1\r\nhost: desk\r\n\
             transfer-encoding: chunked\r\n\r\n5\r\nclaim\r\n0\r\n\r\n",
            LOOKUP_REQUEST,
        ],
        running: &[1, 1],
    },
];

/// Guards against requests that keep running after their caller disconnected, if the caller
/// had sent more bytes after the request that runs.
#[tokio::test]
async fn a_disconnected_caller_with_pipelined_requests_frees_their_slots() {
    for case in &DISCONNECT_CASES {
        let fleet = Fleet::start(&[DESK]).await;
        let desk = &fleet.members[0];
        desk.target.set_slow(Duration::from_secs(60)).await;
        let mut caller = TcpStream::connect(desk.addrs.ingress)
            .await
            .expect("a connection");
        for (piece, &running) in case.pieces.iter().zip(case.running) {
            caller
                .write_all(piece.as_bytes())
                .await
                .expect("the bytes are sent");
            wait::until(case.name, || desk.target.stats().inflight == running).await;
        }
        drop(caller);
        let disconnected = Instant::now();
        wait::until(case.name, || desk.target.stats().inflight == 0).await;
        let took = disconnected.elapsed();
        assert!(took < SLOT_RELEASE_TIMEOUT, "{}: after {took:?}", case.name);
    }
}
