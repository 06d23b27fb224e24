use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::MAX_VALUE_BYTES;
use super::PlatformClient;
use crate::SocketBytes;

/// Starts a server that accepts one connection, reads a request's head, writes `response`
/// and closes the connection. Returns its address.
async fn serve_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(io.read_u8().await.expect("a request"));
        }
        // The client may have closed the connection already.
        let _ = io.write_all(response.as_bytes()).await;
    });
    addr
}

async fn read(addr: SocketAddr, stream: Stream) -> SourceResult {
    let client = PlatformClient::new(addr, Arc::new(SocketBytes::default()));
    client.read(stream, None, Duration::ZERO).await
}

fn http_response(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}")
}

/// A response of the platform and a part of the expected result.
#[derive(Debug)]
struct Case {
    stream: Stream,
    response: String,
    result: &'static str,
}

#[rstest]
#[case::catalogue(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 7\r\n", "kinds: {}"),
    result: r#"Catalogue { revision: Revision(7), text: "kinds: {}" }"#,
})]
#[case::instances(Case {
    stream: Stream::Instances,
    response: http_response("200 OK", "x-revision: 7\r\n", r#"{"instances":[]}"#),
    result: "Instances { revision: Revision(7), instances: [] }",
})]
#[case::unchanged(Case {
    stream: Stream::Catalogue,
    response: http_response("304 Not Modified", "x-revision: 7\r\n", ""),
    result: "Unchanged { newest: Some(Revision(7)) }",
})]
#[case::nothing(Case {
    stream: Stream::Catalogue,
    response: http_response("404 Not Found", "", "nothing published"),
    result: "Nothing",
})]
#[case::busy(Case {
    stream: Stream::Catalogue,
    response: http_response("429 Too Many Requests", "retry-after: 2\r\n", ""),
    result: "Busy { retry_after: Some(2s) }",
})]
#[case::outage(Case {
    stream: Stream::Catalogue,
    response: http_response("503 Service Unavailable", "", "outage"),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[case::no_revision(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "", "kinds: {}"),
    result: "response without a revision",
})]
#[case::revision_zero(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 0\r\n", "kinds: {}"),
    result: "Failed { reason: \"check with 127.0.0.1:",
})]
#[case::not_text(Case {
    stream: Stream::Instances,
    response: http_response("200 OK", "x-revision: 7\r\n", "kinds: {}"),
    result: "Malformed { revision: Revision(7), reason: \"not an instance list",
})]
#[case::unknown_field(Case {
    stream: Stream::Instances,
    response: http_response("200 OK", "x-revision: 7\r\n", r#"{"instances":[],"more":1}"#),
    result: "Malformed { revision: Revision(7), reason: \"not an instance list",
})]
#[case::too_large(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 7\r\n", &"a".repeat(MAX_VALUE_BYTES + 1)),
    result: "response incomplete: length limit exceeded",
})]
#[case::truncated_body(Case {
    stream: Stream::Catalogue,
    response: "HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 9\r\n\r\nkinds".to_owned(),
    result: "response incomplete",
})]
#[case::endless_head(Case {
    stream: Stream::Catalogue,
    response: format!("HTTP/1.1 200 OK\r\nx-a: {}\r\n\r\n", "a".repeat(1024 * 1024)),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[case::unknown_coding(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 7\r\ncontent-encoding: br\r\n", "kinds: {}"),
    result: "unsupported content coding",
})]
#[case::body_not_in_its_coding(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 7\r\ncontent-encoding: zstd\r\n", "kinds: {}"),
    result: "body doesn't match its content coding",
})]
#[case::unknown_transfer_coding(Case {
    stream: Stream::Catalogue,
    response: "HTTP/1.1 200 OK\r\nx-revision: 7\r\ntransfer-encoding: gzip\r\n\r\nkinds: {}".to_owned(),
    result: "malformed response: the transfer coding is not supported",
})]
#[case::length_beside_chunks(Case {
    stream: Stream::Catalogue,
    response: http_response("200 OK", "x-revision: 7\r\ntransfer-encoding: chunked\r\n", "9\r\nkinds: {}\r\n0\r\n\r\n"),
    result: "malformed response: there are a length and a transfer coding",
})]
#[case::unreadable_length_of_no_body(Case {
    stream: Stream::Catalogue,
    response: "HTTP/1.1 304 Not Modified\r\nx-revision: 7\r\ncontent-length: 0x\r\n\r\n".to_owned(),
    result: "malformed response: the length is not a number",
})]
#[case::line_feed_in_the_head(Case {
    stream: Stream::Catalogue,
    response: "HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 1\n\r\n\r\nkinds: {}".to_owned(),
    result: "malformed response: the line endings differ",
})]
#[case::upgrade(Case {
    stream: Stream::Catalogue,
    response: http_response("101 Switching Protocols", "x-revision: 7\r\n", "kinds: {}"),
    result: "malformed response: the status is not that of a final response",
})]
#[case::status_600(Case {
    stream: Stream::Catalogue,
    response: http_response("600 OK", "x-revision: 7\r\n", "kinds: {}"),
    result: "malformed response: the status is not valid",
})]
#[case::garbage(Case {
    stream: Stream::Catalogue,
    response: "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[tokio::test]
async fn responses_are_decoded_or_rejected(#[case] case: Case) {
    let addr = serve_once(case.response).await;
    let result = format!("{:?}", read(addr, case.stream).await);
    assert!(result.contains(case.result), "{result}");
}

#[tokio::test]
async fn error_names_an_unreachable_platform() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = closed.local_addr().expect("its address");
    drop(closed);
    let result = read(addr, Stream::Catalogue).await;
    let SourceResult::Failed { reason } = result else {
        panic!("{result:?}");
    };
    assert!(
        reason.starts_with(&format!("connect with {addr}: ")),
        "{reason}"
    );
}

#[tokio::test]
async fn watch_sends_the_stored_revision_and_the_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let server = tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(io.read_u8().await.expect("a request"));
        }
        let response = http_response("304 Not Modified", "x-revision: 7\r\n", "");
        io.write_all(response.as_bytes()).await.expect("written");
        (String::from_utf8(head).expect("text"), response.len())
    });
    let bytes = Arc::new(SocketBytes::default());
    let client = PlatformClient::new(addr, Arc::clone(&bytes));
    let stored = Revision::new(7).expect("a revision");
    let wait = Duration::from_secs(5);
    client.read(Stream::Instances, Some(stored), wait).await;
    let (head, response_bytes) = server.await.expect("a request");
    assert!(head.starts_with("GET /v1/instances?after=7&wait_ms=5000 HTTP/1.1\r\n"));
    assert_eq!(bytes.written(), head.len() as u64);
    assert_eq!(bytes.read(), response_bytes as u64);
}
