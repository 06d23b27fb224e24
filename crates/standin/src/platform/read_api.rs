//! The read port: reads and watches of both streams.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use sassafrasspool_core::Epoch;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use serde::Deserialize;

use super::EPOCH_HEADER;
use super::MAX_WAIT;
use super::REVISION_HEADER;
use super::shared::Shared;
use super::state::ReadResult;

/// The content coding of compressed values.
const CONTENT_CODING: &str = "zstd";

/// The zstd compression level, which is the library's default.
const COMPRESSION_LEVEL: i32 = 3;

/// The query parameters of a read.
#[derive(Debug, Default, Deserialize)]
struct ReadQuery {
    /// The epoch of `after`.
    #[serde(default)]
    epoch: u64,
    /// The number of the revision that the reader has; absent for a plain read.
    after: Option<u64>,
    /// Milliseconds to wait for a newer revision.
    #[serde(default)]
    wait_ms: u64,
}

/// The routes of the read port.
pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/catalogue", get(read_catalogue))
        .route("/v1/instances", get(read_instances))
        .with_state(shared)
}

async fn read_catalogue(
    shared: State<Arc<Shared>>,
    query: Query<ReadQuery>,
    headers: HeaderMap,
) -> Response {
    read(&shared, Stream::Catalogue, &query, &headers).await
}

async fn read_instances(
    shared: State<Arc<Shared>>,
    query: Query<ReadQuery>,
    headers: HeaderMap,
) -> Response {
    read(&shared, Stream::Instances, &query, &headers).await
}

async fn read(shared: &Shared, stream: Stream, query: &ReadQuery, headers: &HeaderMap) -> Response {
    let admitted = shared.state().admit(tokio::time::Instant::now());
    if let Err(wait) = admitted {
        return over_budget(wait);
    }
    let wait = Duration::from_millis(query.wait_ms);
    if wait > MAX_WAIT {
        let text = format!("wait_ms is at most {}", MAX_WAIT.as_millis());
        return (StatusCode::BAD_REQUEST, text).into_response();
    }
    shared.hang_if_silent().await;
    let after = query
        .after
        .and_then(|number| Revision::in_epoch(Epoch::new(query.epoch), number).ok());
    let found = shared.watch(stream, after, wait).await;
    shared.delay_answer().await;
    let compress = shared.compress && accepts_coding(headers);
    answer(stream, found, compress)
}

fn answer(stream: Stream, found: ReadResult, compress: bool) -> Response {
    match found {
        ReadResult::Outage => (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response(),
        ReadResult::NothingPublished => {
            (StatusCode::NOT_FOUND, "nothing published").into_response()
        }
        ReadResult::Unchanged(revision) => {
            (StatusCode::NOT_MODIFIED, version_headers(revision)).into_response()
        }
        ReadResult::Value(value) => {
            let content_type = (CONTENT_TYPE, HeaderValue::from_static(media_type(stream)));
            let headers = (version_headers(value.revision), [content_type]);
            if compress {
                return (headers.0, headers.1, compressed(&value.body)).into_response();
            }
            (headers.0, headers.1, value.body).into_response()
        }
    }
}

fn accepts_coding(headers: &HeaderMap) -> bool {
    let accepted = headers.get(ACCEPT_ENCODING);
    accepted.is_some_and(|value| value == CONTENT_CODING)
}

/// Responds with the compressed value.
fn compressed(body: &[u8]) -> Response {
    match zstd::bulk::compress(body, COMPRESSION_LEVEL) {
        Ok(small) => ([(CONTENT_ENCODING, CONTENT_CODING)], small).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn over_budget(wait: Duration) -> Response {
    let seconds = wait.as_secs().saturating_add(1);
    let retry_after = (RETRY_AFTER, HeaderValue::from(seconds));
    (
        StatusCode::TOO_MANY_REQUESTS,
        [retry_after],
        "over the read budget",
    )
        .into_response()
}

fn version_headers(revision: Revision) -> [(HeaderName, HeaderValue); 2] {
    [
        (REVISION_HEADER, HeaderValue::from(revision.get())),
        (EPOCH_HEADER, HeaderValue::from(revision.epoch().get())),
    ]
}

fn media_type(stream: Stream) -> &'static str {
    match stream {
        Stream::Catalogue => "application/yaml",
        Stream::Instances => "application/json",
    }
}
