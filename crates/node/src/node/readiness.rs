//! Serves the node's readiness over HTTP.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::Shared;

/// Serves the readiness path until `cancel` is cancelled: 200 while the node
/// accepts callers, and 503 before and after.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, cancel: CancellationToken) {
    let path = shared.dialect().ready_path;
    let router = Router::new().route(path, get(ready)).with_state(shared);
    let serving = axum::serve(listener, router).into_future();
    cancel.run_until_cancelled(serving).await;
}

async fn ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    match shared.accepts_callers() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
