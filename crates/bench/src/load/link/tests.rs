use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Link;

/// How long a test waits for a reply, which is longer than bytes take on loopback.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// What a connection gives within `REPLY_TIMEOUT` after `ping` was sent on it.
#[derive(Debug, PartialEq)]
enum Reply {
    Echo,
    Closed,
    Timeout,
}

/// A link to an echo server.
async fn echo_link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let to = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.into_split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = free.local_addr().expect("an address");
    drop(free);
    Link::start(addr, to).await.expect("a link")
}

async fn ping(stream: &mut TcpStream) -> Reply {
    let _ = stream.write_all(b"ping").await;
    let mut buf = [0; 4];
    match tokio::time::timeout(REPLY_TIMEOUT, stream.read_exact(&mut buf)).await {
        Ok(Ok(_)) => Reply::Echo,
        Ok(Err(_)) => Reply::Closed,
        Err(_) => Reply::Timeout,
    }
}

/// The expected effect of a fault on an open connection and on one opened later.
#[derive(Debug)]
struct Case {
    inject: fn(&Link),
    open: Reply,
    new: Reply,
}

// Guards against faults that aren't injected as named: tests that rely on them would
// then prove nothing.
#[rstest]
#[case::none(Case { inject: |_| {}, open: Reply::Echo, new: Reply::Echo })]
#[case::delay(Case { inject: |link| link.set_delay(REPLY_TIMEOUT), open: Reply::Timeout, new: Reply::Timeout })]
#[case::cut(Case { inject: |link| link.set_blocked(true, true), open: Reply::Timeout, new: Reply::Timeout })]
#[case::cut_forth(Case { inject: |link| link.set_blocked(true, false), open: Reply::Timeout, new: Reply::Timeout })]
#[case::cut_back(Case { inject: |link| link.set_blocked(false, true), open: Reply::Timeout, new: Reply::Timeout })]
#[case::reset(Case { inject: Link::reset_connections, open: Reply::Closed, new: Reply::Echo })]
#[case::silence(Case { inject: Link::blackhole_connections, open: Reply::Timeout, new: Reply::Echo })]
#[tokio::test]
async fn a_fault_affects_open_and_new_connections_as_named(#[case] case: Case) {
    let link = echo_link().await;
    let mut open = TcpStream::connect(link.addr()).await.expect("a connection");
    assert_eq!(ping(&mut open).await, Reply::Echo);
    (case.inject)(&link);
    assert_eq!(ping(&mut open).await, case.open);
    let mut new = TcpStream::connect(link.addr()).await.expect("a connection");
    assert_eq!(ping(&mut new).await, case.new);
}

// Guards against a link that loses the bytes which it holds back, instead of
// delivering them when the partition heals.
#[tokio::test]
async fn bytes_held_back_arrive_after_the_link_is_unblocked() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.addr()).await.expect("a connection");
    link.set_blocked(false, true);
    assert_eq!(ping(&mut stream).await, Reply::Timeout);
    link.set_blocked(false, false);
    let mut buf = [0; 4];
    stream.read_exact(&mut buf).await.expect("an echo");
    assert_eq!(&buf, b"ping");
}
