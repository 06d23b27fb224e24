//! Answers that targets begin and never end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::StatusCode;
use http_body_util::BodyExt;
use rstest::rstest;
use sassafrasspool_standin::target::answer_body;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::wait;

/// The timeout of each request.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Time after that timeout by which the final answer has arrived.
const FINAL_ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Time between two parts of an answer that is sent without end.
const PART_GAP: Duration = Duration::from_millis(10);

/// How a target answers.
#[derive(Debug, Clone, Copy)]
struct Answer {
    /// What it sends at once.
    begin: &'static str,
    /// What it sends again and again; nothing if it falls silent.
    repeat: &'static str,
    gap: Duration,
}

/// Starts a target that answers each connection so, until the other side closes it.
async fn start_target(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_until_closed(stream, answer));
        }
    });
    addr
}

async fn answer_until_closed(mut stream: TcpStream, answer: Answer) {
    let mut buf = [0; 4096];
    // The request has no body, so that its head arrives at once.
    if !matches!(stream.read(&mut buf).await, Ok(1..)) {
        return;
    }
    let mut sent = stream.write_all(answer.begin.as_bytes()).await;
    while sent.is_ok() && !answer.repeat.is_empty() {
        tokio::time::sleep(answer.gap).await;
        sent = stream.write_all(answer.repeat.as_bytes()).await;
    }
    // A silent target keeps the connection open.
    let _ = stream.read(&mut buf).await;
}

const SIZED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nglas";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\nglas";
const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// Guards against requests whose answers never end and hold a slot and their caller for long
/// after the deadline; nor may such an answer look complete.
#[rstest]
#[case::silent_sized(Answer { begin: SIZED, repeat: "", gap: PART_GAP })]
#[case::silent_chunked(Answer { begin: CHUNKED, repeat: "", gap: PART_GAP })]
#[case::silent_until_close(Answer { begin: UNTIL_CLOSE, repeat: "", gap: PART_GAP })]
#[case::silent_head(Answer { begin: HEAD, repeat: "", gap: PART_GAP })]
#[case::endless_sized(Answer { begin: "HTTP/1.1 200 OK\r\ncontent-length: 90000000\r\n\r\n", repeat: "glas", gap: PART_GAP })]
#[case::endless_chunked(Answer { begin: CHUNKED, repeat: "4\r\nglas\r\n", gap: PART_GAP })]
#[case::endless_until_close(Answer { begin: UNTIL_CLOSE, repeat: "glas", gap: PART_GAP })]
#[case::endless_head(Answer { begin: HEAD, repeat: "x-more: glas\r\n", gap: PART_GAP })]
#[case::endless_fast_head(Answer { begin: HEAD, repeat: "x-more: glas\r\n", gap: Duration::ZERO })]
#[case::endless_interim(Answer { begin: "HTTP/1.1 100 Continue\r\n\r\n", repeat: "HTTP/1.1 100 Continue\r\n\r\n", gap: PART_GAP })]
#[case::endless_trailers(Answer {
    begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n",
    repeat: "x-more: glas\r\n",
    gap: PART_GAP,
})]
#[tokio::test]
async fn an_answer_without_an_end_is_cut_at_the_deadline(
    #[case] answer: Answer,
    #[values("/desk", "/adjuster")] path: &str,
) {
    let target = start_target(answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target).await;
    let mut req = client::get(path, "r-1");
    let timeout = HeaderValue::from(u64::try_from(TIMEOUT.as_millis()).expect("a short time"));
    req.headers_mut().insert("x-request-timeout-ms", timeout);
    let began = Instant::now();
    let answer = client::call(fleet.members[0].addrs.ingress, req).await;
    let took = began.elapsed();
    if let Ok(answer) = answer {
        assert!(answer.status().is_server_error(), "{answer:?}");
    }
    assert!(took < TIMEOUT + FINAL_ANSWER_SLACK, "{took:?}");
    let in_flight = || fleet.members.iter().map(|m| m.shared.in_flight().count());
    wait::until("nothing in flight", || in_flight().sum::<u64>() == 0).await;
}

/// Guards against a slow caller whose answer is cut although its target isn't late.
#[rstest]
#[tokio::test]
async fn a_slow_caller_gets_an_answer_that_its_target_sent_in_time(
    #[values("/desk", "/adjuster")] path: &str,
) {
    const BYTES: usize = 3_000_000;
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let mut req = client::get(path, "r-1");
    let headers = req.headers_mut();
    headers.insert("x-request-timeout-ms", HeaderValue::from_static("400"));
    headers.insert("x-answer-bytes", HeaderValue::from(BYTES));
    let answer = client::send(fleet.members[0].addrs.ingress, req).await;
    let answer = answer.expect("a head");
    assert_eq!(answer.status(), StatusCode::OK);
    let mut body = answer.into_body();
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("no cut");
        received.extend_from_slice(frame.data_ref().expect("data"));
        if received.len() < BYTES / 2 {
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    }
    assert!(received == answer_body("r-1", BYTES), "another answer");
}
