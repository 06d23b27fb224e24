use std::time::Duration;
use std::time::Instant;

use http::Request;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpStream;

use super::LinkFailure;
use super::link::Link;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::payload::Payload;

// A machine loses power, and many requests want to go to the node there. Each
// tried to connect after the one before had given up, so that the last waited
// for all: a report for 1.2 s of the 1.0 s that its caller had. Those that have
// waited for a connection in vain are all told at once.
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
