use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::SendError;
use super::connection::PeerConnection;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::bounds::MIN_REPLACED_AGE;
use crate::traffic::bounds::SILENCE_TIMEOUT;
use crate::traffic::bounds::UNACKNOWLEDGED_TIMEOUT;
use crate::traffic::payload::Payload;

/// Guards against concurrent requests that connect to an unreachable peer one after the
/// other, so that the last waits for all timeouts.
#[tokio::test]
async fn concurrent_requests_share_one_connect_timeout() {
    let silent = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    let any = "127.0.0.1:0"
        .parse::<std::net::SocketAddr>()
        .expect("parse the address");
    silent.bind(&any.into()).expect("bind the socket");
    silent.listen(0).expect("listen");
    let addr = silent
        .local_addr()
        .expect("read the address")
        .as_socket()
        .expect("an IP address");
    // Nothing accepts: once the backlog is full, the kernel drops further connections.
    let mut backlog = Vec::new();
    while let Ok(Ok(io)) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await
    {
        backlog.push(io);
    }
    let connection = PeerConnection::new(addr);
    let started_at = Instant::now();
    let sends = (0..12).map(|_| connection.send(Request::new(Payload::empty())));
    let sent = futures::future::join_all(sends).await;
    let not_sent = |it: &Result<_, SendError>| matches!(it, Err(SendError::NotSent(..)));
    assert!(sent.iter().all(not_sent));
    assert!(
        started_at.elapsed() < 3 * CONNECT_TIMEOUT,
        "{:?}",
        started_at.elapsed()
    );
}

/// Starts a peer whose only thread blocks for `stall` while it serves a request.
fn start_stalling_peer(stall: Duration) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("read the address");
    listener.set_nonblocking(true).expect("set non-blocking");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("build a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("register the listener");
            let (io, _) = listener.accept().await.expect("accept a connection");
            let service = service_fn(|_: Request<Incoming>| async move {
                std::thread::sleep(stall);
                Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
            });
            let server = http2::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(io), service).await;
        });
    });
    addr
}

/// Guards against requests that are lost because a peer short of processor time answers a
/// probe late.
#[rstest]
#[case::half_a_second(500)]
#[case::a_second(1_000)]
#[case::nearly_two_seconds(1_900)]
#[tokio::test]
async fn gets_the_answer_of_a_stalled_peer(#[case] stall_ms: u64) {
    let peer = start_stalling_peer(Duration::from_millis(stall_ms));
    let connection = PeerConnection::new(peer);
    let sent = connection.send(Request::new(Payload::empty())).await;
    assert!(sent.is_ok(), "{sent:?}");
}

/// Guards against requests that are lost because this node, short of processor time, reads
/// the answer to its probe late.
#[tokio::test]
async fn gets_the_answer_after_its_own_stall() {
    let connection = PeerConnection::new(start_stalling_peer(Duration::from_millis(400)));
    let mut sent = std::pin::pin!(connection.send(Request::new(Payload::empty())));
    let early = tokio::time::timeout(Duration::from_millis(350), sent.as_mut()).await;
    assert!(early.is_err(), "answered before the stall");
    std::thread::sleep(Duration::from_secs(3));
    let sent = sent.await;
    assert!(sent.is_ok(), "{sent:?}");
}

/// Starts a relay to `peer`, whose connections stop carrying bytes when the returned flag is
/// set. Connections that are opened later work.
fn start_relay(peer: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("read the address");
    listener.set_nonblocking(true).expect("set non-blocking");
    let listener = TcpListener::from_std(listener).expect("register the listener");
    let silence = Arc::new(AtomicBool::new(false));
    let silenced = Arc::clone(&silence);
    tokio::spawn(async move {
        while let Ok((mut node, _)) = listener.accept().await {
            let silenced = Arc::clone(&silenced);
            let works_for_good = silenced.load(Ordering::Relaxed);
            tokio::spawn(async move {
                let mut conn = TcpStream::connect(peer).await.expect("connect to the peer");
                let until_silence = async {
                    while works_for_good || !silenced.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut node, &mut conn) => {}
                    () = until_silence => std::future::pending().await,
                }
            });
        }
    });
    (addr, silence)
}

/// Starts a peer that answers each request at once.
async fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let addr = listener.local_addr().expect("read the address");
    tokio::spawn(async move {
        while let Ok((io, _)) = listener.accept().await {
            let service = service_fn(|_: Request<Incoming>| async {
                Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
            });
            let server = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(server.serve_connection(TokioIo::new(io), service));
        }
    });
    addr
}

/// Guards against requests that are sent on a connection that fell silent until it is given
/// up, while a new one would work.
#[tokio::test]
async fn requests_avoid_a_silent_connection() {
    let (relay, silence) = start_relay(start_peer().await);
    let connection = PeerConnection::new(relay);
    let send = || connection.send(Request::new(Payload::empty()));
    let first = send().await;
    assert!(first.is_ok(), "{first:?}");
    tokio::time::sleep(MIN_REPLACED_AGE).await;
    silence.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let silent_at = Instant::now();
    let mut lost = std::pin::pin!(send());
    loop {
        // The request that finds the connection silent stays on it.
        let early = tokio::time::timeout(Duration::from_millis(20), lost.as_mut()).await;
        assert!(early.is_err(), "{early:?}");
        let next = tokio::time::timeout(Duration::from_millis(50), send()).await;
        if let Ok(Ok(_)) = next {
            break;
        }
        assert!(silent_at.elapsed() < UNACKNOWLEDGED_TIMEOUT, "{next:?}");
    }
}

/// Guards against connections that are replaced although their peer answers, if only slowly
/// or rarely.
#[tokio::test]
async fn a_connection_that_works_is_kept() {
    let (relay, silence) = start_relay(start_peer().await);
    let connection = PeerConnection::new(relay);
    for _ in 0..4 {
        let sent = connection.send(Request::new(Payload::empty())).await;
        assert!(sent.is_ok(), "{sent:?}");
        tokio::time::sleep(SILENCE_TIMEOUT / 2).await;
    }
    tokio::time::sleep(MIN_REPLACED_AGE).await;
    // A request on the first connection isn't answered any more.
    silence.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let sent = connection.send(Request::new(Payload::empty()));
    let early = tokio::time::timeout(SILENCE_TIMEOUT / 2, sent).await;
    assert!(early.is_err(), "another connection was opened: {early:?}");
}

/// Guards against connection after connection to a peer that is short of processor time.
#[tokio::test]
async fn a_stalled_peer_gets_one_connection_more() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let addr = listener.local_addr().expect("read the address");
    let connection = PeerConnection::new(addr);
    let calling = async {
        let end = Instant::now() + MIN_REPLACED_AGE + MIN_REPLACED_AGE / 2;
        while Instant::now() < end {
            let sent = connection.send(Request::new(Payload::empty()));
            // The peer reads nothing, so that no request is answered.
            let _ = tokio::time::timeout(Duration::from_millis(50), sent).await;
        }
    };
    let mut accepted = Vec::new();
    let accepting = async {
        while let Ok(connection) = listener.accept().await {
            accepted.push(connection);
        }
    };
    tokio::select! {
        () = calling => {}
        () = accepting => {}
    }
    assert_eq!(accepted.len(), 2);
}
