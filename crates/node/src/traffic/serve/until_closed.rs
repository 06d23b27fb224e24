//! How connections end.

use std::pin::pin;
use std::sync::Arc;

use hyper_util::server::graceful::GracefulConnection;

use crate::traffic::hub::Hub;

/// Serves a connection until its other side ends it, or gracefully once the
/// node closes: what is in flight goes on until it is done or cut.
pub(super) async fn until_closed<C: GracefulConnection>(hub: Arc<Hub>, conn: C) {
    let mut conn = pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => Some(ended),
        () = hub.closing.cancelled() => None,
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
