use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http::Response;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::LinkFailure;
use super::link::Link;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::payload::Payload;

/// Guards against requests that try one after the other to connect to a lost peer.
#[tokio::test]
async fn a_herd_waits_once_for_a_peer_that_does_not_answer() {
    let silent = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = "127.0.0.1:0"
        .parse::<std::net::SocketAddr>()
        .expect("an address");
    silent.bind(&any.into()).expect("bound");
    silent.listen(0).expect("listening");
    let addr = silent
        .local_addr()
        .expect("bound")
        .as_socket()
        .expect("an address");
    // Nobody accepts: once its queue is full, the system drops what comes.
    let mut queued = Vec::new();
    while let Ok(Ok(io)) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await
    {
        queued.push(io);
    }
    let link = Link::new(addr);
    let begun = Instant::now();
    let sends = (0..12).map(|_| link.send(Request::new(Payload::empty())));
    let sent = futures::future::join_all(sends).await;
    let not_sent = |it: &Result<_, LinkFailure>| matches!(it, Err(LinkFailure::NotSent(..)));
    assert!(sent.iter().all(not_sent));
    assert!(
        begun.elapsed() < 3 * CONNECT_TIMEOUT,
        "{:?}",
        begun.elapsed()
    );
}

/// A node whose only thread stands still for `stall` while it runs a request.
fn stalling_peer(stall: Duration) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("its address");
    listener.set_nonblocking(true).expect("an option");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let (io, _) = listener.accept().await.expect("a connection");
            let run = service_fn(|_: Request<Incoming>| async move {
                std::thread::sleep(stall);
                Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
            });
            let server = http2::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(io), run).await;
        });
    });
    addr
}

/// Guards against requests that are lost because a node short of processor answers late.
#[rstest]
#[case::half_a_second(500)]
#[case::a_second(1_000)]
#[case::nearly_two_seconds(1_900)]
#[tokio::test]
async fn a_request_at_a_peer_that_stalls_is_answered(#[case] stall_ms: u64) {
    let link = Link::new(stalling_peer(Duration::from_millis(stall_ms)));
    let sent = link.send(Request::new(Payload::empty())).await;
    assert!(sent.is_ok(), "{sent:?}");
}

/// Guards against requests that are lost because this node itself, short of processor, reads
// an answer to its probe late.
#[tokio::test]
async fn a_request_on_a_node_that_stalls_is_answered() {
    let link = Link::new(stalling_peer(Duration::from_millis(400)));
    let mut sent = std::pin::pin!(link.send(Request::new(Payload::empty())));
    let begun = tokio::time::timeout(Duration::from_millis(350), sent.as_mut()).await;
    assert!(begun.is_err(), "answered before the stall");
    std::thread::sleep(Duration::from_secs(3));
    let sent = sent.await;
    assert!(sent.is_ok(), "{sent:?}");
}
