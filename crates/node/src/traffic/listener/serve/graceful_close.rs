//! Graceful close of served connections.

use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use hyper_util::server::graceful::GracefulConnection;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::traffic::bounds::CLOSE_DELAY;

#[cfg(test)]
mod tests;

/// The shortest sleep after which the runtime has polled the system for arrived data.
const IO_POLL_DELAY: Duration = Duration::from_millis(1);

/// Serves a connection until the client ends it, or closes it gracefully after `closing`:
/// requests in flight continue until they end or `abort` is cancelled.
///
/// A connection that was accepted last still has time to deliver its first request, which
/// is then refused. If it were closed unread, the caller couldn't infer whether the request
/// ran.
pub(super) async fn serve_until_closed<C: GracefulConnection>(
    closing: &CancellationToken,
    abort: &CancellationToken,
    conn: C,
) {
    let mut conn = pin!(conn);
    let may_close = Instant::now() + CLOSE_DELAY;
    let closed = async {
        closing.cancelled().await;
        tokio::time::sleep_until(may_close).await;
    };
    if serve_during(&mut conn, closed).await || serve_during(&mut conn, io_polled()).await {
        return;
    }
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        // The requests on it report how it ended.
        _ = conn => {}
        () = abort.cancelled() => {}
    }
}

/// Waits until the runtime has detected the data that have arrived.
///
/// On a busy machine a thread may be scheduled late, when the close is due and a request
/// has arrived. Closing first would leave the request unread, however long ago it was sent.
async fn io_polled() {
    tokio::time::sleep(IO_POLL_DELAY).await;
}

/// Serves until `meanwhile` completes, and polls the connection first. Returns whether the
/// connection ended.
async fn serve_during<C: GracefulConnection>(
    conn: &mut Pin<&mut C>,
    meanwhile: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        biased;
        _ = conn.as_mut() => true,
        () = meanwhile => false,
    }
}
