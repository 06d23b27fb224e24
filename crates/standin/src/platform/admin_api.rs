//! The admin port: publications, switches and statistics.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Revision;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::MAX_VALUE_BYTES;
use super::instance_list::InstanceChange;
use super::instance_list::ListBody;
use super::read_counter::ReadCounter;
use super::refusal::Refusal;
use super::shared::Shared;
use super::stats::PlatformStats;
use super::switches::PlatformSwitches;

/// The maximum request body in bytes. It is above the maximum value, so that a
/// value that is somewhat too large is answered with the reason.
const MAX_BODY_BYTES: usize = 4 * MAX_VALUE_BYTES;

#[derive(Debug, Deserialize)]
struct PublishQuery {
    /// The revision to publish at; the next one if absent.
    revision: Option<Revision>,
}

#[derive(Debug, Deserialize)]
struct StateBody {
    state: InstanceChange,
}

#[derive(Debug, Serialize)]
struct PublishAnswer {
    revision: Revision,
}

/// The routes of the admin port.
pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/catalogue", put(put_catalogue))
        .route("/instances", put(put_instances))
        .route("/instances/{id}/state", post(post_state))
        .route("/switches", post(post_switches))
        .route("/stats", get(get_stats))
        .route("/stats/reset", post(reset_stats))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

async fn put_catalogue(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<PublishQuery>,
    body: Bytes,
) -> Response {
    answer(shared.change(|state, now| state.publish_catalogue(body, query.revision, now)))
}

async fn put_instances(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<PublishQuery>,
    body: Bytes,
) -> Response {
    let published = ListBody::decode(&body).and_then(|list| {
        shared.change(|state, now| state.publish_instances(list, query.revision, now))
    });
    answer(published)
}

async fn post_state(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<InstanceId>,
    Json(body): Json<StateBody>,
) -> Response {
    answer(shared.change(|state, now| state.change_instance(&id, body.state, now)))
}

async fn post_switches(
    State(shared): State<Arc<Shared>>,
    Json(switches): Json<PlatformSwitches>,
) -> Json<PlatformSwitches> {
    shared.apply_switches(&switches);
    Json(switches)
}

async fn get_stats(State(shared): State<Arc<Shared>>) -> Json<PlatformStats> {
    Json(shared.stats())
}

async fn reset_stats(State(shared): State<Arc<Shared>>) -> Json<PlatformStats> {
    shared.state().reads = ReadCounter::new(Instant::now());
    Json(shared.stats())
}

fn answer(published: Result<Revision, Refusal>) -> Response {
    match published {
        Ok(revision) => Json(PublishAnswer { revision }).into_response(),
        Err(refusal) => (refusal.status(), refusal.to_string()).into_response(),
    }
}
