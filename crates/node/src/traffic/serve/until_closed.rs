//! How connections end.

use std::pin::pin;
use std::sync::Arc;

use hyper_util::server::graceful::GracefulConnection;
use tokio::time::Instant;

use crate::traffic::bounds::LINGER;
use crate::traffic::hub::Hub;

/// Serves a connection until its other side ends it, or gracefully once the
/// node closes: what is in flight goes on until it is done or cut.
///
/// A connection that came last of all still has the time to bring its first
/// request, which is then refused. Closed unread, it would look like an accident
/// after which the caller knows nothing.
pub(super) async fn until_closed<C: GracefulConnection>(hub: Arc<Hub>, conn: C) {
    let mut conn = pin!(conn);
    let may_close = Instant::now() + LINGER;
    let closing = async {
        hub.closing.cancelled().await;
        tokio::time::sleep_until(may_close).await;
    };
    let ended = tokio::select! {
        ended = conn.as_mut() => Some(ended),
        () = closing => None,
    };
    if ended.is_none() {
        conn.as_mut().graceful_shutdown();
        tokio::select! {
            // How it ended is known to the requests on it.
            _ = conn => {}
            () = hub.cut.cancelled() => {}
        }
    }
}
