//! The admin port: switches, the ledger and figures. It stays up when the
//! target has crashed.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use http::StatusCode;

use super::control::Control;
use super::counters::TargetStats;
use super::ledger::LedgerPages;
use super::switches::TargetSwitches;

/// The routes of the admin port.
pub(super) fn router(control: Arc<Control>) -> Router {
    Router::new()
        .route("/ledger", get(get_ledger))
        .route("/stats", get(get_stats))
        .route("/switches", post(post_switches))
        .route("/crash", post(post_crash))
        .route("/restart", post(post_restart))
        .with_state(control)
}

async fn get_ledger(State(control): State<Arc<Control>>) -> Json<LedgerPages> {
    Json(control.shared().ledger.copy())
}

async fn get_stats(State(control): State<Arc<Control>>) -> Json<TargetStats> {
    Json(control.shared().stats())
}

async fn post_switches(
    State(control): State<Arc<Control>>,
    Json(switches): Json<TargetSwitches>,
) -> Json<TargetSwitches> {
    control.switch(&switches).await;
    Json(switches)
}

async fn post_crash(State(control): State<Arc<Control>>) -> StatusCode {
    control.crash().await;
    StatusCode::NO_CONTENT
}

async fn post_restart(State(control): State<Arc<Control>>) -> Response {
    match control.restart().await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, err.to_string()).into_response(),
    }
}
