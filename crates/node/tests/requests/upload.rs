//! Request bodies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use sassafrasspool_core::Phase;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::SLOTS;
use crate::fleet::Spec;
use crate::wait;

/// Sends a head with this content length, and the first `sent` bytes of the body.
async fn begin_upload(addr: SocketAddr, id: &str, content_length: usize, sent: usize) -> TcpStream {
    begin_upload_to("/adjuster/approve", addr, id, content_length, sent).await
}

/// Like [`begin_upload`], for any path.
async fn begin_upload_to(
    path: &str,
    addr: SocketAddr,
    id: &str,
    content_length: usize,
    sent: usize,
) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\n\
         x-request-id: {id}\r\ncontent-length: {content_length}\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let part = vec![b'x'; sent];
    stream
        .write_all(&part)
        .await
        .expect("a part of the body is sent");
    stream
}

/// Guards against bytes of an upload that are lost or changed in transit.
#[tokio::test]
async fn uploads_are_received_whole() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    for len in [1, 60_000, 70_000, 3_000_000] {
        let id = format!("r-{len}");
        let mut req = client::get("/adjuster/approve", &id);
        *req.method_mut() = http::Method::POST;
        *req.body_mut() = client::Body::new(Bytes::from(vec![b'x'; len]));
        let res = client::call(fleet.members[0].addrs.ingress, req).await;
        let res = res.expect("an answer");
        assert_eq!(res.status(), StatusCode::OK);
        let received = client::header(&res, "x-received-bytes");
        assert_eq!(received, len.to_string());
    }
}

/// Guards against a truncated upload that the target runs as a whole one.
#[tokio::test]
async fn a_truncated_upload_is_not_run() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    for (id, content_length) in [("held", 50_000), ("passed on", 5_000_000)] {
        let stream = begin_upload(ingress, id, content_length, 20_000).await;
        if id == "passed on" {
            wait::until("a run of the forwarded upload", || {
                !fleet.members[1].runs_of(id).is_empty()
            })
            .await;
        }
        drop(stream);
    }
    let in_flight = || fleet.members.iter().map(|m| m.shared.in_flight().count());
    wait::until("no request in flight", || in_flight().sum::<u64>() == 0).await;
    let target = &fleet.members[1].target;
    wait::until("free slots", || target.stats().inflight == 0).await;
    assert!(target.ledger().runs.iter().all(|run| !run.began()));
}

/// Guards against an upload over the size limit that is read or forwarded.
#[tokio::test]
async fn an_upload_over_the_limit_is_refused_at_once() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut stream = begin_upload(ingress, "r-1", 70_000_000, 0).await;
    let mut buf = [0; 1024];
    let len = stream.read(&mut buf).await.expect("an answer");
    let answer = String::from_utf8_lossy(&buf[..len]);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(
        answer.contains("x-sassafrasspool-outcome: not-run"),
        "{answer}"
    );
    assert_eq!(fleet.runs_of("r-1"), 0);
}

/// Guards against a request that is lost because it follows, on the same connection, an
/// upload that was refused early.
#[tokio::test]
async fn an_answer_before_the_end_of_an_upload_announces_the_close_of_the_connection() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut stream = begin_upload_to("/nowhere", ingress, "r-1", 60_000, 10).await;
    let mut buf = [0; 1024];
    let len = stream.read(&mut buf).await.expect("an answer");
    let answer = String::from_utf8_lossy(&buf[..len]);
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Sends a head that expects `100 Continue` before its body of four bytes; returns the
/// first answer.
async fn expect_continue(path: &str, addr: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-1\r\n\
         content-length: 4\r\nexpect: 100-continue\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let answer = read_available(&mut stream).await;
    (stream, answer)
}

async fn read_available(stream: &mut TcpStream) -> String {
    let mut buf = [0; 1024];
    let len = stream.read(&mut buf).await.expect("an answer");
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

/// Guards against callers that expect `100 Continue` and never receive it.
#[tokio::test]
async fn a_caller_that_expects_continue_gets_it() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let (mut stream, interim) = expect_continue("/adjuster/approve", ingress).await;
    assert!(interim.starts_with("HTTP/1.1 100 "), "{interim}");
    stream.write_all(b"glas").await.expect("the body is sent");
    let answer = read_available(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("x-received-bytes: 4"), "{answer}");
}

/// Guards against a body that is sent although the request is refused.
#[tokio::test]
async fn a_refused_caller_gets_no_continue() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let (_, answer) = expect_continue("/nowhere", fleet.members[0].addrs.ingress).await;
    assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against uploads that occupy slots before their bodies have been received.
#[tokio::test]
async fn slow_uploads_occupy_no_slot() {
    let fleet = Fleet::start(&[DESK, ADJUSTER]).await;
    let ingress = fleet.members[0].addrs.ingress;
    let mut slow = Vec::new();
    for n in 0..SLOTS {
        slow.push(begin_upload(ingress, &format!("slow-{n}"), 200_000, 90_000).await);
    }
    let in_flight = || fleet.members[0].shared.in_flight().count();
    wait::until("uploads in flight", || in_flight() == u64::from(SLOTS)).await;
    let res = client::call(ingress, client::get("/adjuster/approve", "r-1")).await;
    assert_eq!(res.expect("an answer").status(), StatusCode::OK);
    for (n, mut stream) in slow.into_iter().enumerate() {
        let rest = vec![b'x'; 110_000];
        stream
            .write_all(&rest)
            .await
            .expect("the rest of the body is sent");
        let answer = read_available(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{n}: {answer}");
    }
}

/// Guards against an upload that fails because a part of it was sent to a draining node.
#[tokio::test]
async fn a_refused_long_upload_is_retried_whole_on_another_target() {
    let near = Spec {
        domain: DESK.domain,
        ..ADJUSTER
    };
    let far = Spec {
        id: "ad-2",
        ..ADJUSTER
    };
    let fleet = Fleet::start(&[DESK, near, far]).await;
    fleet.members[1].shared.advance_phase(Phase::Draining);
    let mut req = client::get("/adjuster/approve", "r-1");
    *req.method_mut() = http::Method::POST;
    *req.body_mut() = client::Body::new(Bytes::from(vec![b'x'; 3_000_000]));
    let res = client::call(fleet.members[0].addrs.ingress, req).await;
    let res = res.expect("an answer");
    assert_eq!(res.status(), StatusCode::OK);
    assert_eq!(client::header(&res, "x-received-bytes"), "3000000");
    assert_eq!(fleet.members[2].runs_of("r-1").len(), 1);
}
