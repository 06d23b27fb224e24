//! Refuses a request that arrives after the node has stopped reading its connection.
//!
//! A caller that hasn't detected the close of an idle connection sends its next request on
//! it. From the end of the connection alone, the caller couldn't infer that the request
//! wasn't run. The node therefore writes a refusal before it closes the connection, as
//! HTTP/1.1 allows with status 408. A caller with a request in flight takes it for the
//! answer, and any other caller discards it with the connection.

use std::io;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use super::pipelining::parse_head;
use crate::traffic::outbound::access_log;
use crate::traffic::outbound::caller_side;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::worker::Worker;

#[cfg(test)]
mod tests;

/// How long late requests are read and discarded. The kernel resets a connection that is
/// closed with unread data, and some callers then discard the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// The most bytes of late requests that are kept, so that the id of the first one is logged.
const MAX_KEPT_BYTES: usize = 8 * 1024;

/// Refuses the requests that arrive on an idle connection from now on, and closes it.
pub(super) async fn refuse(
    worker: &Worker,
    port: CallerPort,
    stream: impl AsyncRead + AsyncWrite + Unpin,
) {
    let refusal = Refusal::not_run(Step::Route, Reason::Draining);
    let failure = Failure::from(refusal);
    let res = caller_side::failure_response(&failure, worker.hub.shared.dialect());
    let answer = encode(&res);
    let closed = close_with(stream, &answer);
    let received = match worker.hub.abort.run_until_cancelled(closed).await {
        Some(Ok(received)) => received,
        Some(Err(err)) => return tracing::debug!(%err, "cannot refuse late requests"),
        None => return,
    };
    let Some(req) = parse_head(&received) else {
        return;
    };
    caller_side::count::<()>(worker, port, &Err(failure));
    let id = access_log::logged_request_id(worker, &req);
    access_log::log_unrouted(worker, id.as_ref(), None, refusal);
}

/// Writes an answer, closes the write side, and discards what is received until the other
/// side closes the connection or [`DISCARD_TIMEOUT`] has passed. Returns the first received
/// bytes.
///
/// # Errors
///
/// Fails if the connection is broken.
async fn close_with(
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
    answer: &[u8],
) -> io::Result<Vec<u8>> {
    stream.write_all(answer).await?;
    stream.shutdown().await?;
    let mut kept = Vec::new();
    let discarded = async {
        let mut buf = [0; 4 * 1024];
        loop {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(n) => {
                    let free = MAX_KEPT_BYTES - kept.len();
                    kept.extend_from_slice(&buf[..n.min(free)]);
                }
            }
        }
    };
    // A caller may keep its side open for longer than the node can wait.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarded).await;
    Ok(kept)
}

/// Encodes the head of a refusal as a message without a body.
fn encode<B>(res: &Response<B>) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {}\r\n", StatusCode::REQUEST_TIMEOUT).into_bytes();
    let fields = res.headers().iter();
    for (name, value) in fields.filter(|(name, _)| **name != header::CONTENT_TYPE) {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"connection: close\r\ncontent-length: 0\r\n\r\n");
    text
}
