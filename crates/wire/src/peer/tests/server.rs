use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rstest::rstest;
use sassafrasspool_core::PeerReply;
use tarpc::client::Config;
use tarpc::context;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::support::TestServer;
use super::support::own_id;
use super::support::pull;
use super::support::wait_until;
use crate::SocketBytes;
use crate::peer::Packed;
use crate::peer::PeerClient;
use crate::peer::PeerLimits;
use crate::peer::PeerPool;
use crate::peer::transport::MAX_FRAME_BYTES;
use crate::peer::transport::framed;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the server still answers a correct node.
async fn answers(server: &TestServer) -> bool {
    let bytes = Arc::new(SocketBytes::default());
    let pool = PeerPool::new(PeerLimits::default(), bytes, 1);
    let answer = pool
        .exchange(server.addr, &own_id(), &pull(), TIMEOUT)
        .await;
    answer.is_ok()
}

async fn connect(server: &TestServer) -> PeerClient {
    let io = TcpStream::connect(server.addr).await.expect("connected");
    let transport = framed(io, Arc::default()).expect("a transport");
    PeerClient::new(Config::default(), transport).spawn()
}

fn frame_header(len: usize) -> Vec<u8> {
    u32::try_from(len).expect("a length").to_be_bytes().to_vec()
}

/// Bytes that a faulty or hostile peer writes to a new connection.
#[rstest]
#[case::other_protocol(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec())]
#[case::frame_over_the_limit(frame_header(MAX_FRAME_BYTES + 1))]
#[case::garbage_in_a_frame([frame_header(8), vec![255; 8]].concat())]
#[case::empty_frame(frame_header(0))]
#[tokio::test]
async fn hostile_bytes_close_only_their_connection(#[case] bytes: Vec<u8>) {
    let server = TestServer::start(PeerLimits::default()).await;
    let mut io = TcpStream::connect(server.addr).await.expect("connected");
    io.write_all(&bytes).await.expect("written");
    let mut rest = Vec::new();
    // The server closes the connection, with or without a reset.
    let _ = tokio::time::timeout(TIMEOUT, io.read_to_end(&mut rest))
        .await
        .expect("the connection is closed");
    assert!(rest.is_empty());
    wait_until(|| !server.received.faults().is_empty()).await;
    let faults = server.received.faults();
    assert!(
        faults[0].starts_with("exchange with 127.0.0.1:"),
        "{faults:?}"
    );
    assert_eq!(server.received.messages(), 0);
    assert!(answers(&server).await);
}

// A peer's connection ends in the middle of a frame, for instance because its process is
// killed.
#[tokio::test]
async fn incomplete_frame_has_no_effect() {
    let server = TestServer::start(PeerLimits::default()).await;
    let mut io = TcpStream::connect(server.addr).await.expect("connected");
    let half = [frame_header(1_000), vec![0; 500]].concat();
    io.write_all(&half).await.expect("written");
    drop(io);
    assert!(answers(&server).await);
    assert_eq!(server.received.messages(), 1);
}

#[tokio::test]
async fn undecodable_message_is_answered_by_a_refusal() {
    let server = TestServer::start(PeerLimits::default()).await;
    let client = connect(&server).await;
    let garbage = Packed::Plain(Bytes::from_static(&[200, 1]));
    let answer = client.exchange(context::current(), own_id(), garbage).await;
    let reply: PeerReply = answer.expect("an answer").unpack().expect("a reply");
    assert_eq!(reply, PeerReply::Refused);
    let faults = server.received.faults();
    assert!(
        faults[0].starts_with("codec with wd-1 (127.0.0.1:"),
        "{faults:?}"
    );
    let packed = Packed::pack(&pull()).expect("packed");
    let next = client.exchange(context::current(), own_id(), packed).await;
    let reply: PeerReply = next.expect("an answer").unpack().expect("a reply");
    assert!(matches!(reply, PeerReply::Heads(_)));
}

/// A client's view of the service with unchecked sender names.
#[tarpc::service]
trait Forged {
    /// Like `Peer::exchange`, except for the type of the sender's name.
    async fn exchange(from: String, message: Packed) -> Packed;
}

#[rstest]
#[case::empty("")]
#[case::capitals("WD-1")]
#[case::too_long(&"w".repeat(65))]
#[tokio::test]
async fn sender_with_an_invalid_name_is_refused(#[case] name: &str) {
    let server = TestServer::start(PeerLimits::default()).await;
    let io = TcpStream::connect(server.addr).await.expect("connected");
    let transport = framed(io, Arc::default()).expect("a transport");
    let client = ForgedClient::new(Config::default(), transport).spawn();
    let message = Packed::pack(&pull()).expect("packed");
    let answer = client.exchange(context::current(), name.to_owned(), message);
    assert!(answer.await.is_err());
    let faults = server.received.faults();
    assert!(faults[0].contains("instance id"), "{faults:?}");
    assert_eq!(server.received.messages(), 0);
    assert!(answers(&server).await);
}

// A peer sends a deadline that `Instant` can't represent. The addition to the current
// time panics in the task of that connection and must not affect others.
#[tokio::test]
async fn unrepresentable_deadline_ends_only_its_connection() {
    let server = TestServer::start(PeerLimits::default()).await;
    let client = connect(&server).await;
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_secs(100 * 365 * 86_400);
    let message = Packed::pack(&pull()).expect("packed");
    let _ = tokio::time::timeout(TIMEOUT, client.exchange(cx, own_id(), message)).await;
    assert!(answers(&server).await);
}

// All nodes of a restarting fleet connect at once. Connections over the limit are closed
// immediately; the accepted ones stay open.
#[tokio::test]
async fn connections_are_bounded() {
    let limits = PeerLimits {
        max_inbound: 2,
        ..PeerLimits::default()
    };
    let server = TestServer::start(limits).await;
    let first = connect(&server).await;
    let second = connect(&server).await;
    for client in [&first, &second] {
        let packed = Packed::pack(&pull()).expect("packed");
        let answer = client.exchange(context::current(), own_id(), packed).await;
        answer.expect("an answer");
    }
    assert!(!answers(&server).await);
    let faults = server.received.faults();
    assert!(faults[0].contains("connection limit reached"), "{faults:?}");
    let packed = Packed::pack(&pull()).expect("packed");
    let answer = first.exchange(context::current(), own_id(), packed).await;
    let reply: Result<PeerReply, _> = answer.expect("an answer").unpack();
    assert!(reply.is_ok());
    drop(first);
    drop(second);
    wait_until(|| server.received.messages() >= 3).await;
}

// A peer opens a connection and sends nothing, for instance because its process was
// stopped. The connection must not occupy a place for ever.
#[tokio::test]
async fn idle_connection_is_closed() {
    let limits = PeerLimits {
        idle_timeout: Duration::from_millis(20),
        ..PeerLimits::default()
    };
    let server = TestServer::start(limits).await;
    let mut io = TcpStream::connect(server.addr).await.expect("connected");
    let mut buf = [0; 1];
    let read = tokio::time::timeout(TIMEOUT, io.read(&mut buf)).await;
    assert_eq!(read.expect("closed in time").expect("closed"), 0);
}
