//! Probes a target for its readiness and its remaining cold time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::TargetId;
use sassafrasspool_wire::LineEndings;
use sassafrasspool_wire::Observed;
use sassafrasspool_wire::validate_response_head;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Shared;
use crate::settings::TargetSettings;

#[cfg(test)]
mod tests;

/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay before the next probe after one that didn't return a remaining cold
/// time.
const COLD_PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until the target answers 200 on its ready path.
///
/// The probe is used only for the start. Later health answers lag or mislead,
/// and the outcomes of the target's requests are better evidence.
pub(super) async fn wait_until_ready(target: TargetSettings) {
    let Some(path) = &target.ready_path else {
        return;
    };
    loop {
        let probe = timeout(PROBE_TIMEOUT, fetch_head(target.addr, path));
        if let Ok(Some((StatusCode::OK, _))) = probe.await {
            return;
        }
        tokio::time::sleep(target.probe_interval).await;
    }
}

/// Probes the target for its remaining cold time whenever that is only assumed, and shortly
/// before it ends.
pub(super) async fn track_cold_state(shared: Arc<Shared>, addr: SocketAddr) {
    let tracker = shared.cold_tracker();
    loop {
        tracker.wait_until_probe_due(shared.clock()).await;
        if !probe_cold_state(&shared, addr).await {
            tokio::time::sleep(COLD_PROBE_RETRY_INTERVAL).await;
        }
    }
}

/// Probes the target once. Returns whether its answer is used.
async fn probe_cold_state(shared: &Shared, addr: SocketAddr) -> bool {
    let tracker = shared.cold_tracker();
    let probe = tracker.begin_probe();
    let reported = timeout(PROBE_TIMEOUT, fetch_cold_report(shared, addr)).await;
    let Ok(Some(report)) = reported else {
        return false;
    };
    let left_ms = report.left.as_millis();
    let now = shared.clock().now();
    let used = tracker.record_probe(now, probe, report.left, report.generation);
    tracing::info!(left_ms, used, "target reported its remaining cold time");
    used
}

/// What the target reports of its cold time.
#[derive(Debug)]
struct ColdReport {
    left: Duration,
    /// The generation that answered, if the answer names it.
    generation: Option<TargetId>,
}

/// Asks the target for its remaining cold time; `None` if it reports none.
async fn fetch_cold_report(shared: &Shared, addr: SocketAddr) -> Option<ColdReport> {
    let dialect = shared.dialect();
    let name = dialect.cold_left_ms.as_ref()?;
    let routes = shared.routes()?;
    let service = routes.local_service(shared.service().as_deref())?;
    let path = service.entry.cold_start.as_ref()?.probe_path.as_ref()?;
    let (status, headers) = fetch_head(addr, path).await?;
    let left = match headers.get(name) {
        Some(value) => value.to_str().ok()?.parse().ok().map(Duration::from_millis),
        // A 200 without the header means that the target is warm. Any other status means
        // that the target rejected the probe, which proves nothing.
        None => (status == StatusCode::OK).then_some(Duration::ZERO),
    };
    let answering = dialect.answering_generation.as_ref();
    let answering = answering.and_then(|name| headers.get(name)?.to_str().ok());
    Some(ColdReport {
        left: left?,
        generation: answering.and_then(|id| TargetId::new(id).ok()),
    })
}

/// Sends a GET request over a new connection and returns the status and headers
/// of the answer; `None` if there is none or it is malformed.
async fn fetch_head(addr: SocketAddr, path: &str) -> Option<(StatusCode, HeaderMap)> {
    let io = TcpStream::connect(addr).await.ok()?;
    let lines = LineEndings::default();
    let io = TokioIo::new(Observed::new(io, lines.clone()));
    let (mut sender, connection) = http1::handshake(io).await.ok()?;
    let req = Request::get(path)
        .header(HOST, addr.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = async { sender.send_request(req).await.ok() };
    let connection_closed = connection.map(drop);
    tokio::pin!(answer);
    let res = tokio::select! {
        res = &mut answer => res,
        () = connection_closed => answer.now_or_never().flatten(),
    };
    let mut res = res?;
    let valid = lines.check();
    if let Err(err) = valid.and_then(|()| validate_response_head(&mut res)) {
        tracing::info!(%addr, path, %err, "malformed answer to a probe");
        return None;
    }
    let (head, _) = res.into_parts();
    Some((head.status, head.headers))
}
