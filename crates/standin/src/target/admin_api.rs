//! The admin port: switches, the ledger and statistics. It stays open while the
//! target is crashed.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use http::StatusCode;

use super::counters::TargetStats;
use super::ledger::LedgerEntries;
use super::supervisor::Supervisor;
use super::switches::TargetSwitches;

/// The routes of the admin port.
pub(super) fn router(supervisor: Arc<Supervisor>) -> Router {
    Router::new()
        .route("/ledger", get(get_ledger))
        .route("/stats", get(get_stats))
        .route("/switches", post(post_switches))
        .route("/crash", post(post_crash))
        .route("/restart", post(post_restart))
        .with_state(supervisor)
}

async fn get_ledger(State(supervisor): State<Arc<Supervisor>>) -> Json<LedgerEntries> {
    Json(supervisor.shared().ledger.copy())
}

async fn get_stats(State(supervisor): State<Arc<Supervisor>>) -> Json<TargetStats> {
    Json(supervisor.shared().stats())
}

async fn post_switches(
    State(supervisor): State<Arc<Supervisor>>,
    Json(switches): Json<TargetSwitches>,
) -> Json<TargetSwitches> {
    supervisor.apply_switches(&switches).await;
    Json(switches)
}

async fn post_crash(State(supervisor): State<Arc<Supervisor>>) -> StatusCode {
    supervisor.crash().await;
    StatusCode::NO_CONTENT
}

async fn post_restart(State(supervisor): State<Arc<Supervisor>>) -> Response {
    match supervisor.restart().await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, err.to_string()).into_response(),
    }
}
