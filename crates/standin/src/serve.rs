//! Binds listeners and serves routers until a token is cancelled.

use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Binds a listener; port 0 takes any free port.
pub(crate) async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|e| listen_error(addr, e))?;
    let bound = listener.local_addr().map_err(|e| listen_error(addr, e))?;
    Ok((listener, bound))
}

/// The error for a listener that could not be bound.
pub(crate) fn listen_error(addr: SocketAddr, cause: std::io::Error) -> Error {
    Error::new(Step::Connect, format!("cannot listen on {addr}")).with_cause(cause)
}

/// Serves `router` until `cancel` is cancelled, and then completes the requests
/// in flight.
pub(crate) async fn serve(listener: TcpListener, router: Router, cancel: CancellationToken) {
    // Nagle's algorithm would delay a small answer until the previous one is acknowledged.
    let listener = listener.tap_io(|io| {
        let _ = io.set_nodelay(true);
    });
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(cancel.cancelled_owned())
        .await;
    if let Err(err) = served {
        tracing::warn!(%err, "listener stopped");
    }
}
