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

/// Takes one connection, reads a request's head, writes `answer` and closes.
async fn answering(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(io.read_u8().await.expect("a request"));
        }
        // The client may have closed already.
        let _ = io.write_all(answer.as_bytes()).await;
    });
    addr
}

async fn read(addr: SocketAddr, stream: Stream) -> SourceResult {
    let client = PlatformClient::new(addr, Arc::new(SocketBytes::default()));
    client.read(stream, None, Duration::ZERO).await
}

fn http(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}")
}

/// An answer of the platform and what is made of it.
#[derive(Debug)]
struct Answer {
    stream: Stream,
    text: String,
    result: &'static str,
}

#[rstest]
#[case::catalogue(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "x-revision: 7\r\n", "kinds: {}"),
    result: r#"Catalogue { revision: Revision(7), text: "kinds: {}" }"#,
})]
#[case::instances(Answer {
    stream: Stream::Instances,
    text: http("200 OK", "x-revision: 7\r\n", r#"{"instances":[]}"#),
    result: "Instances { revision: Revision(7), instances: [] }",
})]
#[case::unchanged(Answer {
    stream: Stream::Catalogue,
    text: http("304 Not Modified", "x-revision: 7\r\n", ""),
    result: "Unchanged { newest: Some(Revision(7)) }",
})]
#[case::nothing(Answer {
    stream: Stream::Catalogue,
    text: http("404 Not Found", "", "nothing published"),
    result: "Nothing",
})]
#[case::busy(Answer {
    stream: Stream::Catalogue,
    text: http("429 Too Many Requests", "retry-after: 2\r\n", ""),
    result: "Busy { retry_after: Some(2s) }",
})]
#[case::outage(Answer {
    stream: Stream::Catalogue,
    text: http("503 Service Unavailable", "", "outage"),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[case::no_revision(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "", "kinds: {}"),
    result: "answered without a revision",
})]
#[case::revision_zero(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "x-revision: 0\r\n", "kinds: {}"),
    result: "Failed { reason: \"check with 127.0.0.1:",
})]
#[case::not_text(Answer {
    stream: Stream::Instances,
    text: http("200 OK", "x-revision: 7\r\n", "kinds: {}"),
    result: "Malformed { revision: Revision(7), reason: \"not an instance list",
})]
#[case::unknown_field(Answer {
    stream: Stream::Instances,
    text: http("200 OK", "x-revision: 7\r\n", r#"{"instances":[],"more":1}"#),
    result: "Malformed { revision: Revision(7), reason: \"not an instance list",
})]
#[case::too_large(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "x-revision: 7\r\n", &"a".repeat(MAX_VALUE_BYTES + 1)),
    result: "answer not whole: length limit exceeded",
})]
#[case::cut_short(Answer {
    stream: Stream::Catalogue,
    text: "HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 9\r\n\r\nkinds".to_owned(),
    result: "answer not whole",
})]
#[case::endless_head(Answer {
    stream: Stream::Catalogue,
    text: format!("HTTP/1.1 200 OK\r\nx-a: {}\r\n\r\n", "a".repeat(1024 * 1024)),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[case::unknown_coding(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "x-revision: 7\r\ncontent-encoding: br\r\n", "kinds: {}"),
    result: "answered in the coding",
})]
#[case::not_as_coded(Answer {
    stream: Stream::Catalogue,
    text: http("200 OK", "x-revision: 7\r\ncontent-encoding: zstd\r\n", "kinds: {}"),
    result: "answer not as coded",
})]
#[case::garbage(Answer {
    stream: Stream::Catalogue,
    text: "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
    result: "Failed { reason: \"source with 127.0.0.1:",
})]
#[tokio::test]
async fn answers_are_read_or_refused(#[case] case: Answer) {
    let addr = answering(case.text).await;
    let result = format!("{:?}", read(addr, case.stream).await);
    assert!(result.contains(case.result), "{result}");
}

#[tokio::test]
async fn unreachable_platform_is_named() {
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
async fn watch_says_what_is_held_and_how_long_to_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let asked = tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(io.read_u8().await.expect("a request"));
        }
        let answer = http("304 Not Modified", "x-revision: 7\r\n", "");
        io.write_all(answer.as_bytes()).await.expect("written");
        (String::from_utf8(head).expect("text"), answer.len())
    });
    let bytes = Arc::new(SocketBytes::default());
    let client = PlatformClient::new(addr, Arc::clone(&bytes));
    let held = Revision::new(7).expect("a revision");
    let wait = Duration::from_secs(5);
    client.read(Stream::Instances, Some(held), wait).await;
    let (head, answered) = asked.await.expect("asked");
    assert!(head.starts_with("GET /v1/instances?after=7&wait_ms=5000 HTTP/1.1\r\n"));
    assert_eq!(bytes.written(), head.len() as u64);
    assert_eq!(bytes.read(), answered as u64);
}
