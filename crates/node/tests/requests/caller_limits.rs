//! Limits for callers that change while their connections are kept.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;

const SPECS: [crate::fleet::Spec; 2] = [DESK, ADJUSTER];

/// Time within which a lowered time limit closes an idle connection, beyond that limit.
const CLOSE_TOLERANCE: Duration = Duration::from_secs(3);

/// A change of the limit on heads, and a request after it on a connection from before it.
#[derive(Debug, Clone, Copy)]
struct HeadLimit {
    before: u32,
    after: u32,
    /// The size of one field of the request.
    field: usize,
    status: StatusCode,
}

fn put_in_force(fleet: &Fleet, revision: u64, limits: &str) {
    let lines = format!("callers: {{{limits}}}\n");
    fleet.publish_with_lines(&SPECS, revision, &lines);
}

fn with_field(path: &str, id: &str, field: usize) -> Request<client::Body> {
    let mut req = client::get(path, id);
    let value = HeaderValue::try_from("a".repeat(field)).expect("a valid value");
    req.headers_mut().insert("x-session", value);
    req
}

/// Guards against a limit on heads that stays as it was when a connection was accepted.
#[rstest]
#[case::raised(HeadLimit { before: 8_192, after: 16_384, field: 10_000, status: StatusCode::OK })]
#[case::raised_far(HeadLimit { before: 8_192, after: 60_000, field: 50_000, status: StatusCode::OK })]
#[case::lowered(HeadLimit {
    before: 16_384,
    after: 8_192,
    field: 10_000,
    status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
})]
#[tokio::test]
async fn a_kept_connection_applies_the_limit_on_heads_in_force(
    #[case] case: HeadLimit,
    #[values("/desk", "/adjuster")] path: &str,
) {
    let fleet = Fleet::start(&SPECS).await;
    put_in_force(&fleet, 2, &format!("head_bytes: {}", case.before));
    let mut conn = client::connect(fleet.members[0].addrs.ingress).await;
    let first = conn.call(client::get(path, "first")).await;
    assert_eq!(first.expect("an answer").status(), StatusCode::OK);
    put_in_force(&fleet, 3, &format!("head_bytes: {}", case.after));
    let large = conn.call(with_field(path, "large", case.field)).await;
    assert_eq!(large.expect("an answer").status(), case.status);
    let next = conn.call(client::get(path, "next")).await;
    assert_eq!(next.expect("an answer").status(), StatusCode::OK);
}

/// Guards against the same over HTTP/2.
#[rstest]
#[case::raised(HeadLimit { before: 8_192, after: 16_384, field: 10_000, status: StatusCode::OK })]
#[case::lowered(HeadLimit {
    before: 16_384,
    after: 8_192,
    field: 10_000,
    status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
})]
#[tokio::test]
async fn a_kept_http2_connection_applies_the_limit_on_heads_in_force(#[case] case: HeadLimit) {
    let fleet = Fleet::start(&SPECS).await;
    put_in_force(&fleet, 2, &format!("head_bytes: {}", case.before));
    let mut sender = connect_http2(fleet.members[0].addrs.ingress).await;
    let first = call_http2(&mut sender, "first", 10).await;
    assert_eq!(first.status(), StatusCode::OK);
    put_in_force(&fleet, 3, &format!("head_bytes: {}", case.after));
    let large = call_http2(&mut sender, "large", case.field).await;
    assert_eq!(large.status(), case.status);
}

/// Guards against a caller whose kept connection can't take a head that the limit in force
/// allows, and that isn't told to open another one.
#[tokio::test]
async fn a_limit_beyond_the_buffers_of_a_connection_closes_it_after_the_next_answer() {
    let fleet = Fleet::start(&SPECS).await;
    put_in_force(&fleet, 2, "head_bytes: 8192");
    let ingress = fleet.members[0].addrs.ingress;
    let mut conn = client::connect(ingress).await;
    let first = conn
        .call(client::get("/desk", "first"))
        .await
        .expect("an answer");
    assert_eq!(client::header(&first, "connection"), "");
    put_in_force(&fleet, 3, "head_bytes: 200000");
    let next = conn
        .call(client::get("/desk", "next"))
        .await
        .expect("an answer");
    assert_eq!(client::header(&next, "connection"), "close");
    let large = client::call(ingress, with_field("/adjuster", "large", 150_000)).await;
    assert_eq!(large.expect("an answer").status(), StatusCode::OK);
}

/// Guards against an idle connection that is closed by a time limit from before a change.
#[tokio::test]
async fn a_raised_idle_limit_holds_for_kept_connections() {
    let fleet = Fleet::start(&SPECS).await;
    put_in_force(&fleet, 2, "head_timeout_ms: 400, idle_timeout_ms: 400");
    let mut conn = client::connect(fleet.members[0].addrs.ingress).await;
    let first = conn.call(client::get("/desk", "first")).await;
    assert_eq!(first.expect("an answer").status(), StatusCode::OK);
    put_in_force(&fleet, 3, "head_timeout_ms: 400, idle_timeout_ms: 60000");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let next = conn.call(client::get("/desk", "next")).await;
    assert_eq!(next.expect("an answer").status(), StatusCode::OK);
}

/// Guards against an idle connection that stays open for a time limit from before a change.
#[tokio::test]
async fn a_lowered_idle_limit_holds_for_kept_connections() {
    let fleet = Fleet::start(&SPECS).await;
    put_in_force(&fleet, 2, "head_timeout_ms: 60000, idle_timeout_ms: 60000");
    let ingress = fleet.members[0].addrs.ingress;
    let mut stream = TcpStream::connect(ingress).await.expect("a connection");
    // The node reads from a connection before it applies limits to it.
    tokio::io::AsyncWriteExt::write_all(&mut stream, b"GET /desk HT")
        .await
        .expect("a part of a head is sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    put_in_force(&fleet, 3, "head_timeout_ms: 300, idle_timeout_ms: 300");
    let began = Instant::now();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(CLOSE_TOLERANCE, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "still open after {:?}", began.elapsed());
}

async fn connect_http2(addr: SocketAddr) -> http2::SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(addr).await.expect("a connection");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, conn) = handshake.await.expect("a connection");
    tokio::spawn(conn);
    sender
}

async fn call_http2(
    sender: &mut http2::SendRequest<Empty<Bytes>>,
    id: &str,
    field: usize,
) -> Response<Bytes> {
    let req = Request::get("http://desk.example/desk")
        .header("x-request-id", id)
        .header("x-session", "a".repeat(field))
        .body(Empty::new())
        .expect("a valid request");
    let answer = sender.send_request(req).await.expect("an answer");
    let (head, body) = answer.into_parts();
    let body = body.collect().await.expect("a whole answer");
    Response::from_parts(head, body.to_bytes())
}
