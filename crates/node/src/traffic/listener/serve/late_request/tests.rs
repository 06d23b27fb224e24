use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

use super::DISCARD_TIMEOUT;
use super::MAX_KEPT_BYTES;
use super::close_with;

/// Capacity of the connection in each direction, in bytes: less than a late upload.
const CONNECTION_BYTES: usize = 1024;

const ANSWER: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\r\n";

/// A caller that sends on a connection after its close.
#[derive(Debug)]
struct LateCaller {
    /// When it sends, from the close on.
    sends_after: Duration,
    sent_bytes: usize,
    closes_after_send: bool,
    /// How long the node keeps the connection.
    kept_open: Duration,
    kept_bytes: usize,
}

/// Guards against a connection that is reset under a late request, or that delays the stop of
/// the node for as long as its caller keeps it open.
#[rstest]
#[case::closes_at_once(LateCaller {
    sends_after: Duration::ZERO,
    sent_bytes: 0,
    closes_after_send: true,
    kept_open: Duration::ZERO,
    kept_bytes: 0,
})]
#[case::sends_late(LateCaller {
    sends_after: Duration::from_millis(200),
    sent_bytes: 100,
    closes_after_send: true,
    kept_open: Duration::from_millis(200),
    kept_bytes: 100,
})]
#[case::sends_an_upload(LateCaller {
    sends_after: Duration::from_millis(100),
    sent_bytes: 60_000,
    closes_after_send: true,
    kept_open: Duration::from_millis(100),
    kept_bytes: MAX_KEPT_BYTES,
})]
#[case::stays_open(LateCaller {
    sends_after: Duration::from_millis(200),
    sent_bytes: 100,
    closes_after_send: false,
    kept_open: DISCARD_TIMEOUT,
    kept_bytes: 100,
})]
#[tokio::test(start_paused = true)]
async fn late_requests_are_discarded_for_a_bounded_time(#[case] case: LateCaller) {
    let (node, mut caller) = tokio::io::duplex(CONNECTION_BYTES);
    let calling = async {
        tokio::time::sleep(case.sends_after).await;
        let sent = caller.write_all(&vec![b'x'; case.sent_bytes]).await;
        sent.expect("the node reads it");
        if case.closes_after_send {
            caller.shutdown().await.expect("an open connection");
        }
        let mut text = Vec::new();
        caller.read_to_end(&mut text).await.expect("a graceful end");
        text
    };
    let start = Instant::now();
    let closing = async {
        let kept = close_with(node, ANSWER).await;
        (kept.expect("an open connection"), start.elapsed())
    };
    let (text, (kept, kept_open)) = tokio::join!(calling, closing);
    assert_eq!(text, ANSWER, "{case:?}");
    assert_eq!(kept.len(), case.kept_bytes, "{case:?}");
    assert_eq!(kept_open, case.kept_open, "{case:?}");
}
