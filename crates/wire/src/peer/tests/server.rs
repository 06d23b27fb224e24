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

use super::support::Served;
use super::support::me;
use super::support::pull;
use super::support::until;
use crate::SocketBytes;
use crate::peer::Packed;
use crate::peer::PeerClient;
use crate::peer::PeerLimits;
use crate::peer::PeerPool;
use crate::peer::transport::MAX_FRAME_BYTES;
use crate::peer::transport::framed;

const LIMIT: Duration = Duration::from_secs(5);

/// Whether the server still answers a well-behaved node.
async fn answers(served: &Served) -> bool {
    let bytes = Arc::new(SocketBytes::default());
    let pool = PeerPool::new(PeerLimits::default(), bytes, 1);
    let answer = pool.exchange(served.addr, &me(), &pull(), LIMIT).await;
    answer.is_ok()
}

async fn client(served: &Served) -> PeerClient {
    let io = TcpStream::connect(served.addr).await.expect("connected");
    let transport = framed(io, Arc::default()).expect("a transport");
    PeerClient::new(Config::default(), transport).spawn()
}

fn frame_of(len: usize) -> Vec<u8> {
    u32::try_from(len).expect("a length").to_be_bytes().to_vec()
}

/// Bytes that a faulty or hostile peer writes to a fresh connection.
#[rstest]
#[case::other_protocol(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec())]
#[case::frame_over_the_limit(frame_of(MAX_FRAME_BYTES + 1))]
#[case::garbage_in_a_frame([frame_of(8), vec![255; 8]].concat())]
#[case::empty_frame(frame_of(0))]
#[tokio::test]
async fn hostile_bytes_end_their_connection_alone(#[case] bytes: Vec<u8>) {
    let served = Served::start(PeerLimits::default()).await;
    let mut io = TcpStream::connect(served.addr).await.expect("connected");
    io.write_all(&bytes).await.expect("written");
    let mut rest = Vec::new();
    // Closed by the server: with or without a reset.
    let _ = tokio::time::timeout(LIMIT, io.read_to_end(&mut rest))
        .await
        .expect("the connection is closed");
    assert!(rest.is_empty());
    until(|| !served.seen.faults().is_empty()).await;
    let faults = served.seen.faults();
    assert!(
        faults[0].starts_with("exchange with 127.0.0.1:"),
        "{faults:?}"
    );
    assert_eq!(served.seen.messages(), 0);
    assert!(answers(&served).await);
}

// A peer breaks off in the middle of a frame, as when its process is killed.
#[tokio::test]
async fn half_a_frame_changes_nothing() {
    let served = Served::start(PeerLimits::default()).await;
    let mut io = TcpStream::connect(served.addr).await.expect("connected");
    let half = [frame_of(1_000), vec![0; 500]].concat();
    io.write_all(&half).await.expect("written");
    drop(io);
    assert!(answers(&served).await);
    assert_eq!(served.seen.messages(), 1);
}

#[tokio::test]
async fn message_that_does_not_decode_is_answered_so() {
    let served = Served::start(PeerLimits::default()).await;
    let client = client(&served).await;
    let garbage = Packed::Plain(Bytes::from_static(&[200, 1]));
    let answer = client.exchange(context::current(), me(), garbage).await;
    let reply: PeerReply = answer.expect("an answer").unpack().expect("a reply");
    assert_eq!(reply, PeerReply::Refused);
    let faults = served.seen.faults();
    assert!(
        faults[0].starts_with("codec with wd-1 (127.0.0.1:"),
        "{faults:?}"
    );
    let packed = Packed::pack(&pull()).expect("packed");
    let next = client.exchange(context::current(), me(), packed).await;
    let reply: PeerReply = next.expect("an answer").unpack().expect("a reply");
    assert!(matches!(reply, PeerReply::Heads(_)));
}

/// The service as a sender sees it that puts any text for its name.
#[tarpc::service]
trait Forged {
    /// The same as `Peer::exchange`, but for the type of the name.
    async fn exchange(from: String, message: Packed) -> Packed;
}

#[rstest]
#[case::empty("")]
#[case::capitals("WD-1")]
#[case::too_long(&"w".repeat(65))]
#[tokio::test]
async fn sender_without_a_name_is_refused(#[case] name: &str) {
    let served = Served::start(PeerLimits::default()).await;
    let io = TcpStream::connect(served.addr).await.expect("connected");
    let transport = framed(io, Arc::default()).expect("a transport");
    let client = ForgedClient::new(Config::default(), transport).spawn();
    let message = Packed::pack(&pull()).expect("packed");
    let answer = client.exchange(context::current(), name.to_owned(), message);
    assert!(answer.await.is_err());
    let faults = served.seen.faults();
    assert!(faults[0].contains("instance id"), "{faults:?}");
    assert_eq!(served.seen.messages(), 0);
    assert!(answers(&served).await);
}

// A peer claims a deadline that no clock can hold. Adding it to the present
// time panics in the task of that connection and nowhere else.
#[tokio::test]
async fn deadline_beyond_all_clocks_ends_its_connection_alone() {
    let served = Served::start(PeerLimits::default()).await;
    let client = client(&served).await;
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_secs(100 * 365 * 86_400);
    let message = Packed::pack(&pull()).expect("packed");
    let _ = tokio::time::timeout(LIMIT, client.exchange(cx, me(), message)).await;
    assert!(answers(&served).await);
}

// A fleet restarts and connects all at once. More connections than allowed
// are closed at once; those that were taken go on.
#[tokio::test]
async fn connections_are_bounded() {
    let limits = PeerLimits {
        inbound: 2,
        ..PeerLimits::default()
    };
    let served = Served::start(limits).await;
    let first = client(&served).await;
    let second = client(&served).await;
    for client in [&first, &second] {
        let packed = Packed::pack(&pull()).expect("packed");
        let answer = client.exchange(context::current(), me(), packed).await;
        answer.expect("an answer");
    }
    assert!(!answers(&served).await);
    let faults = served.seen.faults();
    assert!(
        faults[0].contains("more connections than allowed"),
        "{faults:?}"
    );
    let packed = Packed::pack(&pull()).expect("packed");
    let answer = first.exchange(context::current(), me(), packed).await;
    let reply: Result<PeerReply, _> = answer.expect("an answer").unpack();
    assert!(reply.is_ok());
    drop(first);
    drop(second);
    until(|| served.seen.messages() >= 3).await;
}

// A peer opens a connection and says nothing, as one does that was stopped.
// Its place is given to others after a while.
#[tokio::test]
async fn silent_connection_is_closed() {
    let limits = PeerLimits {
        idle: Duration::from_millis(20),
        ..PeerLimits::default()
    };
    let served = Served::start(limits).await;
    let mut io = TcpStream::connect(served.addr).await.expect("connected");
    let mut buf = [0; 1];
    let read = tokio::time::timeout(LIMIT, io.read(&mut buf)).await;
    assert_eq!(read.expect("closed in time").expect("closed"), 0);
}
