//! The HTTP routes and handlers of the admin endpoint.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use sassafrasspool_core::Content;
use sassafrasspool_core::Error;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;
use sassafrasspool_wire::admin;
use sassafrasspool_wire::admin::DrainAnswer;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::ReleaseAnswer;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::Versions;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::answers;
use super::explain;
use crate::Settings;
use crate::View;
use crate::control::ControlContext;
use crate::control::ControlEvent;
use crate::metrics;
use crate::metrics::Report;

/// How long a stopping node waits for the last responses to operators.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The content type of the metrics page.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The server of the admin endpoint.
#[derive(Debug)]
pub(crate) struct AdminServer {
    pub(super) settings: Arc<Settings>,
    pub(super) context: ControlContext,
}

/// The query of the audit trail: records numbered above `after`.
#[derive(Debug, Deserialize)]
struct AuditQuery {
    #[serde(default)]
    after: u64,
}

/// The query of an explanation.
#[derive(Debug, Deserialize)]
struct ExplainQuery {
    service: Option<String>,
    host: Option<String>,
    path: Option<String>,
}

/// The query of a release from quarantine.
#[derive(Debug, Deserialize)]
struct ReleaseQuery {
    content: String,
}

/// An error response to an operator.
#[derive(Debug)]
struct ErrorResponse {
    status: StatusCode,
    reason: String,
}

impl AdminServer {
    pub(crate) fn new(settings: Arc<Settings>, context: ControlContext) -> AdminServer {
        AdminServer { settings, context }
    }

    /// Serves all routes until `cancel` is cancelled.
    pub(crate) async fn serve(self, listener: TcpListener, cancel: CancellationToken) {
        let stop = cancel.clone();
        let serving = axum::serve(listener, self.router())
            .with_graceful_shutdown(async move { stop.cancelled().await });
        let serving = serving.into_future();
        tokio::pin!(serving);
        tokio::select! {
            _ = &mut serving => return,
            () = cancel.cancelled() => {}
        }
        // A client that keeps its connection open must not delay the node's stop.
        let _ = timeout(CLOSE_TIMEOUT, serving).await;
    }

    /// Serves only the metrics page until `cancel` is cancelled.
    pub(crate) async fn serve_metrics(self, listener: TcpListener, cancel: CancellationToken) {
        let router = Router::new()
            .route(admin::METRICS_PATH, get(metrics_page))
            .with_state(Arc::new(self));
        let serving = axum::serve(listener, router).into_future();
        cancel.run_until_cancelled(serving).await;
    }

    fn router(self) -> Router {
        Router::new()
            .route(admin::STATUS_PATH, get(status))
            .route(admin::VERSIONS_PATH, get(versions))
            .route(admin::EXPLAIN_PATH, get(explain_route))
            .route(admin::AUDIT_PATH, get(audit))
            .route(admin::METRICS_PATH, get(metrics_page))
            .route(admin::SNAPSHOT_PATH, get(snapshot))
            .route(admin::DRAIN_PATH, post(drain))
            .route(admin::QUARANTINE_PATH, get(quarantine))
            .route(admin::RELEASE_PATH, post(release))
            .with_state(Arc::new(self))
    }

    /// The view in force.
    ///
    /// # Errors
    ///
    /// Fails with 503 before the first snapshot.
    fn view(&self) -> Result<Arc<View>, ErrorResponse> {
        self.context.shared.view().ok_or_else(|| ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "nothing is in force yet".to_owned(),
        })
    }
}

async fn status(State(admin): State<Arc<AdminServer>>) -> Result<Json<Status>, ErrorResponse> {
    let spread = admin.context.control.status().await?;
    Ok(Json(answers::status(&admin, &spread)))
}

async fn versions(State(admin): State<Arc<AdminServer>>) -> Result<Json<Versions>, ErrorResponse> {
    let spread = admin.context.control.status().await?;
    Ok(Json(answers::versions(&admin, &spread)))
}

async fn explain_route(
    State(admin): State<Arc<AdminServer>>,
    Query(query): Query<ExplainQuery>,
) -> Result<Response, ErrorResponse> {
    let service = query.service.as_deref().map(ServiceName::new).transpose();
    let service = service.map_err(|err| ErrorResponse {
        status: StatusCode::BAD_REQUEST,
        reason: err.to_string(),
    })?;
    let view = admin.view()?;
    let (host, path) = (query.host.as_deref(), query.path.as_deref());
    let answer = explain::explain(&view, service.as_ref(), host, path);
    Ok(Json(answer).into_response())
}

async fn audit(State(admin): State<Arc<AdminServer>>, Query(query): Query<AuditQuery>) -> Response {
    Json(admin.context.audit.page(query.after)).into_response()
}

async fn metrics_page(State(admin): State<Arc<AdminServer>>) -> Result<Response, ErrorResponse> {
    let spread = admin.context.control.status().await?;
    let report = Report {
        shared: &admin.context.shared,
        spread: &spread,
        control: admin.context.counts.stats(),
    };
    report.publish();
    let headers = [(CONTENT_TYPE, METRICS_CONTENT_TYPE)];
    Ok((headers, metrics::render()).into_response())
}

async fn snapshot(State(admin): State<Arc<AdminServer>>) -> Result<Response, ErrorResponse> {
    let view = admin.view()?;
    Ok(Json(answers::snapshot(&view)).into_response())
}

async fn quarantine(State(admin): State<Arc<AdminServer>>) -> Json<QuarantineInfo> {
    Json(answers::quarantine(&admin))
}

async fn release(
    State(admin): State<Arc<AdminServer>>,
    Query(query): Query<ReleaseQuery>,
) -> Result<Json<ReleaseAnswer>, ErrorResponse> {
    let content = Content::parse(&query.content).map_err(|err| ErrorResponse {
        status: StatusCode::BAD_REQUEST,
        reason: err.to_string(),
    })?;
    let shared = &admin.context.shared;
    let left = shared
        .quarantine()
        .time_left(shared.clock().now(), &content);
    if !shared.quarantine().release(&content).await {
        return Err(ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "the node has ended".to_owned(),
        });
    }
    Ok(Json(ReleaseAnswer {
        instance: shared.me().clone(),
        was_held: left.is_some(),
    }))
}

async fn drain(State(admin): State<Arc<AdminServer>>) -> Json<DrainAnswer> {
    let shared = &admin.context.shared;
    admin.context.control.send(ControlEvent::Drain).await;
    let mut phase = shared.watch_phase();
    // The wait ends at the latest when the node stops, which drops this handler.
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    Json(DrainAnswer {
        instance: shared.me().clone(),
        phase: shared.phase(),
        in_flight: shared.in_flight().count(),
    })
}

impl From<Error> for ErrorResponse {
    fn from(err: Error) -> ErrorResponse {
        ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: err.to_string(),
        }
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        (self.status, self.reason).into_response()
    }
}
