//! How connections end.

use std::pin::Pin;
use std::pin::pin;
use std::time::Duration;

use hyper_util::server::graceful::GracefulConnection;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::traffic::bounds::LINGER;

#[cfg(test)]
mod tests;

/// The shortest time after which the system was asked what has arrived.
const NOTICE: Duration = Duration::from_millis(1);

/// Serves a connection until its other side ends it, or gracefully after
/// `closing`: what is in flight goes on until it is done or `cut`.
///
/// A connection that came last of all still has the time to bring its first
/// request, which is then refused. Closed unread, it would look like an accident
/// after which the caller knows nothing.
pub(super) async fn until_closed<C: GracefulConnection>(
    closing: &CancellationToken,
    cut: &CancellationToken,
    conn: C,
) {
    let mut conn = pin!(conn);
    let may_close = Instant::now() + LINGER;
    let closed = async {
        closing.cancelled().await;
        tokio::time::sleep_until(may_close).await;
    };
    if served_for(&mut conn, closed).await || served_for(&mut conn, noticed()).await {
        return;
    }
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        // How it ended is known to the requests on it.
        _ = conn => {}
        () = cut.cancelled() => {}
    }
}

/// Waits until whatever has arrived was noticed.
///
/// On a machine that is busy, a thread gets its turn late and finds both that it
/// is to close and that a request has come. To close first would leave the request
/// unread, however long before it was sent.
async fn noticed() {
    tokio::time::sleep(NOTICE).await;
}

/// Serves while `meanwhile` goes on, what has arrived first; returns whether the
/// connection ended.
async fn served_for<C: GracefulConnection>(
    conn: &mut Pin<&mut C>,
    meanwhile: impl Future<Output = ()>,
) -> bool {
    tokio::select! {
        biased;
        _ = conn.as_mut() => true,
        () = meanwhile => false,
    }
}
