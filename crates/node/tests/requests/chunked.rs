//! Request bodies that are sent in chunks, without a length.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;

/// Time between two parts of a request, so that they arrive apart.
const PART_GAP: Duration = Duration::from_millis(20);

/// A body as its parts are sent, and its size.
#[derive(Debug, Clone, Copy)]
struct Chunks {
    parts: &'static [&'static str],
    bytes: usize,
}

const EMPTY: Chunks = Chunks {
    parts: &["0\r\n\r\n"],
    bytes: 0,
};
const ONE: Chunks = Chunks {
    parts: &["4\r\nglas\r\n0\r\n\r\n"],
    bytes: 4,
};
const APART: Chunks = Chunks {
    parts: &["4\r\ngl", "as\r\n", "3\r\nist\r\n", "0\r\n\r\n"],
    bytes: 7,
};
const WITH_TRAILERS: Chunks = Chunks {
    parts: &["4\r\nglas\r\n0\r\nx-checksum: 1\r\n\r\n"],
    bytes: 4,
};

/// Guards against bodies in chunks that are lost on the way to the target.
#[rstest]
#[tokio::test]
async fn a_body_in_chunks_is_received_whole(
    #[values("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")] method: &str,
    #[values("/desk", "/adjuster")] path: &str,
    #[values(EMPTY, ONE, APART, WITH_TRAILERS)] body: Chunks,
) {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut stream = TcpStream::connect(ingress).await.expect("a connection");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-1\r\n\
         connection: close\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the head is sent");
    for part in body.parts {
        tokio::time::sleep(PART_GAP).await;
        let sent = stream.write_all(part.as_bytes()).await;
        sent.expect("a part of the body is sent");
    }
    let mut answer = String::new();
    let received = stream.read_to_string(&mut answer).await;
    received.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let expected = format!("x-received-bytes: {}\r\n", body.bytes);
    assert!(answer.contains(&expected), "{answer}");
    assert_eq!(fleet.runs_of("r-1"), 1);
}

/// Guards against bodies without a length that are lost if their caller uses HTTP/2.
#[rstest]
#[tokio::test]
async fn an_http2_body_without_a_length_is_received_whole(
    #[values(Method::GET, Method::POST)] method: Method,
    #[values("/desk", "/adjuster")] path: &str,
) {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let stream = TcpStream::connect(ingress).await.expect("a connection");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, conn) = handshake.await.expect("a connection");
    tokio::spawn(conn);
    let frames = ["gl", "as"].map(|part| Ok::<_, Infallible>(Frame::data(Bytes::from(part))));
    let req = Request::builder()
        .method(method)
        .uri(format!("http://desk.example{path}"))
        .header("x-request-id", "r-1")
        .body(StreamBody::new(futures::stream::iter(frames)))
        .expect("a valid request");
    let answer = sender.send_request(req).await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(client::header(&answer, "x-received-bytes"), "4");
    answer.into_body().collect().await.expect("a whole answer");
}
