use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Link;

/// Longer than bytes take on loopback, and than a test waits for none to come.
const A_WHILE: Duration = Duration::from_millis(200);

/// What is read within a while from a connection on which `ping` was sent.
#[derive(Debug, PartialEq)]
enum Heard {
    Echo,
    End,
    Nothing,
}

/// A link to something that sends back what it gets.
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

async fn ping(stream: &mut TcpStream) -> Heard {
    let _ = stream.write_all(b"ping").await;
    let mut buf = [0; 4];
    match tokio::time::timeout(A_WHILE, stream.read_exact(&mut buf)).await {
        Ok(Ok(_)) => Heard::Echo,
        Ok(Err(_)) => Heard::End,
        Err(_) => Heard::Nothing,
    }
}

/// What a fault does to a connection that is open and to one opened after it.
#[derive(Debug)]
struct Case {
    hurt: fn(&Link),
    open: Heard,
    new: Heard,
}

// A fault that does something else than its name says proves nothing of a system
// that bears it.
#[rstest]
#[case::none(Case { hurt: |_| {}, open: Heard::Echo, new: Heard::Echo })]
#[case::delay(Case { hurt: |it| it.delay(A_WHILE), open: Heard::Nothing, new: Heard::Nothing })]
#[case::cut(Case { hurt: |it| it.hold(true, true), open: Heard::Nothing, new: Heard::Nothing })]
#[case::cut_forth(Case { hurt: |it| it.hold(true, false), open: Heard::Nothing, new: Heard::Nothing })]
#[case::cut_back(Case { hurt: |it| it.hold(false, true), open: Heard::Nothing, new: Heard::Nothing })]
#[case::reset(Case { hurt: Link::reset, open: Heard::End, new: Heard::Echo })]
#[case::silence(Case { hurt: Link::silence, open: Heard::Nothing, new: Heard::Echo })]
#[tokio::test]
async fn a_fault_does_what_its_name_says(#[case] case: Case) {
    let link = echo_link().await;
    let mut open = TcpStream::connect(link.addr()).await.expect("a connection");
    assert_eq!(ping(&mut open).await, Heard::Echo);
    (case.hurt)(&link);
    assert_eq!(ping(&mut open).await, case.open);
    let mut new = TcpStream::connect(link.addr()).await.expect("a connection");
    assert_eq!(ping(&mut new).await, case.new);
}

// A partition heals: what was sent in it arrives, late and whole.
#[tokio::test]
async fn held_bytes_arrive_late() {
    let link = echo_link().await;
    let mut stream = TcpStream::connect(link.addr()).await.expect("a connection");
    link.hold(false, true);
    assert_eq!(ping(&mut stream).await, Heard::Nothing);
    link.hold(false, false);
    let mut buf = [0; 4];
    stream.read_exact(&mut buf).await.expect("an echo");
    assert_eq!(&buf, b"ping");
}
